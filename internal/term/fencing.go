package term

import (
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// fencing is what a term keeps to learn where tasks of earlier terms are.
type fencing struct {
	askAt        map[string]time.Time // when a machine is asked again
	incarnations map[string]uint64    // of machines that rejected a command for its incarnation
}

func newFencing() fencing {
	return fencing{askAt: map[string]time.Time{}, incarnations: map[string]uint64{}}
}

// unreconciledLeaseEnd is when the lease of a worker that this term has not reconciled is
// surely over, whatever the lease holder before it did.
func (t *Term) unreconciledLeaseEnd() time.Time {
	end := t.startedAt.Add(t.workers.LeaseExpiry())
	if !t.PredecessorEnded {
		end = end.Add(t.renewalBound())
	}
	return end
}

// fenceWorkers asks the machines that are not reconciled yet for their state, under the new
// token, and opens the term once none is left.
func (t *Term) fenceWorkers(now time.Time) {
	for _, machine := range t.workers.All() {
		if t.unreconciled(machine) && t.askDue(now, machine) {
			t.fencing.askAt[machine.Host] = now.Add(tuning.ReconcileRetry)
			t.sendCommands(machine, []wire.Command{})
		}
	}
	if t.reserveUnknown() == 0 && t.state == Fencing {
		t.setState(now, Open, "every machine reconciled or terminated")
		t.scheduler.MarkReconciled()
	}
}

// askDue reports whether a machine can, and is to, be asked for its state now.
func (t *Term) askDue(now time.Time, machine *worker.Machine) bool {
	return machine.Address != "" && !machine.CommandInFlight && !now.Before(t.fencing.askAt[machine.Host])
}

// unreconciled reports whether a machine may have tasks of an earlier term that are not known.
// One that is being deleted is reconciled by what it says under this term's token alone: the
// answer to an older heartbeat renews its lease without telling what is on it.
func (t *Term) unreconciled(machine *worker.Machine) bool {
	if machine.State == worker.Deleting {
		return machine.LastContact.IsZero() && machine.Registered && !machine.LeaseEnded
	}
	return machine.State == worker.Unreconciled
}

// reserveUnknown counts all resources of machines whose tasks are not known against every
// limited team, and returns how many machines are not reconciled.
func (t *Term) reserveUnknown() (unreconciled int) {
	var unknown quota.Resources
	for _, machine := range t.workers.All() {
		if t.unreconciled(machine) {
			unreconciled++
			unknown = unknown.Add(machine.Capacity)
		} else if machine.HasUnknownTasks {
			unknown = unknown.Add(machine.Capacity)
		}
	}
	t.ledger.SetUnknownUsage(unknown)
	return unreconciled
}
