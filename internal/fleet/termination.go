package fleet

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// termination is why a machine is given up, and by which duty; without one it is kept.
type termination struct {
	operation intentlog.Operation
	reason    string
}

func noTermination() termination            { return termination{} }
func deprovision(reason string) termination { return termination{intentlog.Deprovision, reason} }
func reclaim(reason string) termination     { return termination{intentlog.Reclaim, reason} }

// scaleIn looks for machines to give back.
func (a *Autoscaler) scaleIn(now time.Time) {
	unreconciled := 0
	for _, machine := range a.registry.All() {
		if machine.State == worker.Unreconciled {
			unreconciled++
		}
	}
	a.fewUnreconciled = unreconciled*tuning.FewUnreconciledDivisor <= len(a.registry.All())
	for _, machine := range a.registry.All() {
		if decision := a.decideTermination(now, machine); decision.operation != "" {
			a.terminate(now, machine, decision)
		}
	}
}

// terminate enters a machine's end. From here on it gets no work; if there is no room in the
// log it stays as it is, and is looked at again.
func (a *Autoscaler) terminate(now time.Time, machine *worker.Machine, decision termination) {
	if a.intents.Record(now, decision.operation, machine.Host, decision.reason) {
		a.registry.SetState(now, machine, worker.Deleting, decision.reason)
	}
}

func (a *Autoscaler) decideTermination(now time.Time, machine *worker.Machine) termination {
	if a.WorkersUnreachable {
		return noTermination()
	}
	switch machine.State {
	case worker.Booting:
		return a.decideBooting(now, machine)
	case worker.Up:
		return a.decideUp(now, machine)
	case worker.Unresponsive:
		if !machine.PreemptionTime.IsZero() && now.After(machine.PreemptionTime.Add(tuning.PreemptionGrace)) {
			return reclaim("taken by the cloud")
		}
		if a.missedLists[machine.Host] >= tuning.MissedListsLimit {
			return reclaim("no longer listed")
		}
	case worker.Unreconciled:
		return a.decideUnreconciled(now, machine)
	case worker.LeaseExpired:
		if now.Sub(machine.StateSince) > tuning.LeaseExpiredTimeout {
			return reclaim("silent")
		}
	}
	return noTermination()
}

func (a *Autoscaler) decideBooting(now time.Time, machine *worker.Machine) termination {
	boot := config.Seconds(a.machineTypes[machine.Type].BootTimeS)
	if boot > 0 && now.Sub(machine.CreatedAt) > boot*tuning.BootTimeoutFactor {
		return reclaim("boot is stuck")
	}
	if a.missedLists[machine.Host] >= tuning.MissedListsLimit {
		return reclaim("no longer listed")
	}
	return noTermination()
}

func (a *Autoscaler) decideUp(now time.Time, machine *worker.Machine) termination {
	lease := config.Seconds(a.config.Workers.LeaseS)
	if machine.Unreachable(now, tuning.UnreachableLeases*lease) && machine.ActiveCopies == 0 {
		return reclaim("no answer reaches it")
	}
	if machine.UnansweredCommands > 0 && a.scheduler.OnlyUnconfirmedStops(machine) {
		// A direct command that was never answered may still start its
		// task there, minutes from now: only this machine's end settles it.
		return reclaim("a command was never answered")
	}
	switch {
	case machine.ActiveCopies > 0 || len(machine.Tasks) > 0 && machine.HasUnknownTasks:
		return noTermination()
	case machine.Quarantined:
		return deprovision("faulty")
	case machine.Cordoned:
		return deprovision("its work went elsewhere")
	case !machine.Needed && machine.Reserved == (quota.Resources{}) && now.Sub(machine.IdleSince) > a.Settings.IdleTimeout:
		return deprovision("idle")
	}
	return noTermination()
}

func (a *Autoscaler) decideUnreconciled(now time.Time, machine *worker.Machine) termination {
	lease := config.Seconds(a.config.Workers.LeaseS)
	switch {
	case a.missedLists[machine.Host] >= tuning.UnreconciledMissedListsLimit:
		return reclaim("no longer listed, and not heard")
	case now.Sub(a.startedAt) > lease:
		return reclaim("never heard in this tenure")
	case a.fewUnreconciled && now.Sub(a.startedAt) > tuning.FewUnreconciledTimeout:
		return reclaim("one of few not heard")
	}
	return noTermination()
}

// handleFailedMachine takes note that the cloud lists a machine as stopped on its own.
func (a *Autoscaler) handleFailedMachine(now time.Time, machine *worker.Machine) {
	if machine.State != worker.Deleting {
		a.terminate(now, machine, reclaim("listed as failed"))
	}
}

