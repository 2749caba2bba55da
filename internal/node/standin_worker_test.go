package node

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// workerHost is a stand-in for a machine's worker, by the protocol.
type workerHost struct {
	w        *world
	host     wire.Host
	cap      quota.Room
	dead     bool
	hung     bool
	sick     bool
	cut      bool     // its network is cut
	only     *simNode // the one node it can reach; nil: all
	deaf     bool     // its reports arrive, but no answer or command reaches it
	mute     bool     // it reaches no controller, while direct commands reach it
	late     []func() // messages held back by the cut or the hang
	session  uint64
	seq      uint64
	token    uint64
	leased   time.Time // when the last answered report was sent, or the session began
	recall   time.Time
	tasks    []*simTask
	images   map[string]bool
	node     int
	inFlight int // number of the report under way; 0: none
	reports  int
	changed  bool
	lastSent time.Time
}

type simTask struct {
	job     *simJob
	n       int
	attempt uint64
	stage   string
	cause   string
	stored  bool
	until   time.Time // the end of what it is doing
	lost    time.Time // when a gang's task found its mates gone; zero: not
	begun   bool
}

func (p *simTask) on() bool { return p.stage != wire.TaskExited }

// find looks up an attempt; any attempt of the task that has not ended if try
// is 0.
func (h *workerHost) find(job *simJob, n int, attempt uint64) *simTask {
	for _, p := range h.tasks {
		if p.job == job && p.n == n && (p.attempt == attempt || attempt == 0 && p.on()) {
			return p
		}
	}
	return nil
}

func (h *workerHost) report() *wire.Report {
	h.seq++
	r := &wire.Report{Host: h.host.ID, Address: h.host.Address, Type: h.host.Type, Zone: h.host.Zone, Spot: h.host.Spot,
		Session: h.session, Seq: h.seq, Token: h.token}
	if !h.recall.IsZero() {
		s := max(0, h.recall.Sub(h.w.clk.now).Seconds())
		r.RecallS = &s
	}
	for _, p := range h.tasks {
		r.Tasks = append(r.Tasks, wire.Task{Task: wire.TaskName(p.job.spec.ID, p.n), Attempt: p.attempt, Stage: p.stage, Cause: p.cause, Stored: p.stored})
	}
	return r
}

// tick is the worker's own time: leases, tasks and reports.
func (h *workerHost) tick() {
	if h.dead {
		return
	}
	h.w.clk.in(100*time.Millisecond, h.tick)
	// a hanging machine resumes within its lease or not at all with its tasks
	now := h.w.clk.now
	if now.Sub(h.leased) > config.Seconds(h.w.cfg.Facts.Workers.LeaseS) {
		h.tasks = nil
		h.session++
		h.leased = now
		h.inFlight = 0
		h.changed = true
	}
	if h.hung {
		return
	}
	for _, p := range h.tasks {
		h.advance(p)
	}
	gap := now.Sub(h.lastSent)
	every := config.Seconds(h.w.cfg.Facts.Workers.ReportS)
	if h.inFlight == 0 && (gap > every || h.changed && gap > 500*time.Millisecond) {
		h.send()
	}
}

func (h *workerHost) exit(p *simTask, cause string, stored bool) {
	p.stage, p.cause, p.stored = wire.TaskExited, cause, stored
	h.changed = true
}

