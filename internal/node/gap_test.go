package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/leader"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/quota"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// The gap: the state service refuses the holder alone, another controller confirms
// cancellations that the holder cannot read there, and then it is down for all, longer
// than a cancelled job's tasks have, while workers go on reporting to the holder. What
// the holder knows comes from its peers, or its renewals end. That the tasks are gone in
// time is checked after each step.
func TestGap(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(w *world, holder, other *simNode) // as the holder is refused
		during func(w *world, holder, other *simNode) // in the outage
		keeps  bool                                   // whether no worker may lose its lease
	}{
		{name: "as it was seen", keeps: true},
		{name: "the confirming node ends in the outage and is back within a second", during: func(w *world, _, other *simNode) { other.crash(600 * time.Millisecond) }},
		{name: "it ends before it has passed them on, and is back at once", before: func(w *world, _, other *simNode) {
			other.cutPeers = true
			w.clk.in(1700*time.Millisecond, func() {
				other.crash(300 * time.Millisecond)
				other.cutPeers = false
			})
		}},
		{name: "controllers do not reach each other either", before: func(w *world, _, _ *simNode) {
			for _, n := range w.nodes {
				n.cutPeers = true
			}
		}},
		{name: "the confirming node alone is cut off from the others", before: func(w *world, _, other *simNode) { other.cutPeers = true }},
		{name: "the holder ends in the outage and is back within a second", during: func(w *world, holder, _ *simNode) { holder.crash(400 * time.Millisecond) }},
		{name: "all end in the outage and are back within a second", during: func(w *world, _, _ *simNode) {
			for i, n := range w.nodes {
				n.crash(time.Duration(200+150*i) * time.Millisecond)
			}
		}},
		{name: "a third controller ends in the outage", during: func(w *world, holder, other *simNode) {
			for _, n := range w.nodes {
				if n != holder && n != other {
					n.crash(time.Minute)
				}
			}
		}},
		{name: "machines hang as their jobs are called off", keeps: false, before: func(w *world, _, _ *simNode) {
			w.clk.in(1450*time.Millisecond, func() {
				for i, id := range w.hosts() {
					if h := w.workers[id]; i%2 == 0 {
						h.hung = true
						w.clk.in(8*time.Second, func() { h.hung = false; w.release(h) })
					}
				}
			})
		}},
		{name: "machines do not hear the holder", before: func(w *world, _, _ *simNode) {
			w.clk.in(1450*time.Millisecond, func() {
				for i, id := range w.hosts() {
					if i%2 == 0 {
						w.workers[id].deaf = true
					}
				}
			})
		}},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				w := calmSeed(t, 11+seed, 6, 2)
				var long []*simJob
				for i := range 4 {
					long = append(long, w.add(wire.Submission{ID: fmt.Sprintf("job-1%02d", i), Team: "red", Class: "train", Shape: wire.ShapeBatch, Priority: "high", Tasks: 2,
						Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 300}, 400*time.Second))
				}
				w.runFor(45 * time.Second)
				holder := w.holder()
				var other *simNode
				for _, n := range w.nodes {
					if n != holder {
						other = n
					}
				}
				sessions := map[string]uint64{}
				running := 0
				for _, id := range w.hosts() {
					sessions[id] = w.workers[id].session
					for _, p := range w.workers[id].tasks {
						if p.job.run == 400*time.Second && p.stage == wire.TaskRunning {
							running++
						}
					}
				}
				if running < 6 {
					t.Fatalf("only %d long tasks run", running)
				}
				holder.refused = true
				if c.before != nil {
					c.before(w, holder, other)
				}
				w.runFor(1500 * time.Millisecond)
				for i, j := range long[:3] {
					j.asked = true
					ask := other.core.Users().Cancel
					if i == 2 { // found by another request than the one that cancelled
						ask = func(now time.Time, id string, reply func(submission.Response)) {
							other.core.Users().Cancel(now, id, func(submission.Response) {
								other.core.Users().Submit(now, j.spec, reply)
							})
						}
					}
					ask(w.clk.now, j.spec.ID, func(r submission.Response) {
						if a, ok := r.Body.(wire.Accepted); r.Status == 200 && ok {
							w.tell(j, a.Stage, "")
						}
					})
				}
				w.runFor(300 * time.Millisecond)
				for _, j := range long[:3] {
					if j.told != wire.JobWithdrawn {
						t.Fatalf("%s was told %q", j.spec.ID, j.told)
					}
				}
				w.state.setDown(true)
				w.runFor(10 * time.Second)
				if c.during != nil {
					c.during(w, holder, other)
				}
				w.runFor(50 * time.Second)
				if c.keeps {
					for id, session := range sessions {
						if h := w.workers[id]; h != nil && h.session != session {
							w.fail("%s lost its lease", id)
						}
					}
				}
				holder.refused = false
				for _, n := range w.nodes {
					n.cutPeers = false
				}
				for _, id := range w.hosts() {
					w.workers[id].deaf = false
				}
				w.state.setDown(false)
				w.runFor(30 * time.Second)
				w.cancel(long[3])
				w.settled()
			})
		}
	}
}