// recoverTerminations goes on with the machines that earlier tenures entered as given up:
// they get no work, and are deleted, again if need be.
func (a *Autoscaler) recoverTerminations(now time.Time) {
	for _, intent := range a.intents.Recovered(intentlog.Deprovision, intentlog.Reclaim) {
		if machine := a.registry.Get(intent.Target); machine != nil {
			a.applyRecoveredIntent(now, machine)
		}
	}
}

// applyRecoveredIntent gives up a machine that an earlier tenure entered, as soon as it is known.
func (a *Autoscaler) applyRecoveredIntent(now time.Time, machine *worker.Machine) {
	if machine.State == worker.Deleting {
		return
	}
	for _, operation := range []intentlog.Operation{intentlog.Deprovision, intentlog.Reclaim} {
		if intent := a.intents.Get(operation, machine.Host); intent != nil && intent.Recovered && intent.State() != intentlog.Completed {
			a.registry.SetState(now, machine, worker.Deleting, "entered by an earlier tenure")
		}
	}
}

// readyDeletions lists the machines that may be deleted now, as many as one call takes.
func (a *Autoscaler) readyDeletions(now time.Time) []*intentlog.Intent {
	var ready []*intentlog.Intent
	for _, intent := range a.intents.Ready(intentlog.Deprovision, intentlog.Reclaim) {
		if intent.Recovered && !a.confirmRecovered(now, intent) {
			continue
		}
		if ready = append(ready, intent); len(ready) == tuning.MaxMachinesPerDeletion {
			break
		}
	}
	return ready
}

// confirmRecovered tells whether an inherited entry stands. A tenure of an earlier version may
// have held the block since: it reads no log, and may have given the machine work. If no
// other token lies between it cannot; otherwise the machine is heard first, or its lease
// is surely over. The entry of one that has work of a later tenure than its own is void.
func (a *Autoscaler) confirmRecovered(now time.Time, intent *intentlog.Intent) bool {
	machine := a.registry.Get(intent.Target)
	if machine == nil && !a.hasPendingRequests() && a.unreadableRecords == 0 {
		// no rental names it: it is gone, and that is written down
		a.intents.Complete(intent, "gone already")
		a.intents.Forget(intent)
		return false
	}
	if intent.Token+1 == a.token {
		return true
	}
	if machine == nil {
		return false // a rental that is not answered yet may name it
	}
	if machine.LastContact.IsZero() {
		return machine.LeaseEnded || !machine.Registered
	}
	if slices.ContainsFunc(machine.Tasks, func(t wire.TaskStatus) bool { return t.Attempt>>tuning.AttemptBits > intent.Token }) {
		a.intents.Complete(intent, "a later tenure gave the machine work")
		a.intents.Forget(intent)
		a.registry.SetState(now, machine, worker.Up, "a later tenure gave it work")
		a.scheduler.MarkMachineChanged(machine)
		return false
	}
	return true
}

func (a *Autoscaler) deleteMachines(now time.Time) {
	if a.deletionInFlight || now.Before(a.deletionRetryAt) {
		return
	}
	ready := a.readyDeletions(now)
	if len(ready) == 0 || !a.allowCall(now) {
		return
	}
	hosts := make([]string, len(ready))
	for i, intent := range ready {
		a.intents.StartCall(intent)
		hosts[i] = intent.Target
	}
	a.deletionInFlight = true
	a.callCloud(CloudCall{Operation: DeleteMachines, Hosts: hosts}, func(now time.Time, result CloudResult) {
		a.deletionInFlight = false
		for _, intent := range ready {
			a.intents.FinishCall(intent, result.outcome())
		}
		if result.Status != 200 {
			a.deletionRetryAt = a.nextRetry(now)
			return
		}
		for _, host := range hosts {
			if machine := a.registry.Get(host); machine != nil {
				a.onDeleted(now, machine)
				a.registry.SetState(now, machine, worker.Deleted, "deletion answered")
			} else {
				a.registry.RememberDeleted(host)
			}
			a.removeFromRecord(now, host)
		}
	})
}

// removeFromRecord takes a machine that is gone off its rental's record.
func (a *Autoscaler) removeFromRecord(now time.Time, host string) {
	delete(a.missedLists, host)
	delete(a.registrationStarted, host)
	a.registrations.Delete(host)
	request := a.requestByHost[host]
	if request == nil {
		a.forgetTermination(host)
		return
	}
	delete(a.requestByHost, host)
	request.record.Hosts = slices.DeleteFunc(slices.Clone(request.record.Hosts), func(other string) bool { return other == host })
	if len(request.record.Hosts) == 0 {
		request.deletedMachines = append(request.deletedMachines, deletedMachine{host, request.writer.WantedVersion() + 1})
		a.closeRequest(now, request, "all machines gone")
		return
	}
	request.deletedMachines = append(request.deletedMachines, deletedMachine{host, request.writer.Set(request.record)})
}
