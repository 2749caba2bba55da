package node

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

// absorb takes in a machine's account of itself and tells whether it was news.
func (t *tenure) absorb(now time.Time, m *worker.Machine, rep *wire.Report, checkin bool) bool {
	v := t.reg.ApplyHeartbeat(now, m, rep, checkin)
	if v == worker.HeartbeatStale {
		return false
	}
	t.fleet.HandleHeartbeat(now, m)
	if t.state != tenureLoading {
		was := m.HasUnknownTasks
		if t.board.ReconcileHeartbeat(now, m, v, checkin); m.HasUnknownTasks && !was {
			t.account() // before anything is drawn
		}
	}
	return true
}

// Report answers a worker's report.
func (t *tenure) Report(now time.Time, rep *wire.Report, reply func(status int, body any)) {
	if rep.Token > t.Token {
		// A machine that this block does not have may belong to another one
		// whose record of it has not arrived here yet.
		if m := t.reg.Get(rep.Host); m != nil && m.Registered {
			t.end(now, "a report shows a higher token")
		}
		t.c.redirect(t.Block, reply)
		return
	}
	commands, err := t.answerReport(now, rep)
	if err != nil {
		reply(http.StatusServiceUnavailable, submission.ErrorBody{Error: err.Error()})
		return
	}
	reply(http.StatusOK, wire.Commands{Token: t.Token, Commands: commands})
	if rep.Token == t.Token && t.c.leader.Entitled(now) {
		t.sendUrgent(now)
	}
}

// Reasons why a report gets no answer that would renew its worker's lease.
var (
	errCancellationsUnknown = errors.New("what is cancelled is not known")
	errLoading              = errors.New("jobs are being read")
	errStaleReport          = errors.New("a newer report has been handled")
	errStartOutstanding     = errors.New("a start of a cancelled task is not accounted for")
)

// answerReport takes a report in and gives the commands of its answer, which renews the
// worker's lease.
func (t *tenure) answerReport(now time.Time, rep *wire.Report) ([]wire.Command, error) {
	if now.After(t.knows(now).Add(t.renewBound())) {
		// A worker's lease counts from when it sent its report: however late this
		// answer is, no lease that it renews ends later than one renewed now.
		return nil, errCancellationsUnknown
	}
	if t.state == tenureLoading && t.unread(rep) {
		return nil, errLoading
	}
	if t.reg.WasDeleted(rep.Host) {
		return nil, errStaleReport // a late copy: the machine was returned
	}
	if rep.Token < t.Token {
		return t.answerBeforeToken(now, rep)
	}
	m := t.reg.Get(rep.Host)
	if m == nil {
		m = t.reg.Add(now, rep.Host, worker.Booting)
		m.IdleSince = now
		m.Type, m.Zone, m.Spot = rep.Type, rep.Zone, rep.Spot
	}
	if !t.absorb(now, m, rep, true) {
		return nil, errStaleReport
	}
	if t.board.MayStartAfterClose(m, now.Add(t.reg.LeaseExpiry()+tuning.CancellationRenewMargin)) {
		// A cancelled job's start may still be on its way to the machine, and no
		// stop can reach it before: only the end of the session voids it.
		return nil, errStartOutstanding
	}
	commands := []wire.Command{}
	switch {
	case t.state == tenureLoading:
	case t.c.leader.Entitled(now):
		t.board.Schedule(now)
		commands = append(commands, t.board.Commands(now, m, placement.HeartbeatReply)...)
	default:
		// past the lease's end nothing starts, but what is over still stops: under a
		// superseded token that has no effect
		commands = append(commands, t.board.StopCommandsForClosedJobs(m.Tasks)...)
	}
	m.LeaseRenewedAt = now
	return commands, nil
}

// answerBeforeToken answers a machine that has not seen this tenure's token. What it says
// may be minutes old, a copy from a machine long gone: nothing is concluded from it. If it
// is there, the answer renews its lease and it reports again at once.
func (t *tenure) answerBeforeToken(now time.Time, rep *wire.Report) ([]wire.Command, error) {
	if m := t.reg.Get(rep.Host); m != nil {
		if !m.ObserveSequence(rep) {
			return nil, errStaleReport
		}
		m.LeaseRenewedAt = now
		t.fleet.RegisterOnFirstContact(now, m, rep)
	}
	commands := []wire.Command{}
	if t.state != tenureLoading {
		// What is over may be stopped whatever has happened since: the answer
		// that renews a cancelled task's lease must not leave it running.
		commands = append(commands, t.board.StopCommandsForClosedJobs(rep.Tasks)...)
	}
	return commands, nil
}

// unread tells whether a report shows a task of a job that this node has not read as
// open. While the records are being read it cannot be stopped, so its lease is not
// renewed: the job may have been called off long ago.
func (t *tenure) unread(rep *wire.Report) bool {
	return slices.ContainsFunc(rep.Tasks, func(p wire.Task) bool {
		id, _, ok := wire.ParseTask(p.Task)
		if !ok || p.Stage == wire.TaskExited {
			return false
		}
		_, open := t.c.open.Get(submission.OpenJobKey(id))
		return !open
	})
}
