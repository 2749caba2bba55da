package controller

import (
	"slices"
	"testing"
	"time"

	"juniperchute/internal/peer/peerpb"
)

// queryIntents returns a controller's reply to an operator's request for the open intents. It takes
// 200 ms of simulated time.
func (sim *simulation) queryIntents(n *simulatedNode) (reply *peerpb.IntentsReply) {
	sim.t.Helper()
	n.controller.Intents(sim.clock.Now(), func(r *peerpb.IntentsReply, err error) {
		if err != nil {
			sim.t.Errorf("%s: %v", n.name, err)
		}
		reply = r
	})
	sim.runFor(200 * time.Millisecond)
	if reply == nil {
		sim.t.Fatalf("%s has not replied within 200ms", n.name)
	}
	return reply
}

// intentTargets returns the targets of the intents of the first shard in a reply.
func intentTargets(reply *peerpb.IntentsReply) []string {
	var targets []string
	for _, operation := range reply.Shards[0].Operations {
		for _, intent := range operation.Intents {
			targets = append(targets, intent.Target)
		}
	}
	return targets
}

// Guards against wrong lease holders or missing intents in the replies to operators, whichever
// controller is asked, also during a failover and an outage.
func TestIntentsReported(t *testing.T) {
	sim := intentLogSimulation(t)
	sim.runUntilIntentLogged()
	holder := sim.leaseHolder()
	targets := sim.loggedTargets()
	sim.cloud.Unavailable = true // keeps the intents open
	sim.checkIntentsOfAll(holder, targets)

	holder.crash(time.Hour)
	sim.runFor(500 * time.Millisecond)
	other := sim.lastNodeExcept(holder)
	if r := sim.queryIntents(other); r.Shards[0].Holder != holder.name {
		t.Errorf("500ms after the crash: %+v, want lease holder %s", r.Shards[0], holder.name)
	}
	sim.runUntil("the shard has no live lease holder", 10*time.Second, func() bool {
		_, _, live := other.controller.membership.Holder(0)
		return !live
	})
	if r := sim.queryIntents(other); r.Shards[0].Live && r.Shards[0].Holder == holder.name {
		t.Errorf("during the failover: %+v, want %s not to be live", r.Shards[0], holder.name)
	}

	sim.runFor(5 * time.Second)
	sim.injectStateOutage(20 * time.Second)
	sim.runFor(5 * time.Second)
	r := sim.queryIntents(other)
	if r.IntentsAgeMs < 4000 || r.HoldersAgeMs < 3000 || len(intentTargets(r)) == 0 {
		t.Errorf("in an outage: intents are %d ms old, lease holders %d ms, targets %v",
			r.IntentsAgeMs, r.HoldersAgeMs, intentTargets(r))
	}
	sim.cloud.Unavailable = false
	sim.runFor(30 * time.Second)
	sim.requireAllJobsEnd()
}

// checkIntentsOfAll checks that every controller reports the lease holder, its fencing token and an
// intent for each target.
func (sim *simulation) checkIntentsOfAll(holder *simulatedNode, targets []string) {
	sim.t.Helper()
	token := holder.controller.terms[0].Token
	for _, n := range sim.nodes {
		r := sim.queryIntents(n)
		shard := r.Shards[0]
		known := r.InForce && shard.Holder == holder.name && shard.Live && shard.Token == token
		if !known || shard.AssignedAtMs == 0 || (shard.State == "open") != (n == holder) {
			sim.t.Errorf("%s replies %+v, want live lease holder %s with token %d", n.name, r, holder.name, token)
		}
		for _, target := range targets {
			if !slices.Contains(intentTargets(r), target) {
				sim.t.Errorf("%s does not report an intent for %s: %v", n.name, target, intentTargets(r))
			}
		}
	}
}
