package placement

import (
	"slices"
	"strings"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// maxTasksPerMachine bounds how many tasks that need nothing are counted into a machine.
const maxTasksPerMachine = wire.MaxTasksPerJob

// preemptionScope says for which part of a team's work a place is sought.
type preemptionScope bool

const (
	anyWork        preemptionScope = false
	guaranteedWork preemptionScope = true // what stays within the team's guarantee
)

// equivalenceClass is all that decides where a gang's tasks could be placed,
// except for images and past failures. Gangs of a class share their counts.
type equivalenceClass struct {
	need         quota.Resources
	machineTypes string // allowed types, separated by spaces; "*" for any
	zone         string
	spot         bool
	priority     int
	team         string
	scope        preemptionScope
}

// anyMachineType stands for all types in an equivalence class.
const anyMachineType = "*"

func (j *Job) equivalenceClass(scope preemptionScope) equivalenceClass {
	class := equivalenceClass{
		need:         j.need,
		machineTypes: anyMachineType,
		zone:         j.Spec.Zone,
		spot:         j.Spec.Spot,
		priority:     j.priority,
		team:         j.Spec.Team,
		scope:        scope,
	}
	if !j.Spec.AnyType {
		class.machineTypes = strings.Join(j.Spec.Types, " ")
	}
	return class
}

// allows reports whether the constraints of the class admit a machine.
func (c *equivalenceClass) allows(machine *worker.Machine) bool {
	if machine.Spot && !c.spot || c.zone != "" && c.zone != machine.Zone {
		return false
	}
	return c.machineTypes == anyMachineType || slices.Contains(strings.Fields(c.machineTypes), machine.Type)
}

// slotCounts is how many tasks of a class could be placed on each machine,
// other work giving way where it has to.
type slotCounts struct {
	byMachine map[*worker.Machine]int
	byZone    map[string]int
	total     int
}

func newSlotCounts() *slotCounts {
	return &slotCounts{byMachine: map[*worker.Machine]int{}, byZone: map[string]int{}}
}

func (c *slotCounts) set(machine *worker.Machine, slots int) {
	delta := slots - c.byMachine[machine]
	if delta == 0 {
		return
	}
	c.byZone[machine.Zone] += delta
	c.total += delta
	if slots == 0 {
		delete(c.byMachine, machine)
	} else {
		c.byMachine[machine] = slots
	}
}

// holds reports whether there are places for all tasks of a gang, in one zone if it has to be.
func (c *slotCounts) holds(gang *Job) bool {
	if !gang.Spec.SameZone {
		return c.total >= gang.Spec.Tasks
	}
	for _, slots := range c.byZone {
		if slots >= gang.Spec.Tasks {
			return true
		}
	}
	return false
}

// feasibleSlots returns how many tasks of a class a machine could take if all
// that may be preempted is; never fewer than there turn out to be.
func (c *capacityIndex) feasibleSlots(now time.Time, class equivalenceClass, machine *worker.Machine) int {
	if !machine.Schedulable() || !class.allows(machine) {
		return 0
	}
	free := machine.AvailableToPrimary()
	if !free.Fits(class.need) {
		for _, task := range c.info(machine).assigned {
			if c.rules.allow(now, task, class) {
				free = free.Add(task.Job.need)
			}
		}
	}
	return free.FitCount(class.need, maxTasksPerMachine)
}

// gangMayFit reports whether there could be a place for each task of a gang.
// There may turn out to be none, as past failures are not considered.
func (c *capacityIndex) gangMayFit(now time.Time, gang *Job, scope preemptionScope) bool {
	class := gang.equivalenceClass(scope)
	slots := c.slotsByClass[class]
	if slots == nil {
		if len(c.slotsByClass) >= tuning.MaxGangKinds {
			clear(c.slotsByClass)
		}
		slots = newSlotCounts()
		for _, machine := range c.registry.All() {
			slots.set(machine, c.feasibleSlots(now, class, machine))
		}
		c.slotsByClass[class] = slots
	}
	return slots.holds(gang)
}
