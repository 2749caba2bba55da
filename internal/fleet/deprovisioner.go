package fleet

import (
	"slices"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/placement"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// deprovisioner terminates machines. It logs the intent before it calls the cloud.
type deprovisioner struct {
	token       uint64
	workerLease time.Duration // duration of a worker's lease
	cloud       *rateLimitedCloud
	intents     *intentlog.Log
	registry    *worker.Registry
	scheduler   *placement.Scheduler
	types       *machineTypes
	provisioner *provisioner
	lists       *listHistory
	// mayBelongToOtherShard is Options.MayBelongToOtherShard.
	mayBelongToOtherShard func(host string, existedAt time.Time) bool
	// onDeleted is called for each machine of the registry whose deletion is confirmed.
	onDeleted func(now time.Time, machine *worker.Machine)
	// forget is called for each deleted machine, also for one that is not in the registry.
	forget func(now time.Time, host string)

	termStartedAt time.Time
	inFlight      bool // a deletion is in flight
	retryAt       time.Time
}

// scaleIn terminates the machines selected by the termination rules.
func (d *deprovisioner) scaleIn(now time.Time, idleTimeout time.Duration) {
	rules := terminationRules{now: now, termAge: now.Sub(d.termStartedAt), workerLease: d.workerLease,
		idleTimeout: idleTimeout, fewUnreconciled: d.fewUnreconciled()}
	for _, machine := range d.registry.All() {
		if decision := rules.decide(d.candidate(machine)); decision.operation != "" {
			d.terminate(now, machine, decision)
		}
	}
}

func (d *deprovisioner) fewUnreconciled() bool {
	unreconciled := 0
	for _, machine := range d.registry.All() {
		if machine.State == worker.Unreconciled {
			unreconciled++
		}
	}
	return unreconciled*tuning.UnreconciledDeletionMinRatio <= len(d.registry.All())
}

func (d *deprovisioner) candidate(machine *worker.Machine) terminationCandidate {
	return terminationCandidate{
		Machine:              machine,
		missedLists:          d.lists.missed[machine.Host],
		bootTime:             d.types.bootTime(machine.Type),
		onlyUnconfirmedStops: d.onlyUnconfirmedStops(machine),
	}
}

// onlyUnconfirmedStops returns terminationCandidate.onlyUnconfirmedStops.
func (d *deprovisioner) onlyUnconfirmedStops(machine *worker.Machine) bool {
	unanswered := machine.UnansweredCommands > 0 || d.scheduler.HasUnansweredStart(machine)
	return unanswered && d.scheduler.OnlyUnconfirmedStops(machine)
}

// terminate logs the intent to terminate a machine, which from then on gets no tasks. If the log is
// full, or the machine may belong to another shard, it is unchanged and the next pass retries.
func (d *deprovisioner) terminate(now time.Time, machine *worker.Machine, decision termination) {
	if !machine.Recorded && d.mayBelongToOtherShard(machine.Host, machine.CreatedAt) {
		return
	}
	if d.intents.Record(now, decision.operation, machine.Host, decision.reason) {
		d.registry.SetState(now, machine, worker.Deleting, decision.reason)
	}
}

// terminateFailed terminates a machine that the cloud lists as failed.
func (d *deprovisioner) terminateFailed(now time.Time, machine *worker.Machine) {
	if machine.State != worker.Deleting {
		d.terminate(now, machine, reclaim("listed as failed"))
	}
}

// deleteMachines deletes the machines whose intents are ready, in one call. At most one call is in
// flight.
func (d *deprovisioner) deleteMachines(now time.Time) {
	if d.inFlight || now.Before(d.retryAt) {
		return
	}
	ready := d.ready(now)
	if len(ready) == 0 || !d.cloud.allow(now) {
		return
	}
	hosts := make([]string, len(ready))
	for i, intent := range ready {
		d.intents.StartCall(intent)
		hosts[i] = intent.Target
	}
	d.inFlight = true
	d.cloud.call(cloud.Call{Operation: cloud.DeleteMachines, Hosts: hosts}, func(now time.Time, result cloud.Result) {
		d.handleResult(now, ready, result.Err())
	})
}

func (d *deprovisioner) handleResult(now time.Time, intents []*intentlog.Intent, err error) {
	d.inFlight = false
	for _, intent := range intents {
		d.intents.FinishCall(intent, outcomeOf(err))
	}
	if err != nil {
		d.retryAt = d.cloud.nextRetry(now)
		return
	}
	for _, intent := range intents {
		host := intent.Target
		if machine := d.registry.Get(host); machine != nil {
			d.onDeleted(now, machine)
			d.registry.SetState(now, machine, worker.Deleted, "deletion confirmed")
		} else {
			d.registry.MarkDeleted(host)
		}
		d.forget(now, host)
	}
}

// ready returns the intents whose machines may be deleted now, at most as many as one call accepts.
func (d *deprovisioner) ready(now time.Time) []*intentlog.Intent {
	var ready []*intentlog.Intent
	for _, intent := range d.intents.Ready(intentlog.Deprovision, intentlog.Reclaim) {
		if intent.Recovered && !d.confirmRecovered(now, intent) {
			continue
		}
		if ready = append(ready, intent); len(ready) == tuning.MaxMachinesPerDeletion {
			break
		}
	}
	return ready
}

// confirmRecovered reports whether the machine of a recovered intent may be deleted. It completes and
// forgets the intent of a machine that was deleted already, and of one that has tasks of a later term,
// which it returns to the state Up.
//
// A term between the one that recorded the intent and this one may have run a version without the
// intent log and assigned tasks to the machine. If the tokens of the two terms are consecutive, there
// was no such term. Otherwise one of the following is required: the machine has been in contact with
// this term, its lease has expired, or it has no registration.
func (d *deprovisioner) confirmRecovered(now time.Time, intent *intentlog.Intent) bool {
	machine := d.registry.Get(intent.Target)
	if machine == nil && !d.provisioner.hasPending() && d.provisioner.unreadableRecords == 0 {
		// A machine that no record names was deleted, and its record was updated.
		d.intents.Complete(intent, "deleted already")
		d.intents.Forget(intent)
		return false
	}
	if intent.Token+1 == d.token {
		return true
	}
	if machine == nil {
		return false // a pending request may be granted with this machine
	}
	if machine.LastContact.IsZero() {
		return machine.ExpiredWhileDeleting || !machine.Registered
	}
	if hasWorkAfter(machine, intent.Token) {
		d.intents.Complete(intent, "superseded by a later term")
		d.intents.Forget(intent)
		d.registry.SetState(now, machine, worker.Up, "given work by a later term")
		d.scheduler.MarkMachineChanged(machine)
		return false
	}
	return true
}

// hasWorkAfter reports whether a machine has tasks that a term with a higher token assigned.
func hasWorkAfter(machine *worker.Machine, token uint64) bool {
	return slices.ContainsFunc(machine.Tasks, func(task wire.TaskStatus) bool {
		return task.Attempt>>tuning.AttemptBits > token
	})
}
