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
	replicasPlaced   int
	// replicasByPreemption counts the replicas for which other work was preempted or requeued.
	replicasByPreemption int
	blockingGang         *Job // no other gang is placed for the rest of the pass
}

// reset clears the state at the start of a pass.
func (p *passState) reset() { *p = passState{} }

// requestFullPass makes the next call of Schedule run a pass even if no machine
// has gained capacity.
func (p *passState) requestFullPass() { p.fullPassNeeded = true }

// reservedForGang reports whether an array must leave a machine to the blocking gang. Only
// a starving gang reserves machines. A starving array may still use them, as its first
// completion is overdue too, and so may an array of lower priority, as the gang can preempt
// its tasks within preemptionRules.
func (p *passState) reservedForGang(now time.Time, array *Job, machine *worker.Machine) bool {
	gang := p.blockingGang
	if gang == nil || !gang.starving(now) || array.starving(now) || array.priority < gang.priority {
		return false
	}
	return gang.allowsKind(kindOf(machine)) && machine.Capacity.Covers(gang.need)
}
