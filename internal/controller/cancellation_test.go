package controller

import (
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/leader"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/standin"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// The state service refuses the holder alone, another controller confirms
// cancellations that the holder cannot read there, and then it is down for all, longer
// than a cancelled job's tasks have, while workers go on reporting to the holder. What
// the holder knows comes from its peers, or its renewals end. That the tasks are gone in
// time is checked after each step.
func TestCancelledBeforeOutage(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(sim *simulation, holder, other *simulatedNode) // as the holder is refused
		during func(sim *simulation, holder, other *simulatedNode) // in the outage
		keeps  bool                                                // whether no worker may lose its lease
	}{
		{name: "as it was seen", keeps: true},
		{name: "the confirming node ends in the outage and is back within a second", during: func(sim *simulation, _, other *simulatedNode) { other.crash(600 * time.Millisecond) }},
		{name: "it ends before it has passed them on, and is back at once", before: func(sim *simulation, _, other *simulatedNode) {
			other.peersCut = true
			sim.clk.Schedule(1700*time.Millisecond, func() {
				other.crash(300 * time.Millisecond)
				other.peersCut = false
			})
		}},
		{name: "controllers do not reach each other either", before: func(sim *simulation, _, _ *simulatedNode) {
			for _, n := range sim.nodes {
				n.peersCut = true
			}
		}},
		{name: "the confirming node alone is cut off from the others", before: func(sim *simulation, _, other *simulatedNode) { other.peersCut = true }},
		{name: "the holder ends in the outage and is back within a second", during: func(sim *simulation, holder, _ *simulatedNode) { holder.crash(400 * time.Millisecond) }},
		{name: "all end in the outage and are back within a second", during: func(sim *simulation, _, _ *simulatedNode) {
			for i, n := range sim.nodes {
				n.crash(time.Duration(200+150*i) * time.Millisecond)
			}
		}},
		{name: "a third controller ends in the outage", during: func(sim *simulation, holder, other *simulatedNode) {
			for _, n := range sim.nodes {
				if n != holder && n != other {
					n.crash(time.Minute)
				}
			}
		}},
		{name: "machines hang as their jobs are called off", keeps: false, before: func(sim *simulation, _, _ *simulatedNode) {
			sim.clk.Schedule(1450*time.Millisecond, func() {
				for i, id := range sim.hosts() {
					if h := sim.machines[id]; i%2 == 0 {
						h.Hung = true
						sim.clk.Schedule(8*time.Second, func() { h.Hung = false; sim.release(h) })
					}
				}
			})
		}},
		{name: "machines do not hear the holder", before: func(sim *simulation, _, _ *simulatedNode) {
			sim.clk.Schedule(1450*time.Millisecond, func() {
				for i, id := range sim.hosts() {
					if i%2 == 0 {
						sim.machines[id].inboundCut = true
					}
				}
			})
		}},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				sim := steadySimulationOf(t, 11+seed, 6, 2)
				var long []*standin.Job
				for i := range 4 {
					long = append(long, sim.add(wire.JobSpec{ID: fmt.Sprintf("job-1%02d", i), Team: "red", Class: "train", Shape: wire.ShapeBatch, Priority: "high", Tasks: 2,
						Vcpus: 4, Gpus: 1, MemGb: 20, Image: "img", ImageGb: 2, AnyType: true, EstimatedRunTimeS: 300}, 400*time.Second))
				}
				sim.runFor(45 * time.Second)
				holder := sim.holder()
				var other *simulatedNode
				for _, n := range sim.nodes {
					if n != holder {
						other = n
					}
				}
				sessions := map[string]uint64{}
				running := 0
				for _, id := range sim.hosts() {
					sessions[id] = sim.machines[id].Incarnation
					for _, p := range sim.machines[id].Tasks {
						if p.Job.RunTime == 400*time.Second && p.Stage == wire.TaskRunning {
							running++
						}
					}
				}
				if running < 6 {
					t.Fatalf("only %d long tasks run", running)
				}
				holder.stateRefused = true
				if c.before != nil {
					c.before(sim, holder, other)
				}
				sim.runFor(1500 * time.Millisecond)
				for i, j := range long[:3] {
					j.CancelRequested = true
					ask := other.controller.Cancel
					if i == 2 { // found by another request than the one that cancelled
						ask = func(now time.Time, id string, reply func(submission.Response)) {
							other.controller.Cancel(now, id, func(submission.Response) {
								other.controller.Submit(now, j.Spec, reply)
							})
						}
					}
					ask(sim.clk.Now(), j.Spec.ID, func(r submission.Response) {
						if a, ok := r.Body.(wire.JobAccepted); r.Status == 200 && ok {
							sim.tell(j, a.State, "")
						}
					})
				}
				sim.runFor(300 * time.Millisecond)
				for _, j := range long[:3] {
					if j.KnownState != wire.JobCancelled {
						t.Fatalf("%s was told %q", j.Spec.ID, j.KnownState)
					}
				}
				sim.state.SetUnavailable(true)
				sim.runFor(10 * time.Second)
				if c.during != nil {
					c.during(sim, holder, other)
				}
				sim.runFor(50 * time.Second)
				if c.keeps {
					for id, session := range sessions {
						if h := sim.machines[id]; h != nil && h.Incarnation != session {
							sim.fail("%s lost its lease", id)
						}
					}
				}
				holder.stateRefused = false
				for _, n := range sim.nodes {
					n.peersCut = false
				}
				for _, id := range sim.hosts() {
					sim.machines[id].inboundCut = false
				}
				sim.state.SetUnavailable(false)
				sim.runFor(30 * time.Second)
				sim.cancel(long[3])
				sim.settle()
			})
		}
	}
}

