package node

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fleet"
	"juniperchute/internal/leader"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

type tenureState int

const (
	// tenureLoading: jobs, tallies and hires are being read.
	tenureLoading tenureState = iota
	// tenureFencing: machines that an earlier tenure used are being heard.
	tenureFencing
	// tenureOpen: every machine the block may have is heard or surely gone.
	tenureOpen
	// tenureOver: the block is another's, or about to be.
	tenureOver
)

func (s tenureState) String() string {
	return [...]string{"loading", "fencing", "open", "over"}[s]
}

// tenure is the time in which this process holds one block.
type tenure struct {
	leader.Tenure
	c     *Core
	inc   uint64
	state tenureState
	since time.Time
	log   *slog.Logger
	reg   *worker.Registry
	book  *quota.Book
	board *placement.Board
	fleet *fleet.Slice

	tallies   *tallies
	begun     *store.Pages // jobs that may have tasks on machines
	found     []wire.Item  // tallies, used machines and begun jobs as read, before they are taken over
	used      []wire.Item
	marks     []wire.Item
	reading   int // reads that are still under way
	tallyDue  time.Time
	countDue  time.Time
	deaf      bool // no worker is heard any more
	probeDue  time.Time
	dirty     map[string]*placement.Job
	finals    map[string]bool // jobs whose end is being written
	finalDue  map[string]time.Time
	fenceDue  map[string]time.Time
	sessions  map[string]uint64    // sessions learned while fencing
	horizon   *leader.Horizon      // of the cancellations known here
	calledOff map[string]time.Time // cancellations told of: what is read of them as open is old
}

func newTenure(now time.Time, c *Core, l leader.Tenure, inc uint64) *tenure {
	t := &tenure{
		Tenure: l, c: c, inc: inc, since: now, log: c.log.With("block", l.Block, "token", l.Token),
		dirty:  map[string]*placement.Job{},
		finals: map[string]bool{}, finalDue: map[string]time.Time{}, fenceDue: map[string]time.Time{}, sessions: map[string]uint64{}, calledOff: map[string]time.Time{},
	}
	var peers []string
	for _, k := range c.cfg.Known {
		peers = append(peers, k.Member)
	}
	t.horizon = leader.NewHorizon(peers)
	t.reg = worker.NewRegistry(c.cfg.Facts.Workers, t.log)
	t.book = quota.NewBook(c.cfg.Facts.Teams, l.Block, c.blocks)
	t.board = placement.NewBoard(c.cfg.Facts, l.Token, t.book, t.reg, c.rng, t.log, t.finished)
	t.fleet = fleet.New(now, l.Block, l.Token, t.cond(), c.cfg.Facts, t.cloud, t.call, t.log, t.reg, t.board, t.lost,
		func(now time.Time, m *worker.Machine) { t.board.Forget(now, m) },
		func(host string) bool { return c.foreign(l.Block, host) })
	state := c.cfg.Facts.State
	t.tallies = newTallies(store.NewPages(tallyUnder(l.Block), state.Stored().ValueKB, tuning.TallyEvery, store.ClassTally, t.cond(), t.call, t.log, t.lost), state.ValueKB)
	t.begun = store.NewPages(begunUnder(l.Block), state.Stored().ValueKB, tuning.BegunEvery, store.ClassTenure, t.cond(), t.call, t.log, t.lost)
	t.board.Begin = func(now time.Time, j *placement.Job) {
		t.begun.Put(j.Spec.ID, 1, func(now time.Time) {
			t.board.Begun(j)
			t.settle(now)
		})
		t.begun.Tick(now)
	}
	t.log.Info("tenure begins", "ended", l.Ended)
	for name, f := range c.machineTypes {
		t.fleet.MachineType(f, c.machineTypeRaw[name])
	}
	t.configure()
	t.reading = 5
	t.sync(now, c.open)
	t.sync(now, c.rentals)
	t.list(now, tallyUnder(l.Block), "", &t.found)
	t.list(now, fleet.UsedUnder(l.Block), "", &t.used)
	t.list(now, begunUnder(l.Block), "", &t.marks)
	return t
}

