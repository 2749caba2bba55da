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

// ObserveQueueDelay takes note of how long the next heartbeat has waited for its turn.
func (t *Term) ObserveQueueDelay(delay time.Duration) { t.workers.HeartbeatDelay = delay }

// HandleHeartbeat answers a worker's heartbeat.
func (t *Term) HandleHeartbeat(now time.Time, heartbeat *wire.Heartbeat, reply func(status int, body any)) {
	if heartbeat.Token > t.Token {
		// A machine that this shard does not have may belong to another one whose record of it
		// has not arrived here yet.
		if machine := t.workers.Get(heartbeat.Host); machine != nil && machine.Registered {
			t.End(now, "a heartbeat shows a higher token")
		}
		t.options.Host.Redirect(t.Shard, reply)
		return
	}
	commands, err := t.answerHeartbeat(now, heartbeat)
	if err != nil {
		reply(http.StatusServiceUnavailable, submission.ErrorBody{Error: err.Error()})
		return
	}
	reply(http.StatusOK, wire.HeartbeatResponse{Token: t.Token, Commands: commands})
	if heartbeat.Token == t.Token && t.options.Membership.LeaseValid(now) {
		t.sendUrgent(now)
	}
}

// Reasons why a heartbeat gets no answer that would renew its worker's lease. The texts go to
// workers.
var (
	errCancellationsUnknown = errors.New("what is cancelled is not known")
	errJobsLoading          = errors.New("jobs are being read")
	errStaleHeartbeat       = errors.New("a newer report has been handled")
	errStartOutstanding     = errors.New("a start of a cancelled task is not accounted for")
)

// answerHeartbeat applies a heartbeat and returns the commands of its answer, which renews
// the worker's lease. After an error nothing may be answered that renews it.
func (t *Term) answerHeartbeat(now time.Time, heartbeat *wire.Heartbeat) ([]wire.Command, error) {
	if now.After(t.CancellationWatermark(now).Add(t.renewalBound())) {
		// A worker's lease counts from when it sent its heartbeat: however late this answer
		// is, no lease that it renews ends later than one renewed now.
		return nil, errCancellationsUnknown
	}
	if t.state == Loading && t.hasUnreadJob(heartbeat) {
		return nil, errJobsLoading
	}
	if t.workers.WasDeleted(heartbeat.Host) {
		return nil, errStaleHeartbeat // a late copy: the machine was deleted
	}
	if heartbeat.Token < t.Token {
		return t.answerUnderOldToken(now, heartbeat)
	}
	machine := t.machineOf(now, heartbeat)
	if !t.applyHeartbeat(now, machine, heartbeat, worker.FromHeartbeat) {
		return nil, errStaleHeartbeat
	}
	leaseEnd := now.Add(t.workers.LeaseExpiry() + tuning.CancellationRenewMargin)
	if t.scheduler.MayStartAfterClose(machine, leaseEnd) {
		// A cancelled job's start may still be on its way to the machine, and no stop can
		// reach it before: only the end of the worker's incarnation voids it.
		return nil, errStartOutstanding
	}
	commands := t.commandsFor(now, machine)
	machine.LeaseRenewedAt = now
	return commands, nil
}

// machineOf finds the machine that a heartbeat is of; one that nobody expected is added.
func (t *Term) machineOf(now time.Time, heartbeat *wire.Heartbeat) *worker.Machine {
	if machine := t.workers.Get(heartbeat.Host); machine != nil {
		return machine
	}
	machine := t.workers.Add(now, heartbeat.Host, worker.Booting)
	machine.IdleSince = now
	machine.Type, machine.Zone, machine.Spot = heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	return machine
}

// commandsFor returns the commands that answer a machine's heartbeat.
func (t *Term) commandsFor(now time.Time, machine *worker.Machine) []wire.Command {
	commands := []wire.Command{}
	switch {
	case t.state == Loading:
		return commands
	case t.options.Membership.LeaseValid(now):
		t.scheduler.Schedule(now)
		return append(commands, t.scheduler.Commands(now, machine, placement.HeartbeatReply)...)
	}
	// Past the lease's end nothing starts, but tasks of ended jobs still stop: under a
	// superseded token that has no effect.
	return append(commands, t.scheduler.StopCommandsForClosedJobs(machine.Tasks)...)
}

// applyHeartbeat reconciles a machine's own account of itself with what is known of it and
// reports whether it was news.
func (t *Term) applyHeartbeat(now time.Time, machine *worker.Machine, heartbeat *wire.Heartbeat,
	source worker.StatusSource) bool {
	verdict := t.workers.ApplyHeartbeat(now, machine, heartbeat, source)
	if verdict == worker.HeartbeatStale {
		return false
	}
	t.autoscaler.HandleHeartbeat(now, machine)
	if t.state == Loading {
		return true
	}
	hadUnknownTasks := machine.HasUnknownTasks
	t.scheduler.ReconcileHeartbeat(now, machine, verdict, source)
	if machine.HasUnknownTasks && !hadUnknownTasks {
		t.reserveUnknown() // before anything is scheduled
	}
	return true
}

// answerUnderOldToken answers a machine that has not seen this term's token. What it says may
// be minutes old, a copy from a machine long terminated: nothing is concluded from it. If the
// machine is there, the answer renews its lease and it sends a heartbeat again at once.
func (t *Term) answerUnderOldToken(now time.Time, heartbeat *wire.Heartbeat) ([]wire.Command, error) {
	if machine := t.workers.Get(heartbeat.Host); machine != nil {
		if !machine.ObserveSequence(heartbeat) {
			return nil, errStaleHeartbeat
		}
		machine.LeaseRenewedAt = now
		t.autoscaler.RegisterOnFirstContact(now, machine, heartbeat)
	}
	commands := []wire.Command{}
	if t.state != Loading {
		// Tasks of ended jobs may be stopped whatever has happened since: the answer that
		// renews a cancelled task's lease must not leave it running.
		commands = append(commands, t.scheduler.StopCommandsForClosedJobs(heartbeat.Tasks)...)
	}
	return commands, nil
}

// hasUnreadJob reports whether a heartbeat shows a task of a job that this process has not read
// as open. While the records are being read the task cannot be stopped, so its worker's lease
// is not renewed: the job may have been cancelled long ago.
func (t *Term) hasUnreadJob(heartbeat *wire.Heartbeat) bool {
	return slices.ContainsFunc(heartbeat.Tasks, func(task wire.TaskStatus) bool {
		id, _, ok := wire.ParseTask(task.Name)
		if !ok || task.State == wire.TaskExited {
			return false
		}
		_, open := t.options.OpenJobs.Get(submission.OpenJobKey(id))
		return !open
	})
}
