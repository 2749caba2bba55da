package term

import (
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// fencing tracks the queries of workers: for tasks of earlier terms, and for proof that commands arrive.
type fencing struct {
	queryAt      map[string]time.Time // earliest time of the next query, by host
	incarnations map[string]uint64    // reported by workers that rejected a command's incarnation, by host
}

func newFencing() fencing {
	return fencing{queryAt: map[string]time.Time{}, incarnations: map[string]uint64{}}
}

// unreconciledLeaseExpiry returns the time by which the lease of a worker that this term has not reconciled
// is guaranteed to have expired. The time allows for renewals by the lease holders of earlier terms if one
// of them may still run.
func (t *Term) unreconciledLeaseExpiry() time.Time {
	return t.earlierRenewalsEnd().Add(t.workers.LeaseTimeout())
}

// earlierRenewalsEnd returns the time from which no lease holder of an earlier term renews a worker's lease.
// The state service expired or replaced the lease of each of them before this term started, so the
// cancellation watermark of none has passed that time.
func (t *Term) earlierRenewalsEnd() time.Time {
	if t.EarlierTermsEnded {
		return t.startedAt
	}
	return t.startedAt.Add(t.maxRenewalPastWatermark())
}

// recordEarlierTermsEnded records that no lease holder of an earlier term can renew a worker's lease any more,
// once that is certain. It is certain before earlierRenewalsEnd if the term is open: every worker that may
// have tasks has then seen this term's token and drops responses under an older one, or is deleted.
func (t *Term) recordEarlierTermsEnded(now time.Time) {
	if t.state == Open || now.After(t.earlierRenewalsEnd()) {
		t.options.Membership.RecordEarlierTermsEnded(now, t.Assignment)
	}
}

// queryWorkers queries the state of the workers that have to prove that they execute this term's commands:
// those that are unreconciled, and those that have not answered the last direct command.
func (t *Term) queryWorkers(now time.Time) {
	for _, machine := range t.workers.All() {
		needsQuery := t.unreconciled(machine) || machine.NeedsCommandProbe()
		if needsQuery && t.queryDue(now, machine) {
			t.fencing.queryAt[machine.Host] = now.Add(tuning.ReconcileInterval)
			t.sendCommands(machine, []wire.Command{})
		}
	}
}

// openIfReconciled opens the term once every worker is reconciled.
func (t *Term) openIfReconciled(now time.Time) {
	if unreconciled := t.reserveUnknownUsage(); unreconciled == 0 && t.state == Fencing {
		t.setState(now, Open, "every machine reconciled or terminated")
		t.scheduler.MarkReconciled()
	}
}

// queryDue reports whether a machine can be queried and its next query is due.
func (t *Term) queryDue(now time.Time, machine *worker.Machine) bool {
	return machine.Address != "" && !machine.CommandInFlight && !now.Before(t.fencing.queryAt[machine.Host])
}

// unreconciled reports whether a machine may run unknown tasks of an earlier term. A machine being deleted
// is reconciled only by contact under this term's token: the response to a heartbeat with an older token
// renews the worker's lease, but nothing is concluded from the tasks in that heartbeat.
func (t *Term) unreconciled(machine *worker.Machine) bool {
	if machine.State == worker.Deleting {
		return machine.LastContact.IsZero() && machine.Registered && !machine.ExpiredWhileDeleting
	}
	return machine.State == worker.Unreconciled
}

// reserveUnknownUsage charges the full capacity of machines with unknown tasks against the quota of every
// team that has one. It returns the number of unreconciled machines.
func (t *Term) reserveUnknownUsage() (unreconciled int) {
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