func begunUnder(block int) string { return fmt.Sprintf("b/%d/", block) }

// sync waits until a mirror holds all that was written before this tenure.
func (t *tenure) sync(now time.Time, m *store.Mirror) {
	m.Sync(now, 0, func(now time.Time, ok bool) {
		switch {
		case t.state == tenureOver:
		case ok:
			t.read(now)
		default:
			t.c.later(now, tuning.MirrorRetry, func(now time.Time) { t.sync(now, m) })
		}
	})
}

// list reads all keys under a prefix.
func (t *tenure) list(now time.Time, under, after string, into *[]wire.Item) {
	t.call(store.Call{Op: store.OpList, Class: store.ClassLease, Under: under, After: after, Page: tuning.ListPage}, func(now time.Time, r store.Result) {
		if !r.OK() {
			t.c.later(now, tuning.MirrorRetry, func(now time.Time) {
				if t.state != tenureOver {
					t.list(now, under, after, into)
				}
			})
			return
		}
		*into = append(*into, r.Items...)
		if n := len(r.Items); r.More && n > 0 {
			t.list(now, under, r.Items[n-1].Path, into)
			return
		}
		t.read(now)
	})
}

// read goes on to fencing once everything has been read.
func (t *tenure) read(now time.Time) {
	if t.reading--; t.reading > 0 {
		return
	}
	t.c.open.Each(func(it wire.Item) { t.jobChanged(now, it, false) })
	t.c.rentals.Each(func(it wire.Item) {
		if strings.HasPrefix(it.Path, fleet.Rentals(t.Block)) {
			t.fleet.Load(now, it)
		}
	})
	t.fleet.LoadUsed(now, t.used)
	t.tallies.load(t.found, t.board.Job)
	t.begun.Load(t.marks, func(id string, _ json.RawMessage) {
		if j := t.board.Job(id); j != nil {
			j.Before = true
			t.board.Begun(j)
		} else {
			t.begun.Drop(id)
		}
	})
	if t.begun.Unread() > 0 {
		t.assumeBegun()
	}
	t.found, t.used, t.marks = nil, nil, nil
	for _, j := range t.board.Jobs() {
		if j.Complete() {
			t.dirty[j.Spec.ID] = j
		}
	}
	t.set(now, tenureFencing, "records read")
	for _, m := range slices.Clone(t.reg.All()) {
		if m.State == worker.Up {
			t.board.Reported(now, m, worker.Fresh, false)
		}
	}
	t.account() // a report may come, and a task be drawn, before the next tick
}

// assumeBegun takes all jobs for ones that may have tasks on machines: pages that name
// those that do cannot be read.
func (t *tenure) assumeBegun() {
	for _, j := range t.board.Jobs() {
		j.Before = true
	}
}

func (t *tenure) cond() wire.Cond { return store.Is(leader.BlockKey(t.Block), t.Version) }

// call passes a call on and drops its answer once the tenure is over.
func (t *tenure) call(c store.Call, then func(time.Time, store.Result)) {
	t.c.env.State(c, func(now time.Time, r store.Result) {
		if t.state != tenureOver {
			then(now, r)
			t.c.after(now)
		}
	})
}

// cloud passes a call on, to be made only while this process surely holds the block.
func (t *tenure) cloud(c fleet.Call, then func(now time.Time, r fleet.Result)) {
	c.By = t.c.leader.Deadline()
	t.c.env.Cloud(c, then)
}

func (t *tenure) set(now time.Time, s tenureState, why string) {
	if t.state == s {
		return
	}
	t.log.Info("tenure", "from", t.state.String(), "to", s.String(), "why", why, "after", now.Sub(t.since))
	t.state = s
}

func (t *tenure) end(now time.Time, why string) {
	t.set(now, tenureOver, why)
}