// Whose word moves a holder's horizon on while it cannot read the state service itself,
// and what else may not.
func TestWhoVouches(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(h *simNode, m *peerpb.PulseMessage)
		moves  bool
	}{
		{"peers that say they have told of nothing else", func(*simNode, *peerpb.PulseMessage) {}, true},
		{"peers that lost count", func(_ *simNode, m *peerpb.PulseMessage) { m.Vouches = false }, false},
		{"peers that know of an older token: what the holder before has was told to that one", func(_ *simNode, m *peerpb.PulseMessage) {
			m.Holdings = []*peerpb.Holding{{Token: m.Holdings[0].Token - 1, Holder: m.Holdings[0].Holder}}
		}, false},
		{"peers that know of no holder", func(_ *simNode, m *peerpb.PulseMessage) { m.Holdings = nil }, false},
		{"peers that echo a former process of the holder's name: the mark is of another clock", func(_ *simNode, m *peerpb.PulseMessage) {
			m.EchoProcess++
			m.EchoNs += int64(time.Hour)
		}, false},
		{"peers of an earlier version", func(_ *simNode, m *peerpb.PulseMessage) {
			m.Process, m.UpMs, m.MarkNs, m.EchoProcess, m.EchoNs, m.Vouches = 0, 0, 0, 0, 0, false
		}, false},
		{"peers that were replaced since the holder's last read", func(_ *simNode, m *peerpb.PulseMessage) { m.Process++; m.UpMs = 100 }, false},
		{"nobody's while the records are being read: what is called off cannot be stopped yet", func(h *simNode, _ *peerpb.PulseMessage) { h.core.tenures[0].state = tenureLoading }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := calm(t, 6, 8)
			h := w.holder()
			w.state.setDown(true)
			w.runFor(3 * time.Second)
			words := map[string]*peerpb.PulseMessage{}
			for _, n := range w.nodes {
				if n != h {
					m := n.core.pulseMessage(w.clk.now, h.name)
					c.change(h, m)
					words[n.name] = m
				}
				n.cutPeers = true
			}
			h.core.tenures[0].knows(w.clk.now)
			before := h.core.tenures[0].knows(w.clk.now)
			w.runFor(200 * time.Millisecond)
			for _, m := range words {
				m.MarkNs += int64(time.Second)
				m.EchoNs += int64(time.Second) / 10
				h.core.Pulse(w.clk.now, m)
			}
			after := h.core.tenures[0].knows(w.clk.now)
			if moved := after.After(before); moved != c.moves || after.After(w.clk.now) {
				t.Errorf("horizon moved by %v, want %v", after.Sub(before), c.moves)
			}
		})
	}
	t.Run("own reads of jobs, while the control records are not read", func(t *testing.T) {
		w := calm(t, 6, 8)
		h := w.holder()
		h.stuck, h.cutPeers = leader.Control, true
		w.runFor(10 * time.Second)
		if n := w.holder(); n != h {
			t.Fatal("it is not the holder any more")
		}
		if at := h.core.tenures[0].knows(w.clk.now); w.clk.now.Sub(at) < 4*time.Second {
			t.Errorf("it believes to know all up to %v ago, and may have lost the block since", w.clk.now.Sub(at))
		}
	})
}

