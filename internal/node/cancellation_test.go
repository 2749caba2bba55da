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
			sim.clk.In(1700*time.Millisecond, func() {
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
			sim.clk.In(1450*time.Millisecond, func() {
				for i, id := range sim.hosts() {
					if h := sim.machines[id]; i%2 == 0 {
						h.Hung = true
						sim.clk.In(8*time.Second, func() { h.Hung = false; sim.release(h) })
					}
				}
			})
		}},
		{name: "machines do not hear the holder", before: func(sim *simulation, _, _ *simulatedNode) {
			sim.clk.In(1450*time.Millisecond, func() {
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
					long = append(long, sim.add(wire.Submission{ID: fmt.Sprintf("job-1%02d", i), Team: "red", Class: "train", Shape: wire.ShapeBatch, Priority: "high", Tasks: 2,
						Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 300}, 400*time.Second))
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
					sessions[id] = sim.machines[id].Session
					for _, p := range sim.machines[id].Tasks {
						if p.Job.Run == 400*time.Second && p.Stage == wire.TaskRunning {
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
					j.CancelAsked = true
					ask := other.core.Users().Cancel
					if i == 2 { // found by another request than the one that cancelled
						ask = func(now time.Time, id string, reply func(submission.Response)) {
							other.core.Users().Cancel(now, id, func(submission.Response) {
								other.core.Users().Submit(now, j.Spec, reply)
							})
						}
					}
					ask(sim.clk.Now(), j.Spec.ID, func(r submission.Response) {
						if a, ok := r.Body.(wire.Accepted); r.Status == 200 && ok {
							sim.tell(j, a.Stage, "")
						}
					})
				}
				sim.runFor(300 * time.Millisecond)
				for _, j := range long[:3] {
					if j.Told != wire.JobWithdrawn {
						t.Fatalf("%s was told %q", j.Spec.ID, j.Told)
					}
				}
				sim.state.SetDown(true)
				sim.runFor(10 * time.Second)
				if c.during != nil {
					c.during(sim, holder, other)
				}
				sim.runFor(50 * time.Second)
				if c.keeps {
					for id, session := range sessions {
						if h := sim.machines[id]; h != nil && h.Session != session {
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
				sim.state.SetDown(false)
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
		change func(h *simulatedNode, m *peerpb.PulseMessage)
		moves  bool
	}{
		{"peers that say they have told of nothing else", func(*simulatedNode, *peerpb.PulseMessage) {}, true},
		{"peers that lost count", func(_ *simulatedNode, m *peerpb.PulseMessage) { m.Vouches = false }, false},
		{"peers that know of an older token: what the holder before has was told to that one", func(_ *simulatedNode, m *peerpb.PulseMessage) {
			m.Holdings = []*peerpb.Holding{{Token: m.Holdings[0].Token - 1, Holder: m.Holdings[0].Holder}}
		}, false},
		{"peers that know of no holder", func(_ *simulatedNode, m *peerpb.PulseMessage) { m.Holdings = nil }, false},
		{"peers that echo a former process of the holder's name: the mark is of another clock", func(_ *simulatedNode, m *peerpb.PulseMessage) {
			m.EchoProcess++
			m.EchoNs += int64(time.Hour)
		}, false},
		{"peers of an earlier version", func(_ *simulatedNode, m *peerpb.PulseMessage) {
			m.Process, m.UpMs, m.MarkNs, m.EchoProcess, m.EchoNs, m.Vouches = 0, 0, 0, 0, 0, false
		}, false},
		{"peers that were replaced since the holder's last read", func(_ *simulatedNode, m *peerpb.PulseMessage) { m.Process++; m.UpMs = 100 }, false},
		{"nobody's while the records are being read: what is called off cannot be stopped yet", func(h *simulatedNode, _ *peerpb.PulseMessage) { h.core.tenures[0].state = tenureLoading }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := steadySimulation(t, 6, 8)
			h := sim.holder()
			sim.state.SetDown(true)
			sim.runFor(3 * time.Second)
			words := map[string]*peerpb.PulseMessage{}
			for _, n := range sim.nodes {
				if n != h {
					m := n.core.pulseMessage(sim.clk.Now(), h.name)
					c.change(h, m)
					words[n.name] = m
				}
				n.peersCut = true
			}
			h.core.tenures[0].knows(sim.clk.Now())
			before := h.core.tenures[0].knows(sim.clk.Now())
			sim.runFor(200 * time.Millisecond)
			for _, m := range words {
				m.MarkNs += int64(time.Second)
				m.EchoNs += int64(time.Second) / 10
				h.core.Pulse(sim.clk.Now(), m)
			}
			after := h.core.tenures[0].knows(sim.clk.Now())
			if moved := after.After(before); moved != c.moves || after.After(sim.clk.Now()) {
				t.Errorf("horizon moved by %v, want %v", after.Sub(before), c.moves)
			}
		})
	}
	t.Run("own reads of jobs, while the control records are not read", func(t *testing.T) {
		sim := steadySimulation(t, 6, 8)
		h := sim.holder()
		h.silentWatches, h.peersCut = leader.Control, true
		sim.runFor(10 * time.Second)
		if n := sim.holder(); n != h {
			t.Fatal("it is not the holder any more")
		}
		if at := h.core.tenures[0].knows(sim.clk.Now()); sim.clk.Now().Sub(at) < 4*time.Second {
			t.Errorf("it believes to know all up to %v ago, and may have lost the block since", sim.clk.Now().Sub(at))
		}
	})
}

// A successor is still reading the records when the state service goes: it may not renew
// the lease of a task that was called off before it began, as it cannot stop it.
func TestOutageWhileLoading(t *testing.T) {
	for seed := range uint64(4) {
		sim := steadySimulationOf(t, 20+seed, 6, 2)
		long := sim.add(wire.Submission{ID: "job-100", Team: "red", Class: "train", Shape: wire.ShapeBatch, Priority: "high", Tasks: 4,
			Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 300}, 400*time.Second)
		other := sim.add(wire.Submission{ID: "job-101", Team: "red", Class: "train", Shape: wire.ShapeBatch, Priority: "high", Tasks: 2,
			Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 300}, 400*time.Second)
		sim.runFor(40 * time.Second)
		h := sim.holder()
		for _, o := range sim.machines {
			o.partitioned = true
		}
		sim.cancel(long)
		sim.runFor(3 * time.Second)
		h.crash(time.Hour)
		loading := func() bool {
			for _, n := range sim.nodes {
				if t := n.core.tenures[0]; n.alive && t != nil && t.state == tenureLoading {
					return true
				}
			}
			return false
		}
		for !loading() {
			sim.clk.Step()
		}
		if long.Told != wire.JobWithdrawn {
			t.Fatalf("told %q", long.Told)
		}
		sim.state.SetDown(true)
		renewed := map[bool]int{} // by whether the job was called off
		for _, n := range sim.nodes {
			if t := n.core.tenures[0]; n.alive && t != nil && t.state == tenureLoading {
				for _, id := range sim.hosts() {
					rep := sim.machines[id].Report()
					for _, p := range rep.Tasks {
						one := *rep
						one.Tasks = []wire.Task{p}
						off := strings.HasPrefix(p.Task, long.Spec.ID)
						t.Report(sim.clk.Now(), &one, func(status int, _ any) {
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
		for _, o := range sim.machines {
			o.partitioned = false
			sim.release(o)
		}
		sim.runFor(50 * time.Second)
		sim.state.SetDown(false)
		h.crash(0)
		sim.cancel(other)
		sim.settle()
	}
}

// A cancellation is passed to a holder that is still reading the records, and has read
// the jobs already: it says that it has it, so it may not take the job up as open.
func TestToldWhileLoading(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	sim.holder().crash(time.Hour)
	for range 100000 {
		sim.clk.Step()
		for _, n := range sim.nodes {
			te := n.core.tenures[0]
			if !n.alive || te == nil || te.state != tenureLoading {
				continue
			}
			id := sim.cluster.Order[3].Spec.ID
			if _, open := n.core.open.Get(submission.OpenKey(id)); !open {
				t.Fatalf("%s is not open", id)
			}
			other := sim.nodes[0]
			if other == n {
				other = sim.nodes[1]
			}
			m := other.core.pulseMessage(sim.clk.Now(), n.name)
			m.Withdrawn = []string{id}
			r := n.core.Pulse(sim.clk.Now(), m)
			if !slices.Contains(r.Have, id) {
				t.Fatal("it does not say that it has it")
			}
			for te.state == tenureLoading {
				sim.clk.Step()
			}
			if te.state != tenureFencing || te.board.Job(id) != nil || te.board.Job(sim.cluster.Order[4].Spec.ID) == nil {
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
	sim := steadySimulation(t, 6, 2)
	n := sim.holder()
	other := sim.nodes[0]
	if other == n {
		other = sim.nodes[1]
	}
	m := other.core.pulseMessage(sim.clk.Now(), n.name)
	m.Withdrawn = []string{"job-900"}
	n.core.Pulse(sim.clk.Now(), m)
	for _, id := range []string{"job-900", "job-901"} {
		sim.add(wire.Submission{ID: id, Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "normal", Tasks: 1,
			Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 5}, 5*time.Second)
	}
	sim.runFor(2 * time.Second)
	if b := n.core.tenures[0].board; b.Job("job-900") != nil || b.Job("job-901") == nil {
		t.Errorf("called off and open: %v; another open: %v", b.Job("job-900") != nil, b.Job("job-901") != nil)
	}
}

// The room of machines not heard counts against a team's limit from the moment at which
// the records are read: a report, and a start, may come before the next tick.
func TestUnheardCountsAtOnce(t *testing.T) {
	sim := newSimulation(t, 11, facts([]string{"a"}, []config.Team{{Name: "red", GPUsMax: 12}}, 1.5, 10), 1,
		[]wire.MachineType{{Name: "g2", Vcpus: 12, Gpus: 2, MemGb: 96, FetchGbPerS: 1, Price: 5, LowPrice: 2, BootS: 5, Zones: []string{"a"}}})
	sim.cloud.Room[standin.RoomKey("g2", "a", false)] = 4
	sim.add(wire.Submission{ID: "job-1", Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "normal", Tasks: 8,
		Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 50}, 50*time.Second)
	sim.runFor(25 * time.Second)
	for _, h := range sim.machines {
		h.partitioned = true
	}
	sim.holder().crash(time.Hour)
	for range 100000 {
		sim.clk.Step()
		for _, n := range sim.nodes {
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
	sim := steadySimulation(t, 2, 1)
	sim.runFor(40 * time.Second)
	for i := range 3 {
		sim.add(wire.Submission{ID: fmt.Sprintf("job-1%02d", i), Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "high", Tasks: 1,
			Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 200}, 200*time.Second)
	}
	sim.runFor(30 * time.Second)
	sim.rates.delayedCommands, sim.rates.commandDelay = 1, 60*time.Second
	gang := sim.add(wire.Submission{ID: "job-200", Team: "red", Class: "train", Shape: wire.ShapeGang, Priority: "high", Tasks: 1,
		Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 10}, 10*time.Second)
	sent := func() int {
		n := 0
		for _, m := range sim.holder().core.tenures[0].reg.All() {
			if m.DoBusy {
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

// A machine that a successor hears for the first time gets the stops for what is over
// with the very answer that renews its lease.
func TestInheritedCancellation(t *testing.T) {
	sim := steadySimulation(t, 6, 2)
	long := sim.add(wire.Submission{ID: "job-100", Team: "red", Class: "train", Shape: wire.ShapeBatch, Priority: "high", Tasks: 2,
		Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: "img", ImageGb: 2, AnyType: true, GuessS: 300}, 400*time.Second)
	sim.runFor(40 * time.Second)
	var on *machine
	for _, id := range sim.hosts() {
		for _, p := range sim.machines[id].Tasks {
			if p.Job == long && p.OnMachine() {
				on = sim.machines[id]
			}
		}
	}
	on.partitioned = true
	h := sim.holder()
	h.crash(time.Hour)
	sim.cancel(long)
	var next *tenure
	for range 200 {
		sim.runFor(50 * time.Millisecond)
		for _, n := range sim.nodes {
			if t := n.core.tenures[0]; n.alive && t != nil && t.state == tenureFencing {
				next = t
			}
		}
		if next != nil {
			break
		}
	}
	if next == nil || long.Told != wire.JobWithdrawn {
		t.Fatalf("no successor, or told %q", long.Told)
	}
	stopped := false
	next.Report(sim.clk.Now(), on.Report(), func(status int, body any) {
		for _, o := range body.(wire.Commands).Commands {
			id, _, _ := wire.ParseTask(o.Task)
			stopped = stopped || status == 200 && o.Verb == wire.VerbStop && id == long.Spec.ID
		}
	})
	if !stopped {
		t.Error("its lease is renewed, and its task not stopped")
	}
	on.partitioned = false
	sim.release(on)
	sim.settle()
}