// lost is told when a write finds the block's record changed.
func (t *tenure) lost(now time.Time) { t.end(now, "the block's record has changed") }

func (t *tenure) configure() {
	s := t.c.settings
	t.board.Set = placement.Settings{DropThreshold: s.DropThreshold}
	t.fleet.Set = fleet.Settings{MaxMachines: s.MaxMachines, Paused: s.HirePaused, IdleReturn: s.IdleReturn}
}

// renewBound is how long past its horizon a holder goes on renewing workers: what it
// cannot know to be cancelled must be gone in time.
func (t *tenure) renewBound() time.Duration {
	w := t.c.cfg.Facts.Workers
	return max(tuning.RenewLeast, config.Seconds(w.CancelS)-t.reg.Expiry()-tuning.RenewMargin)
}

// knows is the moment up to which this holder surely knows all cancellations. A node
// that reads jobs but not the control records might read on after its block is
// another's: the older of the two counts.
func (t *tenure) knows(now time.Time) time.Time {
	read := t.c.open.Fresh()
	if f := t.c.leader.Fresh(); f.Before(read) {
		read = f
	}
	t.horizon.Read(read)
	return t.horizon.At(now)
}

// withdrawn is told of a cancellation that a node has told a user of. The state service
// may not tell of it for long, so it counts before it is read there, and whoever told of
// it is answered that it is known. What is read later may be older: the answer of a slow
// service, or the jobs as they were when this tenure began. The job is not taken up then.
func (t *tenure) withdrawn(now time.Time, id string) {
	if _, known := t.calledOff[id]; known {
		return
	}
	if len(t.calledOff) >= tuning.ToldKept {
		keep := config.Seconds(t.c.cfg.Facts.Workers.CancelS) * tuning.ToldCancels
		maps.DeleteFunc(t.calledOff, func(_ string, at time.Time) bool { return now.Sub(at) > keep })
	}
	t.calledOff[id] = now
	t.board.SetUnreadable(id, false)
	if t.board.Job(id) != nil {
		t.over(now, id)
	}
}

// unheardUntil is when the lease of a machine that this tenure has not heard
// is surely over, whatever the holder before it did.
func (t *tenure) unheardUntil() time.Time {
	u := t.since.Add(t.reg.Expiry())
	if !t.Ended {
		u = u.Add(t.renewBound())
	}
	return u
}

// jobChanged takes note of an open job's entry, or of its end.
func (t *tenure) jobChanged(now time.Time, it wire.Item, gone bool) {
	id := strings.TrimPrefix(it.Path, submission.OpenUnder)
	if gone {
		t.board.SetUnreadable(id, false)
		if t.board.Job(id) != nil {
			t.over(now, id)
		}
		return
	}
	_, off := t.calledOff[id]
	rec, err := submission.ReadOpen(it)
	t.board.SetUnreadable(id, err != nil && !off)
	if err != nil {
		t.log.Error("job entry cannot be read", "key", it.Path, "error", err)
		return
	}
	if off || rec.Block != t.Block {
		return
	}
	// The predecessor started nothing after its lease ended, and that was
	// before the block's record changed: younger jobs are on no machine.
	at := time.UnixMilli(rec.At)
	j := t.board.AddJob(now, rec.Spec, at, it.Version, it.Version < t.Version)
	j.Since = now.Add(-max(0, t.c.wall().Sub(at)))
}

// finished is told of each completed task.
func (t *tenure) finished(now time.Time, j *placement.Job) { t.dirty[j.Spec.ID] = j }

// save writes completions down: the end of a job at once, the rest in batches.
func (t *tenure) save(now time.Time) {
	batch := !now.Before(t.tallyDue)
	for _, id := range slices.Sorted(maps.Keys(t.dirty)) {
		j := t.dirty[id]
		if j.Complete() {
			if !t.finals[id] && !now.Before(t.finalDue[id]) {
				t.finalize(now, j)
			}
			continue
		}
		if !batch {
			continue
		}
		t.tallies.save(j, t.board.Job)
		delete(t.dirty, id)
	}
	if batch {
		t.tallyDue = now.Add(tuning.TallyEvery)
	}
	t.tallies.pages.Tick(now)
	t.begun.Tick(now)
}