// A successor is still reading the records when the state service goes: it may not renew
// the lease of a task that was called off before it began, as it cannot stop it.
func TestOutageWhileLoading(t *testing.T) {
	for seed := range uint64(4) {
		w := calmSeed(t, 20+seed, 6, 2)
		long := w.add(wire.Submission{ID: "job-100", Team: "red", Class: "train", Shape: wire.ShapeBatch, Priority: "high", Tasks: 4,
			Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 300}, 400*time.Second)
		other := w.add(wire.Submission{ID: "job-101", Team: "red", Class: "train", Shape: wire.ShapeBatch, Priority: "high", Tasks: 2,
			Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 300}, 400*time.Second)
		w.runFor(40 * time.Second)
		h := w.holder()
		for _, o := range w.workers {
			o.cut = true
		}
		w.cancel(long)
		w.runFor(3 * time.Second)
		h.crash(time.Hour)
		loading := func() bool {
			for _, n := range w.nodes {
				if t := n.core.tenures[0]; n.alive && t != nil && t.state == tenureLoading {
					return true
				}
			}
			return false
		}
		for !loading() {
			w.clk.step()
		}
		if long.told != wire.JobWithdrawn {
			t.Fatalf("told %q", long.told)
		}
		w.state.setDown(true)
		renewed := map[bool]int{} // by whether the job was called off
		for _, n := range w.nodes {
			if t := n.core.tenures[0]; n.alive && t != nil && t.state == tenureLoading {
				for _, id := range w.hosts() {
					rep := w.workers[id].report()
					for _, p := range rep.Tasks {
						one := *rep
						one.Tasks = []wire.Task{p}
						off := strings.HasPrefix(p.Task, long.spec.ID)
						t.Report(w.clk.now, &one, func(status int, _ any) {
							if status == 200 && p.Stage != wire.TaskExited {
								renewed[off]++
							}
						})
						rep.Seq++
					}
				}
			}
		}
		if renewed[true] > 0 || renewed[false] == 0 {
			t.Errorf("leases renewed of %d tasks that were called off and of %d others", renewed[true], renewed[false])
		}
		for _, o := range w.workers {
			o.cut = false
			w.release(o)
		}
		w.runFor(50 * time.Second)
		w.state.setDown(false)
		h.crash(0)
		w.cancel(other)
		w.settled()
	}
}

// A cancellation is passed to a holder that is still reading the records, and has read
// the jobs already: it says that it has it, so it may not take the job up as open.
func TestToldWhileLoading(t *testing.T) {
	w := calm(t, 6, 8)
	w.holder().crash(time.Hour)
	for range 100000 {
		w.clk.step()
		for _, n := range w.nodes {
			te := n.core.tenures[0]
			if !n.alive || te == nil || te.state != tenureLoading {
				continue
			}
			id := w.order[3].spec.ID
			if _, open := n.core.open.Get(submission.OpenKey(id)); !open {
				t.Fatalf("%s is not open", id)
			}
			other := w.nodes[0]
			if other == n {
				other = w.nodes[1]
			}
			m := other.core.pulseMessage(w.clk.now, n.name)
			m.Withdrawn = []string{id}
			r := n.core.Pulse(w.clk.now, m)
			if !slices.Contains(r.Have, id) {
				t.Fatal("it does not say that it has it")
			}
			for te.state == tenureLoading {
				w.clk.step()
			}
			if te.state != tenureFencing || te.board.Job(id) != nil || te.board.Job(w.order[4].spec.ID) == nil {
				t.Errorf("%v: the job that was called off is open: %v", te.state, te.board.Job(id) != nil)
			}
			return
		}
	}
	t.Fatal("no successor")
}

// A cancellation is passed to a holder before it has read that the job was submitted, as
// the state service's answers are slow: what it reads then is old.
func TestToldBeforeRead(t *testing.T) {
	w := calm(t, 6, 2)
	n := w.holder()
	other := w.nodes[0]
	if other == n {
		other = w.nodes[1]
	}
	m := other.core.pulseMessage(w.clk.now, n.name)
	m.Withdrawn = []string{"job-900"}
	n.core.Pulse(w.clk.now, m)
	for _, id := range []string{"job-900", "job-901"} {
		w.add(wire.Submission{ID: id, Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "normal", Tasks: 1,
			Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 5}, 5*time.Second)
	}
	w.runFor(2 * time.Second)
	if b := n.core.tenures[0].board; b.Job("job-900") != nil || b.Job("job-901") == nil {
		t.Errorf("called off and open: %v; another open: %v", b.Job("job-900") != nil, b.Job("job-901") != nil)
	}
}