// Whose word moves a holder's horizon on while it cannot read the state service itself,
// and what else may not.
func TestWhoVouches(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(h *simulatedNode, m *peerpb.PeerHeartbeat)
		moves  bool
	}{
		{"peers that say they have told of nothing else", func(*simulatedNode, *peerpb.PeerHeartbeat) {}, true},
		{"peers that lost count", func(_ *simulatedNode, m *peerpb.PeerHeartbeat) { m.CancellationsComplete = false }, false},
		{"peers that know of an older token: what the holder before has was told to that one", func(_ *simulatedNode, m *peerpb.PeerHeartbeat) {
			m.Claims = []*peerpb.LeaseClaim{{Token: m.Claims[0].Token - 1, Holder: m.Claims[0].Holder}}
		}, false},
		{"peers that know of no holder", func(_ *simulatedNode, m *peerpb.PeerHeartbeat) { m.Claims = nil }, false},
		{"peers that echo a former process of the holder's name: the mark is of another clock", func(_ *simulatedNode, m *peerpb.PeerHeartbeat) {
			m.EchoProcess++
			m.EchoNs += int64(time.Hour)
		}, false},
		{"peers of an earlier version", func(_ *simulatedNode, m *peerpb.PeerHeartbeat) {
			m.Process, m.UpMs, m.ClockNs, m.EchoProcess, m.EchoNs, m.CancellationsComplete = 0, 0, 0, 0, 0, false
		}, false},
		{"peers that were replaced since the holder's last read", func(_ *simulatedNode, m *peerpb.PeerHeartbeat) { m.Process++; m.UpMs = 100 }, false},
		{"nobody's while the records are being read: what is called off cannot be stopped yet", func(h *simulatedNode, _ *peerpb.PeerHeartbeat) { h.startsTermAnew() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := steadySimulation(t, 6, 8)
			h := sim.holder()
			sim.state.SetUnavailable(true)
			sim.runFor(3 * time.Second)
			words := map[string]*peerpb.PeerHeartbeat{}
			for _, n := range sim.nodes {
				if n != h {
					m := n.controller.peerHeartbeat(sim.clk.Now(), h.name)
					c.change(h, m)
					words[n.name] = m
				}
				n.peersCut = true
			}
			h.controller.terms[0].CancellationsKnownUntil(sim.clk.Now())
			before := h.controller.terms[0].CancellationsKnownUntil(sim.clk.Now())
			sim.runFor(200 * time.Millisecond)
			for _, m := range words {
				m.ClockNs += int64(time.Second)
				m.EchoNs += int64(time.Second) / 10
				h.controller.HandlePeerHeartbeat(sim.clk.Now(), m)
			}
			after := h.controller.terms[0].CancellationsKnownUntil(sim.clk.Now())
			if moved := after.After(before); moved != c.moves || after.After(sim.clk.Now()) {
				t.Errorf("horizon moved by %v, want %v", after.Sub(before), c.moves)
			}
		})
	}
	t.Run("own reads of jobs, while the control records are not read", func(t *testing.T) {
		sim := steadySimulation(t, 6, 8)
		h := sim.holder()
		h.silentWatches, h.peersCut = leader.ControlPrefix, true
		sim.runFor(10 * time.Second)
		if n := sim.holder(); n != h {
			t.Fatal("it is not the holder any more")
		}
		if at := h.controller.terms[0].CancellationsKnownUntil(sim.clk.Now()); sim.clk.Now().Sub(at) < 4*time.Second {
			t.Errorf("it believes to know all up to %v ago, and may have lost the block since", sim.clk.Now().Sub(at))
		}
	})
}

// A direct command with a start is held up on its way for longer than a cancelled job's
// tasks have, on machines that others' work keeps busy. A stop cannot overtake it: only
// the end of the session voids it.
func TestStartOnItsWay(t *testing.T) {
	sim := steadySimulation(t, 2, 1)
	sim.runFor(40 * time.Second)
	for i := range 3 {
		sim.add(wire.JobSpec{ID: fmt.Sprintf("job-1%02d", i), Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "high", Tasks: 1,
			Vcpus: 4, Gpus: 1, MemGb: 20, Image: "img", ImageGb: 2, AnyType: true, EstimatedRunTimeS: 200}, 200*time.Second)
	}
	sim.runFor(30 * time.Second)
	sim.rates.delayedCommands, sim.rates.commandDelay = 1, 60*time.Second
	gang := sim.add(wire.JobSpec{ID: "job-200", Team: "red", Class: "train", Shape: wire.ShapeGang, Priority: "high", Tasks: 1,
		Vcpus: 4, Gpus: 1, MemGb: 20, Image: "img", ImageGb: 2, AnyType: true, EstimatedRunTimeS: 10}, 10*time.Second)
	sent := func() int {
		n := 0
		for _, m := range sim.holder().controller.terms[0].Workers().All() {
			if m.CommandInFlight {
				n++
			}
		}
		return n
	}
	for range 100 {
		if sim.runFor(50 * time.Millisecond); sent() > 0 {
			break
		}
	}
	if sent() == 0 {
		t.Fatal("no direct command is on its way")
	}
	sim.rates = faultRates{}
	for _, h := range sim.machines {
		if len(h.Tasks) == 0 {
			t.Fatalf("%s has no other work", h.Host.ID)
		}
	}
	sim.cancel(gang)
	sim.runFor(90 * time.Second)
	sim.settle()
}