func (h *workerHost) advance(p *simTask) {
	now := h.w.clk.now
	if !p.on() {
		return
	}
	gang := p.job.spec.Shape == wire.ShapeGang
	switch p.stage {
	case wire.TaskFetching:
		if now.Before(p.until) {
			return
		}
		h.images[p.job.spec.Bundle] = true
		h.changed = true
		if h.sick || p.job.bad {
			h.exit(p, wire.CauseError, false)
			return
		}
		if p.job.done[p.n] {
			h.exit(p, wire.CauseDone, false)
			return
		}
		p.stage = wire.TaskRunning
		p.until = now.Add(p.job.run)
		if gang {
			p.stage = wire.TaskWaiting
			p.until = now.Add(config.Seconds(h.w.cfg.Facts.Workers.GangWaitS))
		}
	case wire.TaskWaiting:
		if mates := h.w.mates(p); len(mates) == p.job.spec.Tasks {
			for _, m := range mates {
				if m.p.stage != wire.TaskWaiting {
					return
				}
			}
			for _, m := range mates {
				m.p.stage, m.p.begun = wire.TaskRunning, true
				m.p.until = now.Add(p.job.run)
				m.h.changed = true
			}
		} else if now.After(p.until) {
			h.exit(p, wire.CauseAlone, false)
		}
	case wire.TaskRunning, wire.TaskSaving:
		if gang && len(h.w.mates(p)) < p.job.spec.Tasks {
			if p.lost.IsZero() {
				p.lost = now
			}
			if now.Sub(p.lost) > 2*time.Second {
				h.exit(p, wire.CauseMatesGone, false)
				return
			}
			if p.stage == wire.TaskRunning {
				return
			}
		}
		if now.Before(p.until) {
			return
		}
		if p.stage == wire.TaskSaving {
			h.exit(p, wire.CauseHalted, true)
			return
		}
		if p.job.spec.Shape == wire.ShapeStanding {
			return
		}
		if !gang {
			p.job.done[p.n] = true
			h.exit(p, wire.CauseDone, false)
			h.w.ending(p.job)
			return
		}
		for _, m := range h.w.mates(p) {
			if m.p.stage != wire.TaskRunning {
				return
			}
		}
		for _, m := range h.w.mates(p) {
			m.p.job.done[m.p.n] = true
			m.h.exit(m.p, wire.CauseDone, false)
		}
		h.w.ending(p.job)
	}
}

// ending may have a user call a job off as its last task ends, and look at it closely.
func (w *world) ending(j *simJob) {
	if !j.complete() || w.rng.Float64() >= w.odds.cancelAtEnd {
		return
	}
	w.clk.in(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() { w.cancel(j) })
	for range 4 {
		w.clk.in(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() {
			told := j.told
			w.ask(func(n *simNode, reply func(submission.Response)) { n.core.Users().Query(w.clk.now, j.spec.ID, reply) }, func(r submission.Response) { w.answered(j, told, r) })
			w.ask(func(n *simNode, reply func(submission.Response)) { n.core.Users().Submit(w.clk.now, j.spec, reply) }, func(r submission.Response) { w.answered(j, told, r) })
		})
	}
}

// send sends a report, to one node, one at a time.
func (h *workerHost) send() {
	now := h.w.clk.now
	h.reports++
	num := h.reports
	h.inFlight, h.changed, h.lastSent = num, false, now
	rep := h.report()
	session, sent := h.session, now
	nd := h.w.nodes[h.node]
	next := func(wait time.Duration, to int) {
		if h.inFlight != num {
			return
		}
		h.inFlight = -1 // between nodes
		h.w.clk.in(wait, func() {
			if h.inFlight == -1 && !h.dead {
				h.inFlight, h.node = 0, to
				h.changed = true
			}
		})
	}
	after := func() { next(time.Second, (h.node+1)%len(h.w.nodes)) }
	h.w.clk.in(4*time.Second, func() {
		if h.inFlight == num && h.session == session {
			after()
		}
	})
	reply := func(status int, body any) {
		if o, ok := body.(wire.Commands); ok {
			h.w.ordered(nd, o.Commands)
		}
		if h.deaf {
			return
		}
		h.w.deliver(h, nd, func() {
			if h.inFlight != num || h.dead || h.session != session {
				return
			}
			if h.hung {
				return
			}
			switch status {
			case 200:
				h.inFlight = 0
				o := body.(wire.Commands)
				if o.Token < h.token {
					return
				}
				if o.Token > h.token {
					h.changed = true
				}
				h.token, h.leased = o.Token, sent
				h.execute(o.Commands)
			case 421:
				to := slices.IndexFunc(h.w.nodes, func(n *simNode) bool { return n.name == body.(wire.Redirect).ReportsTo })
				if to < 0 || to == h.node {
					after()
				} else {
					next(100*time.Millisecond, to)
				}
			default:
				after()
			}
		})
	}
	if h.mute {
		after() // no connection can be made
		return
	}
	h.w.deliver(h, nd, func() {
		if !nd.alive {
			if !h.deaf {
				after()
			}
			return
		}
		nd.when(func() { nd.core.Report(h.w.clk.now, rep, reply) })
	})
	if h.w.chaos && h.w.rng.IntN(50) == 0 || h.w.rng.Float64() < h.w.odds.lateReports {
		h.w.copyLate(rep)
	}
	if h.w.rng.Float64() < h.w.odds.nextReports && len(h.w.kept) < 100 {
		copied := *rep
		copied.Tasks = slices.Clone(rep.Tasks)
		h.w.kept = append(h.w.kept, &copied)
	}
}