// finalize writes a job's end: done, unless its user was faster with a
// cancellation.
func (t *tenure) finalize(now time.Time, j *placement.Job) {
	id := j.Spec.ID
	t.finals[id] = true
	t.call(store.Call{Op: store.OpMulti, Class: store.ClassFinal, Multi: wire.Multi{
		When: []wire.Cond{t.cond(), store.Is(submission.OpenKey(id), j.Version)},
		Writes: []wire.Write{
			store.Put(submission.JobKey(id), submission.JobRec{Stage: wire.JobDone, Done: j.Spec.Tasks}, 0),
			store.Remove(submission.OpenKey(id)),
		},
	}}, func(now time.Time, r store.Result) {
		delete(t.finals, id)
		switch {
		case r.OK():
			t.log.Info("job done", "job", id, "class", j.Spec.Class, "took", t.c.wall().Sub(j.At))
			t.over(now, id)
		case r.Status == 409 && slices.Contains(r.Failed, leader.BlockKey(t.Block)):
			t.lost(now)
		case r.Status == 409:
			t.reread(now, id)
		default:
			t.finalDue[id] = now.Add(tuning.RecordRetry)
		}
	})
}

func (t *tenure) over(now time.Time, id string) {
	// Not known before, so not told before the horizon.
	t.board.CloseJob(now, id, t.horizon.At(now).Add(config.Seconds(t.c.cfg.Facts.Workers.CancelS)))
	t.tallies.drop(id)
	t.begun.Drop(id)
	delete(t.dirty, id)
	delete(t.finalDue, id)
}

// reread settles a conflict about a job's end: it was cancelled, or an earlier
// write of ours was applied after all.
func (t *tenure) reread(now time.Time, id string) {
	t.finals[id] = true
	t.call(store.Call{Op: store.OpGet, Class: store.ClassFinal, Key: submission.OpenKey(id)}, func(now time.Time, r store.Result) {
		delete(t.finals, id)
		t.finalDue[id] = now.Add(tuning.RecordRetry)
		switch j := t.board.Job(id); {
		case r.Status == 404:
			t.over(now, id)
		case r.OK() && j != nil:
			j.Version = r.Item.Version
		}
	})
}

// Tick starts what is due.
func (t *tenure) Tick(now time.Time) {
	if t.state == tenureOver {
		return
	}
	for _, m := range t.reg.Quiet(now, t.unheardUntil()) {
		t.board.Lost(now, m, "lease surely over")
	}
	if t.state == tenureLoading || !t.c.leader.Entitled(now) {
		return
	}
	t.fence(now)
	t.listen(now)
	t.save(now)
	t.fleet.Deaf = t.deaf
	t.fleet.Tick(now)
	t.settle(now)
	if !now.Before(t.countDue) {
		t.countDue = now.Add(tuning.CountEvery)
		n := t.board.Count
		t.log.Info("copies so far", "mains", n.MainsStarted, "spares", n.SparesStarted, "spares_finished", n.SparesFinished,
			"spares_yielded", n.SparesYielded, "spares_dropped", n.SparesDropped, "redrawn", n.Redrawn, "gangs", n.GangsPlaced,
			"preempted", n.Preempted, "moved", n.Moved, "failed", n.Failed)
	}
}

// fence asks the machines not heard yet for their account, under the new
// token, and opens the tenure once none is left.
func (t *tenure) fence(now time.Time) {
	for _, m := range t.reg.All() {
		if t.unheard(m) {
			if m.Address != "" && !m.DoBusy && !now.Before(t.fenceDue[m.Host]) {
				t.fenceDue[m.Host] = now.Add(tuning.FenceRetry)
				t.direct(now, m, []wire.Command{})
			}
		}
	}
	if t.account() == 0 && t.state == tenureFencing {
		t.set(now, tenureOpen, "every machine heard or gone")
		t.board.Open(now)
	}
}

