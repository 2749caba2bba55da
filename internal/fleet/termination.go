package fleet

import (
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// termination is the decision to terminate a machine: the operation and its reason. The zero value
// keeps the machine.
type termination struct {
	operation intentlog.Operation
	reason    string
}

func noTermination() termination            { return termination{} }
func deprovision(reason string) termination { return termination{intentlog.Deprovision, reason} }
func reclaim(reason string) termination     { return termination{intentlog.Reclaim, reason} }

// terminationRules decide which machines to terminate in one pass.
type terminationRules struct {
	now         time.Time
	termAge     time.Duration // time since the start of the term
	workerLease time.Duration // duration of a worker's lease
	idleTimeout time.Duration
	// fewUnreconciled is set if the unreconciled machines are few enough to be replaced early,
	// rather than delay the rest of the failover.
	fewUnreconciled bool
}

// terminationCandidate is a machine with the state that other components keep about it.
type terminationCandidate struct {
	*worker.Machine
	missedLists int           // number of consecutive lists without the machine
	bootTime    time.Duration // usual boot time of the type, 0 if unknown
	// onlyUnconfirmedStops is set if a direct command got no reply in time, and the machine can only run
	// tasks that were stopped and that it has never reported.
	onlyUnconfirmedStops bool
}

// decide returns the termination that applies to a candidate. It has no side effects.
func (r terminationRules) decide(candidate terminationCandidate) termination {
	switch candidate.State {
	case worker.Booting:
		return r.decideBooting(candidate)
	case worker.Up:
		return r.decideUp(candidate)
	case worker.Unresponsive:
		return r.decideUnresponsive(candidate)
	case worker.Unreconciled:
		return r.decideUnreconciled(candidate)
	case worker.LeaseExpired:
		if r.now.Sub(candidate.StateSince) > tuning.LeaseExpiredTimeout {
			return reclaim("lease expired")
		}
	}
	return noTermination()
}

func (r terminationRules) decideBooting(candidate terminationCandidate) termination {
	timeout := candidate.bootTime * tuning.BootTimeoutFactor
	switch {
	case timeout > 0 && r.now.Sub(candidate.CreatedAt) > timeout:
		return reclaim("boot timed out")
	case candidate.missedLists >= tuning.MissedListsLimit:
		return reclaim("not listed")
	}
	return noTermination()
}

func (r terminationRules) decideUp(candidate terminationCandidate) termination {
	if candidate.Unreachable(r.now, tuning.UnreachableLeases*r.workerLease) && candidate.AssignedCopies == 0 {
		return reclaim("unreachable")
	}
	if candidate.onlyUnconfirmedStops {
		// A delayed copy of a command without a reply may still start its task minutes later.
		// Only the deletion of the machine rules that out.
		return reclaim("command not answered")
	}
	switch {
	case candidate.AssignedCopies > 0 || len(candidate.Tasks) > 0 && candidate.HasUnknownTasks:
		return noTermination()
	case candidate.Quarantined:
		return deprovision("quarantined")
	case candidate.Cordoned:
		return deprovision("consolidated")
	case candidate.InDemand || candidate.Reserved != (quota.Resources{}):
		return noTermination()
	case r.now.Sub(candidate.IdleSince) > r.idleTimeout:
		return deprovision("idle")
	}
	return noTermination()
}

func (r terminationRules) decideUnresponsive(candidate terminationCandidate) termination {
	preempted := !candidate.PreemptionTime.IsZero() &&
		r.now.After(candidate.PreemptionTime.Add(tuning.PreemptionGrace))
	switch {
	case preempted:
		return reclaim("preempted by the cloud")
	case candidate.missedLists >= tuning.MissedListsLimit:
		return reclaim("not listed")
	}
	return noTermination()
}

func (r terminationRules) decideUnreconciled(candidate terminationCandidate) termination {
	switch {
	case candidate.missedLists >= tuning.UnreconciledMissedListsLimit:
		return reclaim("not listed, no contact in this term")
	case r.termAge > r.workerLease:
		return reclaim("no contact in this term")
	case r.fewUnreconciled && r.termAge > tuning.UnreconciledDeletionDelay:
		return reclaim("one of few without contact in this term")
	}
	return noTermination()
}
