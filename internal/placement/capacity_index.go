package placement

import (
	"slices"
	"strings"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// capacitySnapshot is what a machine had to offer when the survey last looked at it.
type capacitySnapshot struct {
	usable        bool
	free          quota.Resources
	images, tasks int
}

// offersMoreThan tells whether v offers a waiting task something that old did not.
func (s capacitySnapshot) offersMoreThan(earlier capacitySnapshot) bool {
	return s.usable && (!earlier.usable || !earlier.free.Fits(s.free) || s.images > earlier.images || s.tasks > earlier.tasks)
}

// capacityIndex lets the cost of a draw grow with what has changed and not with
// machines times jobs. It numbers the changes by which machines gained room or
// images, so that a job that found no place looks at the machines changed since
// then only; it knows which machines have room for the smallest of tasks, so that a
// draw ends where there is none; and it keeps count of the places that gangs of a
// kind could have.
type capacityIndex struct {
	dirtyMachines  []*machineInfo
	revision       uint64          // the newest change by which a machine gained something
	smallestNeed   quota.Resources // no open array's task needs less, of anything
	freeMachines   []*machineInfo  // usable machines with room for that
	overGuarantee  uint64          // which teams are beyond their guarantees
	slotsByClass   map[equivalenceClass]*slotCounts
	fullPassNeeded bool // jobs, limits or the order have changed since the last draw
}

func newCapacityIndex() capacityIndex {
	return capacityIndex{slotsByClass: map[equivalenceClass]*slotCounts{}}
}

// requestFullPass makes the next draw go through all jobs.
func (c *capacityIndex) requestFullPass() { c.fullPassNeeded = true }

func (c *capacityIndex) removeMachine(info *machineInfo) {
	c.setFree(info, false)
	for _, slots := range c.slotsByClass {
		slots.set(info.machine, 0)
	}
}

// setFree enters a machine among those with room, or takes it off.
func (c *capacityIndex) setFree(info *machineInfo, free bool) {
	switch {
	case free && info.freeIndex == 0:
		c.freeMachines = append(c.freeMachines, info)
		info.freeIndex = len(c.freeMachines)
	case !free && info.freeIndex != 0:
		last := c.freeMachines[len(c.freeMachines)-1]
		c.freeMachines[info.freeIndex-1], last.freeIndex = last, info.freeIndex
		c.freeMachines = c.freeMachines[:len(c.freeMachines)-1]
		info.freeIndex = 0
	}
}

// setSmallestNeed takes note of what the smallest tasks need.
func (s *Scheduler) setSmallestNeed(now time.Time, smallestNeed quota.Resources) {
	index := &s.capacity
	if smallestNeed == index.smallestNeed {
		return
	}
	index.smallestNeed = smallestNeed
	for _, machine := range s.registry.All() {
		index.setFree(s.machineInfo(machine), machine.Schedulable(now) && machine.AvailableToPrimary().Fits(smallestNeed))
	}
}

// markDirty notes that something about a machine has changed.
func (s *Scheduler) markDirty(info *machineInfo) {
	if !info.dirty {
		info.dirty = true
		s.capacity.dirtyMachines = append(s.capacity.dirtyMachines, info)
	}
}

// MarkMachineChanged notes that something about a machine has changed that the board itself
// does not see.
func (s *Scheduler) MarkMachineChanged(machine *worker.Machine) { s.markDirty(s.machineInfo(machine)) }

// refreshCapacity brings the survey up to date and tells whether some machine has gained
// something.
func (s *Scheduler) refreshCapacity(now time.Time) bool {
	index := &s.capacity
	var overGuarantee uint64
	for i, team := range s.platform.Teams {
		if s.ledger.OverGuarantee(team.Name) {
			overGuarantee |= 1 << (i % 64)
		}
	}
	if overGuarantee != index.overGuarantee {
		// whose work may be stopped for whom is another matter now
		index.overGuarantee = overGuarantee
		clear(index.slotsByClass)
	}
	gained := false
	for _, info := range index.dirtyMachines {
		info.dirty = false
		machine := info.machine
		snapshot := capacitySnapshot{machine.Schedulable(now), machine.AvailableToPrimary(), len(machine.Images), len(info.assigned) + len(info.primaryQueue)}
		if snapshot.offersMoreThan(info.lastSnapshot) {
			gained = true
			index.revision++
			info.gainRevision = index.revision
		}
		info.lastSnapshot = snapshot
		index.setFree(info, snapshot.usable && snapshot.free.Fits(index.smallestNeed))
		for class, slots := range index.slotsByClass {
			slots.set(machine, s.feasibleSlots(now, class, machine))
		}
	}
	index.dirtyMachines = index.dirtyMachines[:0]
	return gained
}

// equivalenceClass is all that decides where a gang could be placed, but for images and
// past failures.
type equivalenceClass struct {
	need         quota.Resources
	machineTypes string // allowed types, "*" for any
	zone         string
	spot         bool
	priority     int
	team         string
	guaranteed   bool
}

func (j *Job) equivalenceClass(guaranteed bool) equivalenceClass {
	class := equivalenceClass{j.need, "*", j.Spec.Zone, j.Spec.Spot, j.priority, j.Spec.Team, guaranteed}
	if !j.Spec.AnyType {
		class.machineTypes = strings.Join(j.Spec.Types, " ")
	}
	return class
}

func (c *equivalenceClass) allows(machine *worker.Machine) bool {
	return (c.spot || !machine.Spot) && (c.zone == "" || c.zone == machine.Zone) &&
		(c.machineTypes == "*" || slices.Contains(strings.Fields(c.machineTypes), machine.Type))
}

// slotCounts is how many tasks of a kind of gang could be placed on each machine,
// other work giving way where it has to.
type slotCounts struct {
	byMachine map[*worker.Machine]int
	byZone    map[string]int
	total     int
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

// feasibleSlots is how many tasks of a kind of gang a machine could take if all that
// may gives way; at least as many as there turn out to be.
func (s *Scheduler) feasibleSlots(now time.Time, class equivalenceClass, machine *worker.Machine) int {
	if !machine.Schedulable(now) || !class.allows(machine) {
		return 0
	}
	free := machine.AvailableToPrimary()
	if !free.Fits(class.need) {
		for _, task := range s.machineInfo(machine).assigned {
			if s.preemptible(now, task, class) {
				free = free.Add(task.Job.need)
			}
		}
	}
	return free.FitCount(class.need, maxTasksPerMachine)
}

// mayFit tells whether there could be a place for each task of a gang. It
// may say so wrongly, as it knows nothing of past failures.
func (s *Scheduler) mayFit(now time.Time, job *Job, guaranteed bool) bool {
	class := job.equivalenceClass(guaranteed)
	slots := s.capacity.slotsByClass[class]
	if slots == nil {
		if len(s.capacity.slotsByClass) >= tuning.MaxGangKinds {
			clear(s.capacity.slotsByClass)
		}
		slots = &slotCounts{byMachine: map[*worker.Machine]int{}, byZone: map[string]int{}}
		for _, machine := range s.registry.All() {
			slots.set(machine, s.feasibleSlots(now, class, machine))
		}
		s.capacity.slotsByClass[class] = slots
	}
	if !job.Spec.SameZone {
		return slots.total >= job.Spec.Tasks
	}
	for _, n := range slots.byZone {
		if n >= job.Spec.Tasks {
			return true
		}
	}
	return false
}