// copyLate delivers a copy of a report to some node, seconds to well over a
// lease later, wherever the machine is by then.
func (w *world) copyLate(rep *wire.Report) {
	nd := w.nodes[w.rng.IntN(len(w.nodes))]
	copied := *rep
	copied.Tasks = slices.Clone(rep.Tasks)
	w.clk.in(time.Duration(500+w.rng.IntN(40000))*time.Millisecond, func() {
		if nd.alive {
			nd.when(func() { nd.core.Report(w.clk.now, &copied, func(int, any) {}) })
		}
	})
}

// command is a direct command that reached the worker.
func (h *workerHost) command(d wire.Do) (int, *wire.Report) {
	if d.Token < h.token || d.Session != h.session {
		return 409, h.report()
	}
	if d.Token > h.token {
		h.token, h.changed = d.Token, true
	}
	h.execute(d.Commands)
	return 200, h.report()
}

func (h *workerHost) execute(commands []wire.Command) {
	now := h.w.clk.now
	for _, o := range commands {
		id, n, ok := wire.ParseTask(o.Task)
		j := h.w.jobs[id]
		if !ok || j == nil {
			h.w.fail("order for a task nobody submitted: %v", o)
			return
		}
		p := h.find(j, n, o.Attempt)
		switch o.Verb {
		case wire.VerbRun:
			h.run(j, n, o.Attempt)
		case wire.VerbStop:
			if p == nil || p.attempt != o.Attempt || !p.on() {
				continue
			}
			h.changed = true
			grace := 0.0
			if o.WindDownS != nil {
				grace = *o.WindDownS
			}
			switch {
			case p.stage == wire.TaskRunning && j.spec.BookmarkS > 0 && grace >= j.spec.StowS:
				p.stage, p.until = wire.TaskSaving, now.Add(config.Seconds(j.spec.StowS))
			case p.stage == wire.TaskSaving && grace > 0:
			default:
				h.exit(p, wire.CauseHalted, false)
			}
		case wire.VerbReap:
			if p != nil && p.attempt == o.Attempt && !p.on() {
				h.tasks = slices.DeleteFunc(h.tasks, func(x *simTask) bool { return x == p })
				h.changed = true
			}
		}
	}
}

func (h *workerHost) run(j *simJob, n int, attempt uint64) {
	if h.find(j, n, attempt) != nil {
		return
	}
	h.changed = true
	refuse := func(why string) {
		// refused starts are listed until they are reaped, beside what is there
		h.tasks = append(h.tasks, &simTask{job: j, n: n, attempt: attempt, stage: wire.TaskExited, cause: why})
	}
	if h.find(j, n, 0) != nil {
		refuse(wire.CauseInUse)
		return
	}
	need := quota.Room{CPUs: j.spec.Vcpus, GPUs: j.spec.Gpus, MemGB: j.spec.MemGb}
	free := h.cap
	for _, o := range h.tasks {
		if o.on() {
			free = free.Sub(quota.Room{CPUs: o.job.spec.Vcpus, GPUs: o.job.spec.Gpus, MemGB: o.job.spec.MemGb})
		}
	}
	if !free.Fits(need) {
		refuse(wire.CauseNoRoom)
		return
	}
	h.w.starting(h, j, n)
	fetch := time.Duration(0)
	if !h.images[j.spec.Bundle] {
		fetch = 2 * time.Second
	}
	h.tasks = append(h.tasks, &simTask{job: j, n: n, attempt: attempt, stage: wire.TaskFetching, until: h.w.clk.now.Add(fetch)})
}
