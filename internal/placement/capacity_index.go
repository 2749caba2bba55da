package placement

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/worker"
)

// capacityIndex makes the cost of a scheduling pass grow with what has changed,
// and not with machines times jobs:
//   - it numbers the changes by which machines gained something, so that a job
//     that found no room looks only at machines that changed since then;
//   - it knows the machines with room for the smallest pending task, so that a
//     pass ends where there are none;
//   - it counts the places that each class of gangs could have.
type capacityIndex struct {
	*sharedState
	rules         preemptionRules
	machines      map[*worker.Machine]*machineInfo
	dirtyMachines []*machineInfo  // changed since the last refresh
	revision      uint64          // the newest change by which a machine gained something
	smallestNeed  quota.Resources // no task of an open array needs less, of any resource
	freeMachines  []*machineInfo  // schedulable machines with room for that
	overGuarantee uint64          // bit set of the teams over their guarantees
	slotsByClass  map[equivalenceClass]*slotCounts
}

// capacitySnapshot is what a machine had to offer when the index was refreshed.
type capacitySnapshot struct {
	schedulable   bool
	free          quota.Resources
	images, tasks int
}

// offersMoreThan reports whether s offers a pending task something that an
// earlier snapshot did not.
func (s capacitySnapshot) offersMoreThan(earlier capacitySnapshot) bool {
	if !s.schedulable {
		return false
	}
	return !earlier.schedulable || !earlier.free.Fits(s.free) || s.images > earlier.images || s.tasks > earlier.tasks
}

// noRoomRevisions are the revisions of the index up to which no machine had
// room for a job's tasks.
type noRoomRevisions struct {
	anyMachine  uint64
	cachedImage uint64 // among the machines that have the job's image
}

// forRequirement returns the revision for the machines that come into question.
func (r *noRoomRevisions) forRequirement(requirement imageRequirement) *uint64 {
	if requirement == cachedImage {
		return &r.cachedImage
	}
	return &r.anyMachine
}

func newCapacityIndex(env *sharedState) *capacityIndex {
	return &capacityIndex{
		sharedState:  env,
		rules:        preemptionRules{env},
		machines:     map[*worker.Machine]*machineInfo{},
		slotsByClass: map[equivalenceClass]*slotCounts{},
	}
}

// info returns what is kept of a machine, and begins to keep it.
func (c *capacityIndex) info(machine *worker.Machine) *machineInfo {
	info := c.machines[machine]
	if info == nil {
		info = &machineInfo{machine: machine}
		c.machines[machine] = info
		c.markDirty(info)
	}
	return info
}

// removeMachine removes a deleted machine, with what is kept of it.
func (c *capacityIndex) removeMachine(info *machineInfo) {
	c.setFree(info, false)
	delete(c.machines, info.machine)
	for _, slots := range c.slotsByClass {
		slots.set(info.machine, 0)
	}
}

// setFree enters a machine among those with room, or removes it. The order of
// the list is part of what the random choice among machines depends on.
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

// setSmallestNeed sets what the smallest pending task needs.
func (c *capacityIndex) setSmallestNeed(smallestNeed quota.Resources) {
	if smallestNeed == c.smallestNeed {
		return
	}
	c.smallestNeed = smallestNeed
	for _, machine := range c.registry.All() {
		free := machine.Schedulable() && machine.AvailableToPrimary().Fits(smallestNeed)
		c.setFree(c.info(machine), free)
	}
}

// markDirty notes that something about a machine has changed.
func (c *capacityIndex) markDirty(info *machineInfo) {
	if !info.dirty {
		info.dirty = true
		c.dirtyMachines = append(c.dirtyMachines, info)
	}
}

// refresh brings the index up to date and reports whether some machine
// has gained something.
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
			tasks:       len(info.assigned) + len(info.primaryQueue),
		}
		if snapshot.offersMoreThan(info.lastSnapshot) {
			gained = true
			c.revision++
			info.gainRevision = c.revision
		}
		info.lastSnapshot = snapshot
		c.setFree(info, snapshot.schedulable && snapshot.free.Fits(c.smallestNeed))
		for class, slots := range c.slotsByClass {
			slots.set(machine, c.feasibleSlots(now, class, machine))
		}
	}
	c.dirtyMachines = c.dirtyMachines[:0]
	return gained
}

// refreshOverGuarantee drops the counts of places when other teams than before
// are over their guarantees: what may be preempted for whom has changed.
func (c *capacityIndex) refreshOverGuarantee() {
	overGuarantee := teamsOverGuarantee(c.platform.Teams, c.ledger)
	if overGuarantee != c.overGuarantee {
		c.overGuarantee = overGuarantee
		clear(c.slotsByClass)
	}
}

// teamsOverGuarantee returns a bit for each team that uses more than its
// guarantee. Beyond 64 teams bits are shared.
func teamsOverGuarantee(teams []config.Team, ledger *quota.Ledger) (overGuarantee uint64) {
	for i, team := range teams {
		if ledger.OverGuarantee(team.Name) {
			overGuarantee |= 1 << (i % 64)
		}
	}
	return overGuarantee
}

// machinesByImage counts the machines that have each image.
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
