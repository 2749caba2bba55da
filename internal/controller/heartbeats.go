package controller

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

// applyHeartbeat takes in a machine's account of itself and tells whether it was news.
func (t *term) applyHeartbeat(now time.Time, m *worker.Machine, rep *wire.Heartbeat, checkin bool) bool {
	v := t.workers.ApplyHeartbeat(now, m, rep, checkin)
	if v == worker.HeartbeatStale {
		return false
	}
	t.autoscaler.HandleHeartbeat(now, m)
	if t.state != termLoading {
		was := m.HasUnknownTasks
		if t.scheduler.ReconcileHeartbeat(now, m, v, checkin); m.HasUnknownTasks && !was {
			t.reserveUnknown() // before anything is drawn
		}
	}
	return true
}

// HandleHeartbeat answers a worker's report.
func (t *term) HandleHeartbeat(now time.Time, rep *wire.Heartbeat, reply func(status int, body any)) {
	if rep.Token > t.Token {
		// A machine that this block does not have may belong to another one
		// whose record of it has not arrived here yet.
		if m := t.workers.Get(rep.Host); m != nil && m.Registered {
			t.end(now, "a report shows a higher token")
		}
		t.controller.redirect(t.Shard, reply)
		return
	}
	commands, err := t.answerHeartbeat(now, rep)
	if err != nil {
		reply(http.StatusServiceUnavailable, submission.ErrorBody{Error: err.Error()})
		return
	}
	reply(http.StatusOK, wire.HeartbeatResponse{Token: t.Token, Commands: commands})
	if rep.Token == t.Token && t.controller.membership.LeaseValid(now) {
		t.sendUrgent(now)
	}
}

// Reasons why a report gets no answer that would renew its worker's lease.
var (
	errCancellationsUnknown = errors.New("what is cancelled is not known")
	errJobsLoading          = errors.New("jobs are being read")
	errStaleHeartbeat       = errors.New("a newer report has been handled")
	errStartOutstanding     = errors.New("a start of a cancelled task is not accounted for")
)

// answerHeartbeat takes a report in and gives the commands of its answer, which renews the
// worker's lease.
func (t *term) answerHeartbeat(now time.Time, rep *wire.Heartbeat) ([]wire.Command, error) {
	if now.After(t.cancellationsKnownUntil(now).Add(t.renewalBound())) {
		// A worker's lease counts from when it sent its report: however late this
		// answer is, no lease that it renews ends later than one renewed now.
		return nil, errCancellationsUnknown
	}
	if t.state == termLoading && t.hasUnreadJob(rep) {
		return nil, errJobsLoading
	}
	if t.workers.WasDeleted(rep.Host) {
		return nil, errStaleHeartbeat // a late copy: the machine was returned
	}
	if rep.Token < t.Token {
		return t.answerUnderOldToken(now, rep)
	}
	m := t.workers.Get(rep.Host)
	if m == nil {
		m = t.workers.Add(now, rep.Host, worker.Booting)
		m.IdleSince = now
		m.Type, m.Zone, m.Spot = rep.Type, rep.Zone, rep.Spot
	}
	if !t.applyHeartbeat(now, m, rep, true) {
		return nil, errStaleHeartbeat
	}
	if t.scheduler.MayStartAfterClose(m, now.Add(t.workers.LeaseExpiry()+tuning.CancellationRenewMargin)) {
		// A cancelled job's start may still be on its way to the machine, and no
		// stop can reach it before: only the end of the session voids it.
		return nil, errStartOutstanding
	}
	commands := []wire.Command{}
	switch {
	case t.state == termLoading:
	case t.controller.membership.LeaseValid(now):
		t.scheduler.Schedule(now)
		commands = append(commands, t.scheduler.Commands(now, m, placement.HeartbeatReply)...)
	default:
		// past the lease's end nothing starts, but what is over still stops: under a
		// superseded token that has no effect
		commands = append(commands, t.scheduler.StopCommandsForClosedJobs(m.Tasks)...)
	}
	m.LeaseRenewedAt = now
	return commands, nil
}

// answerUnderOldToken answers a machine that has not seen this tenure's token. What it says
// may be minutes old, a copy from a machine long gone: nothing is concluded from it. If it
// is there, the answer renews its lease and it reports again at once.
func (t *term) answerUnderOldToken(now time.Time, rep *wire.Heartbeat) ([]wire.Command, error) {
	if m := t.workers.Get(rep.Host); m != nil {
		if !m.ObserveSequence(rep) {
			return nil, errStaleHeartbeat
		}
		m.LeaseRenewedAt = now
		t.autoscaler.RegisterOnFirstContact(now, m, rep)
	}
	commands := []wire.Command{}
	if t.state != termLoading {
		// What is over may be stopped whatever has happened since: the answer
		// that renews a cancelled task's lease must not leave it running.
		commands = append(commands, t.scheduler.StopCommandsForClosedJobs(rep.Tasks)...)
	}
	return commands, nil
}

// hasUnreadJob tells whether a report shows a task of a job that this node has not read as
// open. While the records are being read it cannot be stopped, so its lease is not
// renewed: the job may have been called off long ago.
func (t *term) hasUnreadJob(rep *wire.Heartbeat) bool {
	return slices.ContainsFunc(rep.Tasks, func(p wire.TaskStatus) bool {
		id, _, ok := wire.ParseTask(p.Name)
		if !ok || p.State == wire.TaskExited {
			return false
		}
		_, open := t.controller.openJobs.Get(submission.OpenJobKey(id))
		return !open
	})
}
