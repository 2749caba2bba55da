package controller

import (
	"strings"
	"testing"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/term"
	"juniperchute/internal/worker"
)

// intentLogSimulation is a deployment that keeps the intent log, with work under way.
func intentLogSimulation(t *testing.T) *simulation {
	return steadySimulationWith(t, 11, 6, 8, (*simulation).enableIntentLog)
}

// loggedTargets are the targets of the intents in the stored logs of all shards.
func (sim *simulation) loggedTargets() []string {
	var targets []string
	for key, kv := range sim.state.Keys {
		if !strings.HasPrefix(key, intentlog.Prefix) {
			continue
		}
		intents, err := intentlog.ReadPage(kv.Value)
		if err != nil {
			sim.addViolation("%s: %v", key, err)
		}
		for _, intent := range intents {
			targets = append(targets, intent.Target)
		}
	}
	return targets
}

// runUntilIntentLogged plays until the log holds an intent.
func (sim *simulation) runUntilIntentLogged() {
	sim.t.Helper()
	sim.runUntil("an intent", 2*time.Minute, func() bool { return len(sim.loggedTargets()) > 0 })
}

// failureAfterIntent is a failure between the record of an intent and its call.
type failureAfterIntent struct {
	name string
	fail func(sim *simulation, holder *simulatedNode)
}

var failuresAfterIntent = []failureAfterIntent{
	{
		name: "the state service is out for all",
		fail: func(sim *simulation, _ *simulatedNode) { sim.stateOutage(20 * time.Second) },
	},
	{
		name: "the state service refuses the lease holder",
		fail: func(sim *simulation, holder *simulatedNode) { sim.refuseState(holder, 20*time.Second) },
	},
	{
		name: "the lease holder is cut off from the state service, and what it sent comes late",
		fail: func(sim *simulation, holder *simulatedNode) {
			holder.stateCut = true
			sim.clock.Schedule(20*time.Second, holder.reconnectState)
		},
	},
	{
		name: "the cloud is out",
		fail: func(sim *simulation, _ *simulatedNode) {
			sim.cloud.Unavailable = true
			sim.clock.Schedule(20*time.Second, func() { sim.cloud.Unavailable = false })
		},
	},
	{
		name: "the lease holder's calls of the cloud come late",
		fail: func(sim *simulation, holder *simulatedNode) {
			holder.cloudCut = true
			sim.clock.Schedule(3*time.Second, func() { holder.crash(time.Second) })
			sim.clock.Schedule(20*time.Second, func() { holder.cloudCut = false })
		},
	},
	{
		name: "the lease holder ends, and its successor within a second",
		fail: crashHolderAndSuccessor,
	},
	{
		name: "all end",
		fail: func(sim *simulation, _ *simulatedNode) {
			for _, n := range sim.nodes {
				n.crash(time.Second)
			}
		},
	},
}

// crashHolderAndSuccessor crashes the lease holder, and its successor as soon as there is one.
func crashHolderAndSuccessor(sim *simulation, holder *simulatedNode) {
	holder.crash(500 * time.Millisecond)
	sim.runUntil("a successor", 20*time.Second, func() bool {
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

// A lease holder that loses the state service, the cloud, or its process between the
// record of a deprovisioning intent and the call: whoever holds the lease then completes it.
func TestFailuresBetweenIntentAndCall(t *testing.T) {
	for _, c := range failuresAfterIntent {
		t.Run(c.name, func(t *testing.T) {
			sim := intentLogSimulation(t)
			sim.runUntilIntentLogged()
			holder := sim.leaseHolder()
			if holder == nil {
				t.Fatal("nobody holds the shard's lease")
			}
			targets := sim.loggedTargets()
			c.fail(sim, holder)
			sim.runFor(40 * time.Second)
			for _, host := range targets {
				if sim.machines[host] != nil {
					t.Errorf("%s has a recorded intent and is still there", host)
				}
			}
			sim.requireAllJobsEnd()
		})
	}
}

// A machine that an earlier term used, is being deleted, and answers under an older token:
// what is on it is still not known, so the term must not count it as reconciled.
func TestDeletingMachineIsReconciledByItsTokenOnly(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	sim.cloud.Unavailable = true // nothing is deleted
	cut := sim.lastMachineWithTask()
	cut.partitioned = true
	sim.leaseHolder().crash(time.Hour)
	deleting := sim.runUntilMachineDeleting(cut)
	deleting.HandleHeartbeat(sim.clock.Now(), cut.Heartbeat(), func(int, any) {})
	if w := deleting.Workers().Get(cut.Host.ID); w.LeaseRenewedAt.IsZero() {
		t.Fatal("the older heartbeat was not answered: this tests nothing")
	}
	sim.runFor(500 * time.Millisecond)
	if deleting.State() != term.Fencing {
		t.Errorf("%v although it is not known what is on %s", deleting.State(), cut.Host.ID)
	}
	sim.cloud.Unavailable, cut.partitioned = false, false
	sim.release(cut)
	sim.requireAllJobsEnd()
}

// runUntilMachineDeleting plays until a term that is fencing deletes a machine.
func (sim *simulation) runUntilMachineDeleting(m *machine) *term.Term {
	sim.t.Helper()
	var deleting *term.Term
	sim.runUntil("a term that deletes the machine", 20*time.Second, func() bool {
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

// A process whose clock was moved forward ends its terms, and concludes nothing from the
// time that may not have passed.
func TestClockMovedForward(t *testing.T) {
	sim := intentLogSimulation(t)
	holder := sim.leaseHolder()
	before := holder.controller.terms[0]
	holder.controller.EndTermsAfterSuspension(sim.clock.Now())
	if before.State() != term.Ended {
		t.Fatalf("the term is %v", before.State())
	}
	sim.runFor(10 * time.Second)
	if next := sim.leaseHolder(); next == nil || next.controller.terms[0].Token <= before.Token {
		t.Error("no term under a newer token")
	}
	sim.requireAllJobsEnd()
}
