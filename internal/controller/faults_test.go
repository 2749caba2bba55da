package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/standin"
	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// steadyTeams, smallType and steadyJob are what steady simulations consist of.
var (
	steadyTeams = []config.Team{{Name: "red"}}
	smallType   = wire.MachineType{Name: "g2", Vcpus: 12, Gpus: 2, MemGb: 96, FetchGbPerS: 1, Price: 5, SpotPrice: 2, BootTimeS: 5, Zones: []string{"a"}}
)

func steadyJob(number int) wire.JobSpec {
	return wire.JobSpec{ID: fmt.Sprintf("job-%d", number), Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "normal", Tasks: 4,
		Vcpus: 4, Gpus: 1, MemGb: 20, Image: "img", ImageGb: 2, AnyType: true, EstimatedRunTimeS: 50}
}

// steadySimulation is a deployment without random faults, with work under way.
func steadySimulation(t *testing.T, machines, jobs int) *simulation {
	return steadySimulationOf(t, 11, machines, jobs)
}

func steadySimulationOf(t *testing.T, seed uint64, machines, jobs int, prepare ...func(sim *simulation)) *simulation {
	sim := newSimulation(t, seed, facts([]string{"a"}, steadyTeams, 1.5, 10), 1, []wire.MachineType{smallType})
	sim.cloud.Available[standin.CapacityKey(smallType.Name, "a", false)] = machines
	for _, f := range prepare {
		f(sim)
	}
	for i := range jobs {
		sim.add(steadyJob(i), 50*time.Second)
	}
	sim.runFor(25 * time.Second)
	for _, h := range sim.machines {
		h.Faulty = false
	}
	if len(sim.machines) == 0 || sim.holder() == nil {
		t.Fatal("nothing runs yet")
	}
	return sim
}

