package node

import (
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/peer/peerpb"
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
					long = append(long, w.add(wire.Submission{ID: fmt.Sprintf("job-1%02d", i), Crew: "red", Lane: "train", Shape: wire.ShapeBatch, Rank: "high", Pieces: 2,
						Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyBuild: true, GuessS: 300}, 400*time.Second))
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
					sessions[id] = w.workers[id].stint
					for _, p := range w.workers[id].pieces {
						if p.job.run == 400*time.Second && p.stage == wire.PieceRunning {
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
					for id, stint := range sessions {
						if h := w.workers[id]; h != nil && h.stint != stint {
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

// A holder that was restarted, and holds the block again, gets what its peers sent to the
// process before it: their word is good for that one's clock, not for its own.
func TestLateWord(t *testing.T) {
	w := calm(t, 6, 8)
	w.runFor(60 * time.Second)
	h := w.holder()
	late := map[string]*peerpb.PulseMessage{}
	for _, n := range w.nodes {
		if n != h {
			late[n.name] = n.core.pulseMessage(w.clk.now, h.name)
		}
	}
	h.crash(100 * time.Millisecond)
	for range 10 {
		w.runFor(6 * time.Second)
		n := w.holder()
		if n == h {
			break
		}
		if n != nil { // the next to hold it
			n.refused = true
			w.clk.in(5*time.Second, func() { n.refused = false })
		}
	}
	if w.holder() != h {
		t.Fatal("it did not get the block back")
	}
	w.runFor(2 * time.Second)
	w.state.setDown(true)
	h.cutPeers = true
	cut := w.clk.now
	w.runFor(2 * time.Second)
	for _, m := range late {
		m.Holdings = h.core.holdings()
		h.core.Pulse(w.clk.now, m)
	}
	if at := h.core.tenures[0].knows(w.clk.now); at.After(cut) {
		t.Errorf("horizon moved on by %v without a word of this process's peers", at.Sub(cut))
	}
	w.state.setDown(false)
	h.cutPeers = false
	w.settled()
}
