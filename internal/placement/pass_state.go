package placement

import (
	"time"

	"juniperchute/internal/worker"
)

// passState is what a scheduling pass has done so far, and whether another is needed.
type passState struct {
	fullPassNeeded   bool // jobs, limits or the order have changed since the last pass
	gangsWithoutRoom int
	gangsPlaced      int
	arrayTasksQueued int
	blockingGang     *Job // the gang before which no other of its priority is placed
}

// begin starts a pass.
func (p *passState) reset() { *p = passState{} }

// requestFullPass makes the next pass go through all jobs although no machine has
// gained anything.
func (p *passState) requestFullPass() { p.fullPassNeeded = true }

// reservedForGang reports whether a machine is reserved for a starving gang
// for which an array's tasks would not be preempted.
func (p *passState) reservedForGang(now time.Time, array *Job, machine *worker.Machine) bool {
	gang := p.blockingGang
	if gang == nil || !gang.starving(now) || array.starving(now) || array.priority < gang.priority {
		return false
	}
	return gang.allows(kindOf(machine)) && machine.Capacity.Fits(gang.need)
}
