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

// maxTasksPerMachine bounds the slots counted for tasks that need no resources.
const maxTasksPerMachine = wire.MaxTasksPerJob

// quotaScope selects the part of a team's quota that a placement may use. Only a
// placement within the team's guarantee may preempt work of teams over their guarantees
// regardless of priority. The team's limit applies in both scopes.
type quotaScope bool

const (
	withinLimit     quotaScope = false
	withinGuarantee quotaScope = true
)

// equivalenceClass holds everything that determines the feasible machines of a task,
// except for images and past failures. Gangs of a class share slot counts.
type equivalenceClass struct {
	need         quota.Resources
	machineTypes string // allowed types, separated by spaces; "*" for any
	zone         string
	spot         bool
	priority     int
	team         string
	scope        quotaScope
}

// anyMachineType is the value of machineTypes that allows every type.
const anyMachineType = "*"

func (j *Job) equivalenceClass(scope quotaScope) equivalenceClass {
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

// allows reports whether a machine satisfies the constraints of the class on machine
// type, zone and spot machines, as Job.allowsKind does. It ignores past failures,
// resources and the state of the machine.
func (c *equivalenceClass) allows(machine *worker.Machine) bool {
	if machine.Spot && !c.spot || c.zone != "" && c.zone != machine.Zone {
		return false
	}
	return c.machineTypes == anyMachineType || slices.Contains(strings.Fields(c.machineTypes), machine.Type)
}

// slotCounts counts the feasible slots of an equivalence class, including those that
// require preemption. byZone and total are sums over byMachine.
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

// fitsGang reports whether the slots suffice for all tasks of a gang, in a single zone
// if the gang requires one.
func (c *slotCounts) fitsGang(gang *Job) bool {
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

// feasibleSlots returns the number of tasks of a class that fit into a machine's free
// resources or, if none fits, that fit once all preemptible work there is preempted. It
// is an upper bound on the slots that a placement finds on the machine.
func (c *capacityIndex) feasibleSlots(now time.Time, class equivalenceClass, machine *worker.Machine) int {
	if !machine.Schedulable() || !class.allows(machine) {
		return 0
	}
	free := machine.AvailableToPrimary()
	if !free.Covers(class.need) {
		for task := range c.info(machine).assigned.all() {
			if c.rules.allow(now, task, class) {
				free = free.Add(task.Job.need)
			}
		}
	}
	return free.FitCount(class.need, maxTasksPerMachine)
}

// gangMayFit reports whether the feasible slots suffice for a gang. It counts the slots
// of an equivalence class on first use. The check is optimistic, because it ignores
// past failures.
func (c *capacityIndex) gangMayFit(now time.Time, gang *Job, scope quotaScope) bool {
	class := gang.equivalenceClass(scope)
	slots := c.slotsByClass[class]
	if slots == nil {
		if len(c.slotsByClass) >= tuning.MaxGangClasses {
			clear(c.slotsByClass)
		}
		slots = newSlotCounts()
		for _, machine := range c.registry.All() {
			slots.set(machine, c.feasibleSlots(now, class, machine))
		}
		c.slotsByClass[class] = slots
	}
	return slots.fitsGang(gang)
}
