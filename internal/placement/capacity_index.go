package placement

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/worker"
)

// capacityIndex keeps the cost of a scheduling pass proportional to the machines
// that changed, and not to the product of machines and jobs:
//   - it assigns a revision to each gain of capacity, so that a job that fits
//     nowhere tries only machines that have gained capacity since its last search;
//   - it lists the machines that fit the smallest task of any open array, so
//     that a pass skips the arrays if there are none;
//   - it counts the slots for each equivalence class of gangs.
type capacityIndex struct {
	*sharedState
	rules         preemptionRules
	machines      map[*worker.Machine]*machineInfo
	dirtyMachines []*machineInfo  // changed since the last refresh
	revision      uint64          // revision of the last gain of capacity
	smallestNeed  quota.Resources // per resource, the minimum over the tasks of open arrays
	freeMachines  []*machineInfo  // schedulable machines with smallestNeed free
	overGuarantee uint64          // bit set of the teams over their guarantees
	slotsByClass  map[equivalenceClass]*slotCounts
}

// capacitySnapshot is the capacity of a machine at the last refresh of the index.
type capacitySnapshot struct {
	schedulable   bool
	free          quota.Resources
	images, tasks int
}

// offersMoreThan reports whether a pending task may fit s although it did not
// fit an earlier snapshot of the machine.
func (s capacitySnapshot) offersMoreThan(earlier capacitySnapshot) bool {
	if !s.schedulable {
		return false
	}
	return !earlier.schedulable || !earlier.free.Covers(s.free) || s.images > earlier.images || s.tasks > earlier.tasks
}

// minGainRevisions holds, for each image requirement, the lowest gain revision at which a
// machine may have capacity for a job's tasks. The last search found no capacity on
// machines whose gain revision is lower.
type minGainRevisions struct {
	anyMachine  uint64
	cachedImage uint64 // for machines that cache the job's image
}

// forRequirement returns the lowest gain revision for an image requirement.
func (r *minGainRevisions) forRequirement(requirement imageRequirement) *uint64 {
	if requirement == cachedImage {
		return &r.cachedImage
	}
	return &r.anyMachine
}

func newCapacityIndex(shared *sharedState) *capacityIndex {
	return &capacityIndex{
		sharedState:  shared,
		rules:        preemptionRules{shared},
		machines:     map[*worker.Machine]*machineInfo{},
		slotsByClass: map[equivalenceClass]*slotCounts{},
	}
}

// info returns the scheduler's state of a machine. If the index does not hold the machine,
// info adds it with an empty state and marks it dirty.
func (c *capacityIndex) info(machine *worker.Machine) *machineInfo {
	info := c.machines[machine]
	if info == nil {
		info = newMachineInfo(machine)
		c.machines[machine] = info
		c.markDirty(info)
	}
	return info
}

// removeMachine removes a deleted machine and its state from the index.
func (c *capacityIndex) removeMachine(info *machineInfo) {
	c.setFree(info, false)
	delete(c.machines, info.machine)
	for _, slots := range c.slotsByClass {
		slots.set(info.machine, 0)
	}
}

// setFree adds a machine to freeMachines or removes it. Random choices among
// machines depend on the order of the list.
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

// setSmallestNeed updates smallestNeed and, if it changed, freeMachines.
func (c *capacityIndex) setSmallestNeed(smallestNeed quota.Resources) {
	if smallestNeed == c.smallestNeed {
		return
	}
	c.smallestNeed = smallestNeed
	for _, machine := range c.registry.All() {
		free := machine.Schedulable() && machine.AvailableToPrimary().Covers(smallestNeed)
		c.setFree(c.info(machine), free)
	}
}

// markDirty marks a machine as changed, to be evaluated by the next refresh.
func (c *capacityIndex) markDirty(info *machineInfo) {
	if !info.dirty {
		info.dirty = true
		c.dirtyMachines = append(c.dirtyMachines, info)
	}
}

// refresh updates the index for the dirty machines and reports whether any of
// them has gained capacity.
func (c *capacityIndex) refresh(now time.Time) bool {
	c.refreshOverGuarantee()
	gained := false
	for _, info := range c.dirtyMachines {
		info.dirty = false
		machine := info.machine
		snapshot := capacitySnapshot{
			schedulable: machine.Schedulable(),
			free:        machine.AvailableToPrimary(),
			images:      len(machine.Images),
			tasks:       info.assigned.len() + info.primaryQueue.len(),
		}
		if snapshot.offersMoreThan(info.lastSnapshot) {
			gained = true
			c.revision++
			info.gainRevision = c.revision
		}
		info.lastSnapshot = snapshot
		c.setFree(info, snapshot.schedulable && snapshot.free.Covers(c.smallestNeed))
		for class, slots := range c.slotsByClass {
			slots.set(machine, c.feasibleSlots(now, class, machine))
		}
	}
	c.dirtyMachines = c.dirtyMachines[:0]
	return gained
}

// refreshOverGuarantee discards the slot counts if the set of teams over their
// guarantees has changed, as it determines which tasks can be preempted.
func (c *capacityIndex) refreshOverGuarantee() {
	overGuarantee := teamsOverGuarantee(c.platform.Teams, c.ledger)
	if overGuarantee != c.overGuarantee {
		c.overGuarantee = overGuarantee
		clear(c.slotsByClass)
	}
}

// teamsOverGuarantee returns a bit set of the teams that use more than their
// guarantees. If there are more than 64 teams, some share a bit.
func teamsOverGuarantee(teams []config.Team, ledger *quota.Ledger) (overGuarantee uint64) {
	for i, team := range teams {
		if ledger.OverGuarantee(team.Name) {
			overGuarantee |= 1 << (i % 64)
		}
	}
	return overGuarantee
}

// machinesByImage returns the number of running machines that cache each image.
func (c *capacityIndex) machinesByImage() map[string]int {
	counts := map[string]int{}
	for _, machine := range c.registry.All() {
		if machine.State == worker.Up {
			for image := range machine.Images {
				counts[image]++
			}
		}
	}
	return counts
}
