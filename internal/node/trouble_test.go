package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// calm is a deployment without chance troubles, with work under way.
func calm(t *testing.T, machines, jobs int) *world { return calmSeed(t, 11, machines, jobs) }

func calmSeed(t *testing.T, seed uint64, machines, jobs int) *world {
	w := newWorld(t, seed, facts([]string{"a"}, []config.Team{{Name: "red"}}, 1.5, 10), 1,
		[]wire.MachineType{{Name: "g2", Vcpus: 12, Gpus: 2, MemGb: 96, FetchGbPerS: 1, Price: 5, LowPrice: 2, BootS: 5, Zones: []string{"a"}}})
	w.cloud.room[roomKey("g2", "a", false)] = machines
	for i := range jobs {
		w.add(wire.Submission{ID: fmt.Sprintf("job-%d", i), Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "normal", Tasks: 4,
			Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 50}, 50*time.Second)
	}
	w.runFor(25 * time.Second)
	for _, h := range w.workers {
		h.sick = false
	}
	if len(w.workers) == 0 || w.holder() == nil {
		t.Fatal("nothing runs yet")
	}
	return w
}

// holder is the node that holds the block.
func (w *world) holder() *simNode {
	for _, n := range w.nodes {
		if t := n.core.tenures[0]; n.alive && t != nil && t.state == tenureOpen && n.core.leader.Entitled(w.clk.now) {
			return n
		}
	}
	return nil
}

// settled waits until every job has ended, with no trouble left, and fails the test if
// one has not, or if a rule was broken.
func (w *world) settled() {
	w.t.Helper()
	for range 20 {
		w.runFor(15 * time.Second)
		left := 0
		for _, j := range w.order {
			if j.told != wire.JobDone && j.told != wire.JobWithdrawn {
				left++
			}
			if w.clk.now.Sub(j.answered) > 75*time.Second {
				w.fail("forgotten: %s", j.spec.ID)
			}
		}
		if left == 0 || len(w.broken) > 0 {
			break
		}
	}
	for _, j := range w.order {
		if j.told != wire.JobDone && j.told != wire.JobWithdrawn {
			w.fail("%s never ended", j.spec.ID)
		}
	}
	if len(w.broken) > 0 {
		w.t.Fatal(w.broken[0])
	}
}