// The room of machines not heard counts against a team's limit from the moment at which
// the records are read: a report, and a start, may come before the next tick.
func TestUnheardCountsAtOnce(t *testing.T) {
	w := newWorld(t, 11, facts([]string{"a"}, []config.Team{{Name: "red", GPUsMax: 12}}, 1.5, 10), 1,
		[]wire.MachineType{{Name: "g2", Vcpus: 12, Gpus: 2, MemGb: 96, FetchGbPerS: 1, Price: 5, LowPrice: 2, BootS: 5, Zones: []string{"a"}}})
	w.cloud.room[roomKey("g2", "a", false)] = 4
	w.add(wire.Submission{ID: "job-1", Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "normal", Tasks: 8,
		Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 50}, 50*time.Second)
	w.runFor(25 * time.Second)
	for _, h := range w.workers {
		h.cut = true
	}
	w.holder().crash(time.Hour)
	for range 100000 {
		w.clk.step()
		for _, n := range w.nodes {
			if te := n.core.tenures[0]; n.alive && te != nil && te.state == tenureFencing {
				all := quota.Room{GPUs: 12}
				if te.book.Admits("red", all, false) {
					t.Error("the whole limit may be used, though no machine has been heard")
				}
				return
			}
		}
	}
	t.Fatal("no successor")
}

// A direct command with a start is held up on its way for longer than a cancelled job's
// tasks have, on machines that others' work keeps busy. A stop cannot overtake it: only
// the end of the session voids it.
func TestStartOnItsWay(t *testing.T) {
	w := calm(t, 2, 1)
	w.runFor(40 * time.Second)
	for i := range 3 {
		w.add(wire.Submission{ID: fmt.Sprintf("job-1%02d", i), Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "high", Tasks: 1,
			Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 200}, 200*time.Second)
	}
	w.runFor(30 * time.Second)
	w.odds.heldCommand, w.odds.heldFor = 1, 60*time.Second
	gang := w.add(wire.Submission{ID: "job-200", Team: "red", Class: "train", Shape: wire.ShapeGang, Priority: "high", Tasks: 1,
		Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 10}, 10*time.Second)
	sent := func() int {
		n := 0
		for _, m := range w.holder().core.tenures[0].reg.All() {
			if m.DoBusy {
				n++
			}
		}
		return n
	}
	for range 100 {
		if w.runFor(50 * time.Millisecond); sent() > 0 {
			break
		}
	}
	if sent() == 0 {
		t.Fatal("no direct command is on its way")
	}
	w.odds = odds{}
	for _, h := range w.workers {
		if len(h.tasks) == 0 {
			t.Fatalf("%s has no other work", h.host.ID)
		}
	}
	w.cancel(gang)
	w.runFor(90 * time.Second)
	w.settled()
}

// A machine that a successor hears for the first time gets the stops for what is over
// with the very answer that renews its lease.
func TestInheritedCancellation(t *testing.T) {
	w := calm(t, 6, 2)
	long := w.add(wire.Submission{ID: "job-100", Team: "red", Class: "train", Shape: wire.ShapeBatch, Priority: "high", Tasks: 2,
		Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 300}, 400*time.Second)
	w.runFor(40 * time.Second)
	var on *workerHost
	for _, id := range w.hosts() {
		for _, p := range w.workers[id].tasks {
			if p.job == long && p.on() {
				on = w.workers[id]
			}
		}
	}
	on.cut = true
	h := w.holder()
	h.crash(time.Hour)
	w.cancel(long)
	var next *tenure
	for range 200 {
		w.runFor(50 * time.Millisecond)
		for _, n := range w.nodes {
			if t := n.core.tenures[0]; n.alive && t != nil && t.state == tenureFencing {
				next = t
			}
		}
		if next != nil {
			break
		}
	}
	if next == nil || long.told != wire.JobWithdrawn {
		t.Fatalf("no successor, or told %q", long.told)
	}
	stopped := false
	next.Report(w.clk.now, on.report(), func(status int, body any) {
		for _, o := range body.(wire.Commands).Commands {
			id, _, _ := wire.ParseTask(o.Task)
			stopped = stopped || status == 200 && o.Verb == wire.VerbStop && id == long.spec.ID
		}
	})
	if !stopped {
		t.Error("its lease is renewed, and its task not stopped")
	}
	on.cut = false
	w.release(on)
	w.settled()
}