// TestFaults plays the faults that a random day may or may not hold, one by one, each with
// what must come of it beyond the rules.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(sim *simulation)
	}{
		{"no answer reaches a machine any more: it is returned, and its work runs elsewhere", func(sim *simulation) {
			h := sim.someMachine()
			h.inboundCut = true
			sim.runFor(60 * time.Second)
			if sim.machines[h.Host.ID] != nil {
				sim.fail("%s is still rented", h.Host.ID)
			}
		}},
		{"single answers are lost: no machine is returned for it", func(sim *simulation) {
			before := sortedKeys(sim.machines)
			for range 5 {
				for _, id := range before {
					if h := sim.machines[id]; h != nil {
						h.inboundCut = true
						sim.clk.Schedule(1600*time.Millisecond, func() { h.inboundCut = false })
					}
				}
				sim.runFor(9 * time.Second)
			}
			for _, id := range before {
				if sim.machines[id] == nil {
					sim.fail("%s was returned", id)
				}
			}
		}},
		{"copies of a returned machine's reports come late", func(sim *simulation) {
			h := sim.someMachine()
			rep := h.Heartbeat()
			sim.cloud.Remove(h.Host.ID)
			sim.runFor(40 * time.Second)
			n := sim.holder()
			copies := func() {
				for i := range 3 {
					r := *rep
					r.Sequence += uint64(i)
					n.controller.HandleHeartbeat(sim.clk.Now(), &r, func(int, any) {})
				}
			}
			copies()
			if m := n.controller.terms[0].Workers().Get(h.Host.ID); m != nil {
				sim.fail("%s is back: %v", h.Host.ID, m.State)
			}
			// the same to a successor, which never heard that machine
			n.crash(time.Hour)
			sim.runFor(10 * time.Second)
			if n = sim.holder(); n == nil {
				sim.fail("no successor")
				return
			}
			copies()
			if m := n.controller.terms[0].Workers().Get(h.Host.ID); m != nil {
				sim.fail("%s is back at the successor: %v", h.Host.ID, m.State)
			}
		}},
		{"a silent machine's late reports: what its old session says is over", func(sim *simulation) {
			n := sim.holder()
			reg := n.controller.terms[0].Workers()
			h := sim.someMachine()
			rep := h.Heartbeat()
			h.partitioned, h.Hung = true, true
			sim.runFor(reg.LeaseExpiry() + 3*time.Second)
			m := reg.Get(h.Host.ID)
			if m == nil || m.State != worker.LeaseExpired || m.ActiveCopies != 0 {
				sim.fail("not given up: %+v", m)
				return
			}
			answered := m.LeaseRenewedAt
			rep.Sequence += 5
			n.controller.HandleHeartbeat(sim.clk.Now(), rep, func(status int, _ any) {
				if status == 200 {
					sim.fail("a report of a session that is over was taken")
				}
			})
			if m.State != worker.LeaseExpired || m.ActiveCopies != 0 || m.LeaseRenewedAt != answered {
				sim.fail("revived: %v, %d tasks", m.State, m.ActiveCopies)
			}
			h.partitioned, h.Hung = false, false
		}},
		{"the holder is left with its workers only", func(sim *simulation) {
			n := sim.holder()
			n.stateCut, n.peersCut = true, true
			sim.runFor(tuning.MemberLease + time.Second)
			if n.controller.membership.LeaseValid(sim.clk.Now()) {
				sim.fail("the old holder still decides")
			}
			sim.runFor(8 * time.Second)
			if s := sim.holder(); s == nil || s == n {
				sim.fail("no successor is open")
				return
			}
			for _, id := range sim.hosts() {
				if h := sim.machines[id]; sim.nodes[h.Controller] == n || h.Incarnation != 1 {
					sim.fail("%s has not moved over, session %d", id, h.Incarnation)
				}
			}
			n.peersCut = false
			n.restoreState()
		}},
		{"a cancellation beside a holder left with its workers only", func(sim *simulation) {
			n := sim.holder()
			n.stateCut, n.peersCut = true, true
			sim.runFor(500 * time.Millisecond)
			sim.cancel(sim.cluster.Submitted[0]) // cancel_s is checked after each step
			sim.runFor(50 * time.Second)
			n.peersCut = false
			n.restoreState()
		}},
		{"a cancellation while a holder and the workers are cut off from all the rest", func(sim *simulation) {
			long := sim.add(wire.JobSpec{ID: "job-100", Team: "red", Class: "train", Shape: wire.ShapeGang, Priority: "high", Tasks: 2,
				Vcpus: 4, Gpus: 1, MemGb: 20, Image: "img", ImageGb: 2, AnyType: true, EstimatedRunTimeS: 300}, 300*time.Second)
			sim.runFor(20 * time.Second)
			if long.KnownState != wire.JobRunning {
				sim.fail("%s is %s", long.Spec.ID, long.KnownState)
			}
			n := sim.holder()
			n.stateCut, n.peersCut = true, true
			for _, h := range sim.machines {
				h.onlyNode = n
			}
			sim.runFor(500 * time.Millisecond)
			sim.cancel(long)
			sim.cloud.Unavailable = true // or the successor would return them
			sim.runFor(50 * time.Second)
			sim.cloud.Unavailable = false
			for _, h := range sim.machines {
				h.onlyNode = nil
			}
			n.peersCut = false
			n.restoreState()
		}},
		{"a machine is cut off as the holder crashes: what it may run waits, what was never begun does not", func(sim *simulation) {
			for i := range 30 {
				sim.add(wire.JobSpec{ID: fmt.Sprintf("job-1%02d", i), Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "low", Tasks: 4,
					Vcpus: 4, Gpus: 1, MemGb: 20, Image: "img", ImageGb: 2, AnyType: true, EstimatedRunTimeS: 5}, 5*time.Second)
			}
			sim.runFor(27 * time.Second)
			var h *machine
			for _, id := range sim.hosts() {
				if o := sim.machines[id]; len(o.Tasks) > 0 && o.Tasks[0].OnMachine() {
					h = o
				}
			}
			h.partitioned = true
			before := sim.holder()
			marked := string(sim.state.Keys["b/0/0"].Value)
			before.crash(time.Second)
			began := 0
			for range 9 {
				sim.runFor(time.Second)
				for _, n := range sim.nodes {
					t := n.controller.terms[0]
					if !n.alive || n == before || t == nil || t.State() != term.Fencing {
						continue
					}
					for _, j := range t.Scheduler().OpenJobs() {
						if j.FromEarlierTerm && j.AssignedTasks() > 0 && !strings.Contains(marked, `"`+j.Spec.ID+`"`) {
							began++
						}
					}
				}
			}
			if began == 0 {
				sim.fail("nothing began while the machine was not heard")
			}
			h.partitioned = false
			sim.release(h)
		}},
		{"the holder stands still in the middle of whatever it does, again and again", func(sim *simulation) {
			for i := range 16 {
				if n := sim.holder(); n != nil {
					n.freezeFor = []time.Duration{400 * time.Millisecond, 3 * time.Second, 6 * time.Second, 28 * time.Second}[i%4]
					n.freezeAt = []effect{commandEffect, returnEffect, stateEffect, questionEffect, anyEffect}[i%5]
				}
				sim.add(wire.JobSpec{ID: fmt.Sprintf("job-2%02d", i), Team: "red", Class: "train", Shape: wire.ShapeGang, Priority: "high", Tasks: 2,
					Vcpus: 4, Gpus: 1, MemGb: 20, Image: "img", ImageGb: 2, AnyType: true, EstimatedRunTimeS: 8}, 8*time.Second)
				sim.runFor(time.Duration(1700+900*(i%5)) * time.Millisecond)
			}
			sim.runFor(30 * time.Second)
		}},
		{"everything is back within a fraction of a second", func(sim *simulation) {
			for i := range 12 {
				for k, n := range sim.nodes {
					if i%4 == 3 || i%3 == k {
						n.crash(time.Duration(20+30*k) * time.Millisecond)
					}
				}
				sim.runFor(time.Duration(400+700*(i%3)) * time.Millisecond)
			}
		}},
		{"the leader and a candidate restart in mid-election", func(sim *simulation) {
			for _, n := range sim.nodes {
				n.crash(50 * time.Millisecond)
			}
			for range 8 { // before any election can be over
				sim.runFor(120 * time.Millisecond)
				sim.nodes[sim.rng.IntN(len(sim.nodes))].crash(30 * time.Millisecond)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := steadySimulation(t, 6, 8)
			c.play(sim)
			sim.settle()
		})
		t.Run("duties, "+c.name, func(t *testing.T) {
			sim := steadySimulationOf(t, 11, 6, 8, (*simulation).keepDuties)
			c.play(sim)
			sim.settle()
		})
	}
}
