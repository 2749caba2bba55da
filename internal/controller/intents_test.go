package controller

import (
	"strings"
	"testing"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/term"
	"juniperchute/internal/worker"
)

// intentLogSimulation returns a deployment with the intent log enabled and jobs running.
func intentLogSimulation(t *testing.T) *simulation {
	return steadySimulationWith(t, 11, 6, 8, (*simulation).enableIntentLog)
}

// loggedTargets returns the targets of the intents in the stored logs of all shards, in no order.
func (sim *simulation) loggedTargets() []string {
	var targets []string
	for key, kv := range sim.state.Keys {
		if !strings.HasPrefix(key, intentlog.Prefix) {
			continue
		}
		intents, err := intentlog.ReadPage(kv.Value)
		if err != nil {
			sim.addViolation("decode intent log page %s: %v", key, err)
		}
		for _, intent := range intents {
			targets = append(targets, intent.Target)
		}
	}
	return targets
}

// runUntilIntentLogged runs the simulation until the stored log holds an intent.
func (sim *simulation) runUntilIntentLogged() {
	sim.t.Helper()
	sim.runUntil("an intent is stored", 2*time.Minute, func() bool { return len(sim.loggedTargets()) > 0 })
}

// failureAfterIntent describes a failure between the write of an intent and its cloud call.
type failureAfterIntent struct {
	name string
	fail func(sim *simulation, holder *simulatedNode)
}

var failuresAfterIntent = []failureAfterIntent{
	{
		name: "state service outage",
		fail: func(sim *simulation, _ *simulatedNode) { sim.injectStateOutage(20 * time.Second) },
	},
	{
		name: "state service refuses the lease holder",
		fail: func(sim *simulation, holder *simulatedNode) { sim.injectStateRefusal(holder, 20*time.Second) },
	},
	{
		name: "lease holder is partitioned from the state service and its calls arrive late",
		fail: func(sim *simulation, holder *simulatedNode) {
			holder.statePartitioned = true
			sim.clock.Schedule(20*time.Second, holder.reconnectState)
		},
	},
	{
		name: "cloud outage",
		fail: func(sim *simulation, _ *simulatedNode) {
			sim.cloud.Unavailable = true
			sim.clock.Schedule(20*time.Second, func() { sim.cloud.Unavailable = false })
		},
	},
	{
		name: "cloud calls of the lease holder are lost or late and it crashes",
		fail: func(sim *simulation, holder *simulatedNode) {
			holder.cloudPartitioned = true
			sim.clock.Schedule(3*time.Second, func() { holder.crash(time.Second) })
			sim.clock.Schedule(20*time.Second, func() { holder.cloudPartitioned = false })
		},
	},
	{
		name: "lease holder crashes, then its successor",
		fail: crashHolderAndSuccessor,
	},
	{
		name: "all controllers crash",
		fail: func(sim *simulation, _ *simulatedNode) {
			for _, n := range sim.nodes {
				n.crash(time.Second)
			}
		},
	},
}

// crashHolderAndSuccessor crashes the lease holder, and then its successor as soon as it has a term.
func crashHolderAndSuccessor(sim *simulation, holder *simulatedNode) {
	holder.crash(500 * time.Millisecond)
	sim.runUntil("another controller has a term", 20*time.Second, func() bool {
		for _, n := range sim.nodes {
			t := n.controller.terms[0]
			if n.alive && n != holder && t != nil && t.State() != term.Ended {
				n.crash(300 * time.Millisecond)
				return true
			}
		}
		return false
	})
}

// Guards against deprovisioning intents that are never completed after a failure of the state
// service, the cloud or the lease holder between the write of the intent and the cloud call.
func TestFailuresBetweenIntentAndCall(t *testing.T) {
	for _, c := range failuresAfterIntent {
		t.Run(c.name, func(t *testing.T) {
			sim := intentLogSimulation(t)
			sim.runUntilIntentLogged()
			holder := sim.leaseHolder()
			if holder == nil {
				t.Fatal("no controller holds the shard's lease")
			}
			targets := sim.loggedTargets()
			c.fail(sim, holder)
			sim.runFor(40 * time.Second)
			for _, host := range targets {
				if sim.machines[host] != nil {
					t.Errorf("%s has a recorded deprovisioning intent and still exists", host)
				}
			}
			sim.requireAllJobsEnd()
		})
	}
}

// Guards against a term that opens too early: a machine that is being deleted and sends a heartbeat
// under an older fencing token is not reconciled, as the tasks on it are unknown.
func TestDeletingMachineNotReconciledUnderOlderToken(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	sim.cloud.Unavailable = true // prevents the deletion from completing
	unreachable := sim.lastMachineWithTask()
	unreachable.partitioned = true
	sim.leaseHolder().crash(time.Hour)
	deleting := sim.runUntilMachineDeleting(unreachable)
	deleting.HandleHeartbeat(sim.clock.Now(), unreachable.Heartbeat(), func(int, any) {})
	if w := deleting.Workers().Get(unreachable.Host.ID); w.LeaseRenewedAt.IsZero() {
		t.Fatal("the heartbeat under the older token renewed no lease, so the test proves nothing")
	}
	sim.runFor(500 * time.Millisecond)
	if deleting.State() != term.Fencing {
		t.Errorf("the term is %v, want %v while the tasks on %s are unknown",
			deleting.State(), term.Fencing, unreachable.Host.ID)
	}
	sim.cloud.Unavailable, unreachable.partitioned = false, false
	sim.release(unreachable)
	sim.requireAllJobsEnd()
}

// runUntilMachineDeleting runs the simulation until a term that is fencing deletes a machine, and
// returns that term.
func (sim *simulation) runUntilMachineDeleting(m *machine) *term.Term {
	sim.t.Helper()
	var deleting *term.Term
	sim.runUntil("a term in fencing deletes "+m.Host.ID, 20*time.Second, func() bool {
		for _, n := range sim.nodes {
			t := n.controller.terms[0]
			if !n.alive || t == nil || t.State() != term.Fencing {
				continue
			}
			if w := t.Workers().Get(m.Host.ID); w != nil && w.State == worker.Deleting {
				deleting = t
				return true
			}
		}
		return false
	})
	return deleting
}

// Guards against a process that keeps its terms after its clock was moved forward, and so treats
// leases as expired although that time may not have passed.
func TestClockMovedForward(t *testing.T) {
	sim := intentLogSimulation(t)
	holder := sim.leaseHolder()
	before := holder.controller.terms[0]
	holder.controller.EndTermsAfterSuspension(sim.clock.Now())
	if before.State() != term.Ended {
		t.Fatalf("the term is %v, want %v", before.State(), term.Ended)
	}
	sim.runFor(10 * time.Second)
	if next := sim.leaseHolder(); next == nil || next.controller.terms[0].Token <= before.Token {
		t.Error("no open term has a higher fencing token")
	}
	sim.requireAllJobsEnd()
}
