package term

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"juniperchute/internal/placement"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// ObserveQueueDelay records the time that the next heartbeat has spent in the request queue.
func (t *Term) ObserveQueueDelay(delay time.Duration) { t.workers.HeartbeatDelay = delay }

// HandleHeartbeat applies a worker's heartbeat and calls reply once, with commands, an error or a redirect.
func (t *Term) HandleHeartbeat(now time.Time, heartbeat *wire.Heartbeat, reply func(status int, body any)) {
	if heartbeat.Token > t.Token {
		t.observeHigherToken(now, heartbeat.Host)
		t.options.Controller.Redirect(t.Shard, reply)
		return
	}
	commands, err := t.answerHeartbeat(now, heartbeat)
	if err != nil {
		reply(http.StatusServiceUnavailable, submission.ErrorBody{Error: err.Error()})
		return
	}
	reply(http.StatusOK, wire.HeartbeatResponse{Token: t.Token, Commands: commands})
	if heartbeat.Token == t.Token && t.options.Membership.LeaseValid(now) {
		t.sendUrgentCommands(now)
	}
}

// observeHigherToken ends the term if the machine of a heartbeat with a higher token is registered here. A machine
// unknown to this shard may belong to another shard whose record of it has not been read yet. A term that is loading
// decides once it has read the registrations.
func (t *Term) observeHigherToken(now time.Time, host string) {
	if t.state == Loading {
		t.recovery.higherTokens[host] = true
		return
	}
	if machine := t.workers.Get(host); machine != nil && machine.Registered {
		t.End(now, "a heartbeat shows a higher token")
	}
}

// Reasons for which a heartbeat does not renew its worker's lease. The texts are part of the protocol:
// workers receive them in the response body.
var (
	errCancellationsUnknown = errors.New("what is cancelled is not known")
	errJobsLoading          = errors.New("jobs are being read")
	errStaleHeartbeat       = errors.New("a newer report has been handled")
	errStartInFlight        = errors.New("a start of a cancelled task is not accounted for")
)

// answerHeartbeat applies a heartbeat and returns the commands of the response, which renews the worker's
// lease. After an error the response must not renew it.
func (t *Term) answerHeartbeat(now time.Time, heartbeat *wire.Heartbeat) ([]wire.Command, error) {
	if now.After(t.CancellationWatermark(now).Add(t.maxRenewalPastWatermark())) {
		// A worker's lease starts when the worker sends its heartbeat, so delivering this response
		// late does not extend the lease.
		return nil, errCancellationsUnknown
	}
	if t.state == Loading && t.hasUnloadedJob(heartbeat) {
		return nil, errJobsLoading
	}
	if t.workers.WasDeleted(heartbeat.Host) {
		return nil, errStaleHeartbeat // delayed heartbeat of a deleted machine
	}
	if heartbeat.Token < t.Token {
		return t.answerStaleToken(now, heartbeat)
	}
	machine := t.findOrAddMachine(now, heartbeat)
	if !t.applyHeartbeat(now, machine, heartbeat, worker.FromHeartbeat) {
		return nil, errStaleHeartbeat
	}
	leaseEnd := now.Add(t.workers.LeaseTimeout() + tuning.CancellationRenewMargin)
	if t.scheduler.MayStartAfterClose(machine, leaseEnd) {
		// A start command of a cancelled job may still be in flight, and a stop command may
		// overtake it. Only the end of the worker's incarnation invalidates the start command.
		return nil, errStartInFlight
	}
	commands := t.commandsFor(now, machine)
	machine.LeaseRenewedAt = now
	return commands, nil
}

// findOrAddMachine returns the machine that sent a heartbeat. It adds an unknown machine to
// the registry as booting.
func (t *Term) findOrAddMachine(now time.Time, heartbeat *wire.Heartbeat) *worker.Machine {
	if machine := t.workers.Get(heartbeat.Host); machine != nil {
		return machine
	}
	machine := t.workers.Add(now, heartbeat.Host, worker.Booting)
	machine.IdleSince = now
	machine.Type, machine.Zone, machine.Spot = heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	return machine
}

