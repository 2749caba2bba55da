package fleet

import (
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// termination is why a machine is terminated, and by which operation; the zero value keeps it.
type termination struct {
	operation intentlog.Operation
	reason    string
}

func noTermination() termination            { return termination{} }
func deprovision(reason string) termination { return termination{intentlog.Deprovision, reason} }
func reclaim(reason string) termination     { return termination{intentlog.Reclaim, reason} }

// terminationRules decide which machines to terminate. They hold for all machines at one time.
type terminationRules struct {
	now         time.Time
	termAge     time.Duration // since the term started
	workerLease time.Duration // of a worker
	idleTimeout time.Duration
	// fewUnreconciled: so few machines are unreconciled that the work waiting for them is worth more.
	fewUnreconciled bool
}

// terminationCandidate is a machine and what others know of it.
type terminationCandidate struct {
	*worker.Machine
	missedLists int           // lists in a row that did not show it
	bootTime    time.Duration // usual for its type; 0: not known
	// onlyUnconfirmedStops: all that may run on it is tasks to be stopped that it never reported.
	onlyUnconfirmedStops bool
}

// decide has no side effects.
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
	if candidate.Unreachable(r.now, tuning.UnreachableLeases*r.workerLease) && candidate.ActiveCopies == 0 {
		return reclaim("unreachable")
	}
	if candidate.UnansweredCommands > 0 && candidate.onlyUnconfirmedStops {
		// A direct command without a reply may still start its task there, minutes
		// from now: only the machine's deletion rules that out.
		return reclaim("command not answered")
	}
	switch {
	case candidate.ActiveCopies > 0 || len(candidate.Tasks) > 0 && candidate.HasUnknownTasks:
		return noTermination()
	case candidate.Quarantined:
		return deprovision("quarantined")
	case candidate.Cordoned:
		return deprovision("consolidated")
	case candidate.Needed || candidate.Reserved != (quota.Resources{}):
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
	case r.fewUnreconciled && r.termAge > tuning.FewUnreconciledTimeout:
		return reclaim("one of few without contact in this term")
	}
	return noTermination()
}