// unheard tells whether a machine may have tasks of an earlier tenure that are not known.
func (t *tenure) unheard(m *worker.Machine) bool {
	return m.State == worker.Unheard || m.State == worker.Deleting && m.Answered.IsZero() && m.Used
}

// account has the whole room of machines whose tasks are not known count against every
// limited team, and tells how many have not been heard.
func (t *tenure) account() (unheard int) {
	var blocked quota.Room
	for _, m := range t.reg.All() {
		if t.unheard(m) {
			unheard++
			blocked = blocked.Add(m.Cap)
		} else if m.Stranger {
			blocked = blocked.Add(m.Cap)
		}
	}
	t.book.Block(blocked)
	return unheard
}

// listen notices when this node hears none of its workers any more. If a peer
// still reaches them, only this node is cut off: it gives the block back, so
// that a holder they can reach renews their leases in time. Keeping it would
// lose every task, and return every machine as silent.
func (t *tenure) listen(now time.Time) {
	w := t.c.cfg.Facts.Workers
	var last time.Time
	machines := 0
	each := func(f func(m *worker.Machine)) {
		for _, m := range t.reg.All() {
			if (m.State == worker.Up || m.State == worker.Silent) && now.Sub(m.Checked) <= config.Seconds(w.LeaseS) {
				f(m)
			}
		}
	}
	each(func(m *worker.Machine) {
		machines++
		if m.Checked.After(last) {
			last = m.Checked
		}
	})
	t.deaf = machines >= tuning.DeafMachines && now.Sub(last) > config.Seconds(w.ReportS*tuning.DeafReports)+tuning.SilentGrace
	if !t.deaf || now.Before(t.probeDue) {
		return
	}
	t.probeDue = now.Add(tuning.ProbeTimeout + tuning.ProgressTimeout)
	t.log.Info("no worker is heard any more", "machines", machines, "for", now.Sub(last))
	var addrs []string
	each(func(m *worker.Machine) {
		if len(addrs) < tuning.ProbeWorkers {
			addrs = append(addrs, m.Address)
		}
	})
	for _, k := range t.c.cfg.Known {
		t.c.env.Probe(k.Member, &peerpb.ProbeRequest{Addresses: addrs}, func(now time.Time, r *peerpb.ProbeReply, err error) {
			if err == nil && r.Answered > 0 && t.deaf && t.state != tenureOver {
				t.end(now, "only this node does not hear the workers")
				t.c.after(now)
			}
		})
	}
}

// direct sends a direct command.
func (t *tenure) direct(now time.Time, m *worker.Machine, commands []wire.Command) {
	session := m.Session
	if session == 0 {
		if session = t.sessions[m.Host]; session == 0 {
			session = 1
		}
	}
	m.DoBusy = true
	t.c.env.Do(m.Address, wire.Do{Token: t.Token, Session: session, Commands: commands}, t.c.leader.Deadline(), func(now time.Time, status int, rep *wire.Report) {
		if t.state == tenureOver {
			return
		}
		m.DoBusy = false
		if status == NotSent {
			t.board.Answered(m, commands)
			return
		}
		if status != http.StatusOK && status != http.StatusConflict || rep == nil || rep.Host != m.Host {
			if m.Session == session && len(commands) > 0 {
				m.OpenDo++
			}
			return
		}
		t.board.Answered(m, commands)
		if rep.Token > t.Token {
			t.end(now, "a machine has seen a higher token")
			return
		}
		if rep.Token < t.Token {
			// refused for its session: now that is known
			t.sessions[m.Host] = rep.Session
			t.fenceDue[m.Host] = now
			return
		}
		t.absorb(now, m, rep, false)
		t.settle(now)
	})
}

