package placement

import (
	"time"

	"juniperchute/internal/worker"
)

// passState holds the counts of the current scheduling pass and the request for
// the next one.
type passState struct {
	fullPassNeeded   bool // jobs, limits or the order have changed since the last pass
	gangsWithoutRoom int
	gangsPlaced      int
	arrayTasksQueued int
	blockingGang     *Job // no other gang is placed for the rest of the pass
}

// reset clears the state at the start of a pass.
func (p *passState) reset() { *p = passState{} }

// requestFullPass makes the next call of Schedule run a pass even if no machine
// has gained capacity.
func (p *passState) requestFullPass() { p.fullPassNeeded = true }

// reservedForGang reports whether a machine is reserved for the blocking gang and
// must not take tasks of an array. Only a starving gang reserves machines, and
// only from arrays that are not starving and not of a lower priority.
func (p *passState) reservedForGang(now time.Time, array *Job, machine *worker.Machine) bool {
	gang := p.blockingGang
	if gang == nil || !gang.starving(now) || array.starving(now) || array.priority < gang.priority {
		return false
	}
	return gang.allows(kindOf(machine)) && machine.Capacity.Covers(gang.need)
}
