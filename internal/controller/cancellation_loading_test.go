package controller

import (
	"slices"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/standin"
	"juniperchute/internal/submission"
	"juniperchute/internal/term"
	"juniperchute/internal/wire"
)

// A successor is still reading the records when the state service goes: it may not renew
// the lease of a task that was called off before it began, as it cannot stop it.
func TestOutageWhileLoading(t *testing.T) {
	for seed := range uint64(4) {
		sim := steadySimulationOf(t, 20+seed, 6, 2)
		long := sim.add(wire.JobSpec{ID: "job-100", Team: "red", Class: "train", Shape: wire.ShapeBatch, Priority: "high", Tasks: 4,
			Vcpus: 4, Gpus: 1, MemGb: 20, Image: "img", ImageGb: 2, AnyType: true, EstimatedRunTimeS: 300}, 400*time.Second)
		other := sim.add(wire.JobSpec{ID: "job-101", Team: "red", Class: "train", Shape: wire.ShapeBatch, Priority: "high", Tasks: 2,
			Vcpus: 4, Gpus: 1, MemGb: 20, Image: "img", ImageGb: 2, AnyType: true, EstimatedRunTimeS: 300}, 400*time.Second)
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
				if t := n.controller.terms[0]; n.alive && t != nil && t.State() == term.Loading {
					return true
				}
			}
			return false
		}
		for !loading() {
			sim.clk.Step()
		}
		if long.KnownState != wire.JobCancelled {
			t.Fatalf("told %q", long.KnownState)
		}
		sim.state.SetUnavailable(true)
		renewed := map[bool]int{} // by whether the job was called off
		for _, n := range sim.nodes {
			if t := n.controller.terms[0]; n.alive && t != nil && t.State() == term.Loading {
				for _, id := range sim.hosts() {
					rep := sim.machines[id].Heartbeat()
					for _, p := range rep.Tasks {
						one := *rep
						one.Tasks = []wire.TaskStatus{p}
						off := strings.HasPrefix(p.Name, long.Spec.ID)
						t.HandleHeartbeat(sim.clk.Now(), &one, func(status int, _ any) {
							if status == 200 && p.State != wire.TaskExited {
								renewed[off]++
							}
						})
						rep.Sequence++
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
		sim.state.SetUnavailable(false)
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
			te := n.controller.terms[0]
			if !n.alive || te == nil || te.State() != term.Loading {
				continue
			}
			id := sim.cluster.Submitted[3].Spec.ID
			if _, open := n.controller.openJobs.Get(submission.OpenJobKey(id)); !open {
				t.Fatalf("%s is not open", id)
			}
			other := sim.nodes[0]
			if other == n {
				other = sim.nodes[1]
			}
			m := other.controller.peerHeartbeat(sim.clk.Now(), n.name)
			m.Cancelled = []string{id}
			r := n.controller.HandlePeerHeartbeat(sim.clk.Now(), m)
			if !slices.Contains(r.AcknowledgedCancelled, id) {
				t.Fatal("it does not say that it has it")
			}
			for te.State() == term.Loading {
				sim.clk.Step()
			}
			if te.State() != term.Fencing || te.Scheduler().OpenJob(id) != nil || te.Scheduler().OpenJob(sim.cluster.Submitted[4].Spec.ID) == nil {
				t.Errorf("%v: the job that was called off is open: %v", te.State(), te.Scheduler().OpenJob(id) != nil)
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
	m := other.controller.peerHeartbeat(sim.clk.Now(), n.name)
	m.Cancelled = []string{"job-900"}
	n.controller.HandlePeerHeartbeat(sim.clk.Now(), m)
	for _, id := range []string{"job-900", "job-901"} {
		sim.add(wire.JobSpec{ID: id, Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "normal", Tasks: 1,
			Vcpus: 4, Gpus: 1, MemGb: 20, Image: "img", ImageGb: 2, AnyType: true, EstimatedRunTimeS: 5}, 5*time.Second)
	}
	sim.runFor(2 * time.Second)
	if b := n.controller.terms[0].Scheduler(); b.OpenJob("job-900") != nil || b.OpenJob("job-901") == nil {
		t.Errorf("called off and open: %v; another open: %v", b.OpenJob("job-900") != nil, b.OpenJob("job-901") != nil)
	}
}

// The room of machines not heard counts against a team's limit from the moment at which
// the records are read: a report, and a start, may come before the next tick.
func TestUnheardCountsAtOnce(t *testing.T) {
	sim := newSimulation(t, 11, facts([]string{"a"}, []config.Team{{Name: "red", GPUsMax: 12}}, 1.5, 10), 1,
		[]wire.MachineType{{Name: "g2", Vcpus: 12, Gpus: 2, MemGb: 96, FetchGbPerS: 1, Price: 5, SpotPrice: 2, BootTimeS: 5, Zones: []string{"a"}}})
	sim.cloud.Available[standin.CapacityKey("g2", "a", false)] = 4
	sim.add(wire.JobSpec{ID: "job-1", Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "normal", Tasks: 8,
		Vcpus: 4, Gpus: 1, MemGb: 20, Image: "img", ImageGb: 2, AnyType: true, EstimatedRunTimeS: 50}, 50*time.Second)
	sim.runFor(25 * time.Second)
	for _, h := range sim.machines {
		h.partitioned = true
	}
	sim.holder().crash(time.Hour)
	for range 100000 {
		sim.clk.Step()
		for _, n := range sim.nodes {
			if te := n.controller.terms[0]; n.alive && te != nil && te.State() == term.Fencing {
				all := quota.Resources{GPUs: 12}
				if te.Ledger().AdmitsStart("red", all) {
					t.Error("the whole limit may be used, though no machine has been heard")
				}
				return
			}
		}
	}
	t.Fatal("no successor")
}

// A machine that a successor hears for the first time gets the stops for what is over
// with the very answer that renews its lease.
func TestInheritedCancellation(t *testing.T) {
	sim := steadySimulation(t, 6, 2)
	long := sim.add(wire.JobSpec{ID: "job-100", Team: "red", Class: "train", Shape: wire.ShapeBatch, Priority: "high", Tasks: 2,
		Vcpus: 4, Gpus: 1, MemGb: 20, Image: "img", ImageGb: 2, AnyType: true, EstimatedRunTimeS: 300}, 400*time.Second)
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
	var next *term.Term
	for range 200 {
		sim.runFor(50 * time.Millisecond)
		for _, n := range sim.nodes {
			if t := n.controller.terms[0]; n.alive && t != nil && t.State() == term.Fencing {
				next = t
			}
		}
		if next != nil {
			break
		}
	}
	if next == nil || long.KnownState != wire.JobCancelled {
		t.Fatalf("no successor, or told %q", long.KnownState)
	}
	stopped := false
	next.HandleHeartbeat(sim.clk.Now(), on.Heartbeat(), func(status int, body any) {
		for _, o := range body.(wire.HeartbeatResponse).Commands {
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