func (t *tenure) absorb(now time.Time, m *worker.Machine, rep *wire.Report, checkin bool) bool {
	v := t.reg.Absorb(now, m, rep, checkin)
	if v == worker.Stale {
		return false
	}
	t.fleet.Reporting(now, m)
	if t.state != tenureLoading {
		was := m.Stranger
		if t.board.Reported(now, m, v, checkin); m.Stranger && !was {
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
		if m := t.reg.Get(rep.Host); m != nil && m.Used {
			t.end(now, "a report shows a higher token")
		}
		t.c.redirect(t.Block, reply)
		return
	}
	entitled := t.c.leader.Entitled(now)
	if now.After(t.knows(now).Add(t.renewBound())) {
		// A worker's lease counts from when it sent its report: however late this
		// answer is, no lease that it renews ends later than one renewed now.
		reply(http.StatusServiceUnavailable, submission.Problem{Error: "what is cancelled is not known"})
		return
	}
	if t.state == tenureLoading && t.unread(rep) {
		reply(http.StatusServiceUnavailable, submission.Problem{Error: "jobs are being read"})
		return
	}
	stale := func() {
		reply(http.StatusServiceUnavailable, submission.Problem{Error: "a newer report has been handled"})
	}
	if t.reg.IsGone(rep.Host) {
		stale() // a late copy: the machine was returned
		return
	}
	m := t.reg.Get(rep.Host)
	out := wire.Commands{Token: t.Token, Commands: []wire.Command{}}
	if rep.Token < t.Token {
		// What a machine says before it has seen this token may be minutes old,
		// a copy from a machine long gone: nothing is concluded from it. If it
		// is there, the answer renews its lease and it reports again at once.
		if m != nil {
			if !m.Glimpse(rep) {
				stale()
				return
			}
			m.Answered = now
			t.fleet.Entering(now, m, rep)
		}
		if t.state != tenureLoading {
			// What is over may be stopped whatever has happened since: the answer
			// that renews a cancelled task's lease must not leave it running.
			out.Commands = append(out.Commands, t.board.Halts(rep.Tasks)...)
		}
		reply(http.StatusOK, out)
		return
	}
	if m == nil {
		m = t.reg.Add(now, rep.Host, worker.Booting)
		m.IdleFrom = now
		m.Type, m.Zone, m.Spot = rep.Type, rep.Zone, rep.Spot
	}
	if !t.absorb(now, m, rep, true) {
		stale()
		return
	}
	if t.board.Overdue(m, now.Add(t.reg.Expiry()+tuning.RenewMargin)) {
		// A cancelled job's start may still be on its way to the machine, and no
		// stop can reach it before: only the end of the session voids it.
		reply(http.StatusServiceUnavailable, submission.Problem{Error: "a start of a cancelled task is not accounted for"})
		return
	}
	switch {
	case t.state == tenureLoading:
	case entitled:
		t.board.Draw(now)
		out.Commands = append(out.Commands, t.board.Commands(now, m, true)...)
	default:
		// past the lease's end nothing starts, but what is over still stops: under a
		// superseded token that has no effect
		out.Commands = append(out.Commands, t.board.Halts(m.Tasks)...)
	}
	m.Answered = now
	reply(http.StatusOK, out)
	if entitled {
		t.kick(now)
	}
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
		_, open := t.c.open.Get(submission.OpenKey(id))
		return !open
	})
}

// settle draws, and sends at once what should not wait for a report.
func (t *tenure) settle(now time.Time) {
	if t.state == tenureLoading || t.state == tenureOver || !t.c.leader.Entitled(now) {
		return
	}
	t.board.Draw(now)
	t.kick(now)
}

// kick sends what should not wait for a report.
func (t *tenure) kick(now time.Time) {
	if t.state == tenureLoading || t.state == tenureOver {
		return
	}
	for _, m := range t.board.Kicks(now) {
		if commands := t.board.Commands(now, m, false); len(commands) > 0 {
			t.direct(now, m, commands)
		}
	}
}