// commandsFor returns the commands for the response to a machine's heartbeat.
func (t *Term) commandsFor(now time.Time, machine *worker.Machine) []wire.Command {
	commands := []wire.Command{}
	switch {
	case t.state == Loading:
		return commands
	case t.options.Membership.LeaseValid(now):
		t.scheduler.Schedule(now)
		return append(commands, t.scheduler.Commands(now, machine, placement.HeartbeatReply)...)
	}
	// Without a valid lease nothing starts, but tasks of closed jobs are still stopped. Workers
	// reject these commands if the token has been superseded.
	return append(commands, t.scheduler.StopCommandsForClosedJobs(machine.Tasks)...)
}

// applyHeartbeat reconciles the state in a heartbeat with the state of its machine. It returns false if
// the heartbeat is stale.
func (t *Term) applyHeartbeat(now time.Time, machine *worker.Machine, heartbeat *wire.Heartbeat,
	source worker.StatusSource) bool {
	result := t.workers.ApplyHeartbeat(now, machine, heartbeat, source)
	if result == worker.HeartbeatStale {
		return false
	}
	if t.state == Loading {
		return true // recoverContacts reconciles the machine
	}
	t.autoscaler.HandleHeartbeat(now, machine)
	hadUnknownTasks := machine.HasUnknownTasks
	t.scheduler.ReconcileHeartbeat(now, machine, result, source)
	if machine.HasUnknownTasks && !hadUnknownTasks {
		t.reserveUnknownUsage() // before the next scheduling pass
	}
	return true
}

// answerStaleToken returns the commands for a worker that has not seen this term's token. Its heartbeat may
// be a delayed copy from a terminated machine, so its task states are ignored. A live worker gets its
// lease renewed and immediately sends another heartbeat, under the new token.
func (t *Term) answerStaleToken(now time.Time, heartbeat *wire.Heartbeat) ([]wire.Command, error) {
	machine := t.workers.Get(heartbeat.Host)
	switch {
	case machine != nil && !t.observeStaleToken(now, machine, heartbeat):
		return nil, errStaleHeartbeat
	case machine == nil && t.state == Loading:
		t.recovery.recordRenewal(now, heartbeat)
	}
	commands := []wire.Command{}
	if t.state != Loading {
		// Stopping tasks of closed jobs is safe even if the heartbeat is outdated. A response that
		// renews the lease must not leave a cancelled task running.
		commands = append(commands, t.scheduler.StopCommandsForClosedJobs(heartbeat.Tasks)...)
	}
	return commands, nil
}

// observeStaleToken records that the response to a heartbeat that arrived at the given time under an older
// token renews the worker's lease. It returns false, and records nothing, if a newer message has been seen.
func (t *Term) observeStaleToken(arrivedAt time.Time, machine *worker.Machine, heartbeat *wire.Heartbeat) bool {
	if !machine.ObserveSequence(heartbeat) {
		return false
	}
	machine.LeaseRenewedAt = arrivedAt
	t.autoscaler.RegisterOnFirstContact(arrivedAt, machine, heartbeat)
	return true
}

// hasUnloadedJob reports whether a heartbeat contains a running task whose job is not among the open jobs
// read so far. While the term is loading it cannot stop the task, whose job may have been cancelled, so it
// does not renew the worker's lease.
func (t *Term) hasUnloadedJob(heartbeat *wire.Heartbeat) bool {
	return slices.ContainsFunc(heartbeat.Tasks, func(task wire.TaskStatus) bool {
		id, _, ok := wire.ParseTaskName(task.Name)
		if !ok || task.State == wire.TaskExited {
			return false
		}
		_, open := t.options.OpenJobs.Get(submission.OpenJobKey(id))
		return !open
	})
}