// The troubles that a random day may or may not hold, one by one, each with what
// must come of it beyond the rules.
func TestTroubles(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(w *world)
	}{
		{"no answer reaches a machine any more: it is returned, and its work runs elsewhere", func(w *world) {
			h := w.someWorker()
			h.deaf = true
			w.runFor(60 * time.Second)
			if w.workers[h.host.ID] != nil {
				w.fail("%s is still rented", h.host.ID)
			}
		}},
		{"single answers are lost: no machine is returned for it", func(w *world) {
			before := sortedKeys(w.workers)
			for range 5 {
				for _, id := range before {
					if h := w.workers[id]; h != nil {
						h.deaf = true
						w.clk.in(1600*time.Millisecond, func() { h.deaf = false })
					}
				}
				w.runFor(9 * time.Second)
			}
			for _, id := range before {
				if w.workers[id] == nil {
					w.fail("%s was returned", id)
				}
			}
		}},
		{"copies of a returned machine's reports come late", func(w *world) {
			h := w.someWorker()
			rep := h.report()
			w.cloud.remove(h.host.ID)
			w.runFor(40 * time.Second)
			n := w.holder()
			copies := func() {
				for i := range 3 {
					r := *rep
					r.Seq += uint64(i)
					n.core.Report(w.clk.now, &r, func(int, any) {})
				}
			}
			copies()
			if m := n.core.tenures[0].reg.Get(h.host.ID); m != nil {
				w.fail("%s is back: %v", h.host.ID, m.State)
			}
			// the same to a successor, which never heard that machine
			n.crash(time.Hour)
			w.runFor(10 * time.Second)
			if n = w.holder(); n == nil {
				w.fail("no successor")
				return
			}
			copies()
			if m := n.core.tenures[0].reg.Get(h.host.ID); m != nil {
				w.fail("%s is back at the successor: %v", h.host.ID, m.State)
			}
		}},
		{"a silent machine's late reports: what its old session says is over", func(w *world) {
			n := w.holder()
			reg := n.core.tenures[0].reg
			h := w.someWorker()
			rep := h.report()
			h.cut, h.hung = true, true
			w.runFor(reg.Expiry() + 3*time.Second)
			m := reg.Get(h.host.ID)
			if m == nil || m.State != worker.Lapsed || m.Busy != 0 {
				w.fail("not given up: %+v", m)
				return
			}
			answered := m.Answered
			rep.Seq += 5
			n.core.Report(w.clk.now, rep, func(status int, _ any) {
				if status == 200 {
					w.fail("a report of a session that is over was taken")
				}
			})
			if m.State != worker.Lapsed || m.Busy != 0 || m.Answered != answered {
				w.fail("revived: %v, %d tasks", m.State, m.Busy)
			}
			h.cut, h.hung = false, false
		}},
		{"the holder is left with its workers only", func(w *world) {
			n := w.holder()
			n.cutState, n.cutPeers = true, true
			w.runFor(tuning.MemberLease + time.Second)
			if n.core.leader.Entitled(w.clk.now) {
				w.fail("the old holder still decides")
			}
			w.runFor(8 * time.Second)
			if s := w.holder(); s == nil || s == n {
				w.fail("no successor is open")
				return
			}
			for _, id := range w.hosts() {
				if h := w.workers[id]; w.nodes[h.node] == n || h.session != 1 {
					w.fail("%s has not moved over, session %d", id, h.session)
				}
			}
			n.cutPeers = false
			n.restoreState()
		}},
		{"a cancellation beside a holder left with its workers only", func(w *world) {
			n := w.holder()
			n.cutState, n.cutPeers = true, true
			w.runFor(500 * time.Millisecond)
			w.cancel(w.order[0]) // cancel_s is checked after each step
			w.runFor(50 * time.Second)
			n.cutPeers = false
			n.restoreState()
		}},
		{"a cancellation while a holder and the workers are cut off from all the rest", func(w *world) {
			long := w.add(wire.Submission{ID: "job-100", Team: "red", Class: "train", Shape: wire.ShapeGang, Priority: "high", Tasks: 2,
				Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 300}, 300*time.Second)
			w.runFor(20 * time.Second)
			if long.told != wire.JobRunning {
				w.fail("%s is %s", long.spec.ID, long.told)
			}
			n := w.holder()
			n.cutState, n.cutPeers = true, true
			for _, h := range w.workers {
				h.only = n
			}
			w.runFor(500 * time.Millisecond)
			w.cancel(long)
			w.cloud.down = true // or the successor would return them
			w.runFor(50 * time.Second)
			w.cloud.down = false
			for _, h := range w.workers {
				h.only = nil
			}
			n.cutPeers = false
			n.restoreState()
		}},
		{"a machine is cut off as the holder crashes: what it may run waits, what was never begun does not", func(w *world) {
			for i := range 30 {
				w.add(wire.Submission{ID: fmt.Sprintf("job-1%02d", i), Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "low", Tasks: 4,
					Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 5}, 5*time.Second)
			}
			w.runFor(27 * time.Second)
			var h *workerHost
			for _, id := range w.hosts() {
				if o := w.workers[id]; len(o.tasks) > 0 && o.tasks[0].on() {
					h = o
				}
			}
			h.cut = true
			before := w.holder()
			marked := string(w.state.keys["b/0/0"].Value)
			before.crash(time.Second)
			began := 0
			for range 9 {
				w.runFor(time.Second)
				for _, n := range w.nodes {
					t := n.core.tenures[0]
					if !n.alive || n == before || t == nil || t.state != tenureFencing {
						continue
					}
					for _, j := range t.board.Jobs() {
						if j.Early && j.Located() > 0 && !strings.Contains(marked, `"`+j.Spec.ID+`"`) {
							began++
						}
					}
				}
			}
			if began == 0 {
				w.fail("nothing began while the machine was not heard")
			}
			h.cut = false
			w.release(h)
		}},
		{"the holder stands still in the middle of whatever it does, again and again", func(w *world) {
			for i := range 16 {
				if n := w.holder(); n != nil {
					n.stall = []time.Duration{400 * time.Millisecond, 3 * time.Second, 6 * time.Second, 28 * time.Second}[i%4]
					n.stallIn = []string{"command", "return", "state", "question", ""}[i%5]
				}
				w.add(wire.Submission{ID: fmt.Sprintf("job-2%02d", i), Team: "red", Class: "train", Shape: wire.ShapeGang, Priority: "high", Tasks: 2,
					Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 8}, 8*time.Second)
				w.runFor(time.Duration(1700+900*(i%5)) * time.Millisecond)
			}
			w.runFor(30 * time.Second)
		}},
		{"everything is back within a fraction of a second", func(w *world) {
			for i := range 12 {
				for k, n := range w.nodes {
					if i%4 == 3 || i%3 == k {
						n.crash(time.Duration(20+30*k) * time.Millisecond)
					}
				}
				w.runFor(time.Duration(400+700*(i%3)) * time.Millisecond)
			}
		}},
		{"the leader and a candidate restart in mid-election", func(w *world) {
			for _, n := range w.nodes {
				n.crash(50 * time.Millisecond)
			}
			for range 8 { // before any election can be over
				w.runFor(120 * time.Millisecond)
				w.nodes[w.rng.IntN(len(w.nodes))].crash(30 * time.Millisecond)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := calm(t, 6, 8)
			c.play(w)
			w.settled()
		})
	}
}
