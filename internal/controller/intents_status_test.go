package controller

import (
	"strings"
	"testing"
	"time"

	"juniperchute/internal/peer/peerpb"
)

// queryIntents asks a controller which intents are open.
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
		sim.t.Fatalf("%s does not answer", n.name)
	}
	return reply
}

// intentTargets are the targets of a reply's intents.
func intentTargets(reply *peerpb.IntentsReply) []string {
	var targets []string
	for _, operation := range reply.Shards[0].Operations {
		for _, intent := range operation.Intents {
			targets = append(targets, intent.Target)
		}
	}
	return targets
}

// What an operator gets to know of the open intents, asked of the lease holder and of
// others, and while nobody holds the lease.
func TestIntentsReported(t *testing.T) {
	sim := intentLogSimulation(t)
	sim.runUntilIntentLogged()
	holder := sim.leaseHolder()
	target := sim.loggedTargets()[0]
	sim.cloud.Unavailable = true // so that the intent stays open
	sim.checkIntentsOfAll(holder, target)

	holder.crash(time.Hour)
	sim.runFor(500 * time.Millisecond)
	other := sim.lastNodeExcept(holder)
	if r := sim.queryIntents(other); r.Shards[0].Holder != holder.name {
		t.Errorf("right after the crash: %+v", r.Shards[0])
	}
	sim.runUntil("a record without a live lease holder", 10*time.Second, func() bool {
		_, _, live := other.controller.membership.Holder(0)
		return !live
	})
	if r := sim.queryIntents(other); r.Shards[0].Live && r.Shards[0].Holder == holder.name {
		t.Errorf("during the failover: %+v", r.Shards[0])
	}

	sim.runFor(5 * time.Second)
	sim.stateOutage(20 * time.Second)
	sim.runFor(5 * time.Second)
	r := sim.queryIntents(other)
	if r.IntentsAgeMs < 4000 || r.HoldersAgeMs < 3000 || len(intentTargets(r)) == 0 {
		t.Errorf("in an outage: intents %d ms old, lease holders %d ms, %v",
			r.IntentsAgeMs, r.HoldersAgeMs, intentTargets(r))
	}
	sim.cloud.Unavailable = false
	sim.runFor(30 * time.Second)
	sim.requireAllJobsEnd()
}

// checkIntentsOfAll checks that every controller reports the lease holder and the intent.
func (sim *simulation) checkIntentsOfAll(holder *simulatedNode, target string) {
	sim.t.Helper()
	token := holder.controller.terms[0].Token
	for _, n := range sim.nodes {
		r := sim.queryIntents(n)
		shard := r.Shards[0]
		known := r.InForce && shard.Holder == holder.name && shard.Live && shard.Token == token
		if !known || shard.AssignedAtMs == 0 || (shard.State == "open") != (n == holder) {
			sim.t.Errorf("%s: %+v", n.name, r)
		}
		if !strings.Contains(strings.Join(intentTargets(r), " "), target) {
			sim.t.Errorf("%s does not report %s: %v", n.name, target, intentTargets(r))
		}
	}
}
