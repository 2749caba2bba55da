package controller

import (
	"strings"
	"testing"
	"time"

	"juniperchute/internal/peer/peerpb"
)

// Guards against a term that does not leave loading, and whose status does not say what it waits for and
// since when.
func TestStatusOfLoadingTerm(t *testing.T) {
	sim := steadySimulation(t, 4, 1)
	holder := sim.leaseHolder()
	holder.stateRefused = true
	holder.restartTerm()
	sim.runFor(2 * time.Second)
	status := holder.controller.Status(sim.clock.Now(), nil)
	requireWait(t, status.Shards[0], "loading", "6 reads of the shard's records", 2*time.Second)
	if !status.Membership.LeaseValid || status.Membership.State != "joined" {
		t.Errorf("membership %v, want joined with a valid lease", status.Membership)
	}
}

// Guards against a lease holder that cannot reach the cloud and whose status does not say so.
func TestStatusOfTermWithoutCloud(t *testing.T) {
	sim := steadySimulation(t, 4, 1)
	holder := sim.leaseHolder()
	for _, n := range sim.nodes { // a lease holder that alone is cut off releases the shard
		n.cloudPartitioned = true
	}
	sim.runFor(30 * time.Second)
	status := holder.controller.Status(sim.clock.Now(), nil)
	requireWait(t, status.Shards[0], "open", "no response from the cloud", 10*time.Second)
}

// Guards against a term that waits for its member's lease in an outage of the state service, and whose
// status does not say so or gives no sensible age.
func TestStatusOfTermWithoutLease(t *testing.T) {
	const outage = 20 * time.Second
	sim := steadySimulation(t, 4, 1)
	holder := sim.leaseHolder()
	sim.injectStateOutage(outage)
	sim.runFor(outage / 2)
	status := holder.controller.Status(sim.clock.Now(), nil)
	requireWait(t, status.Shards[0], "open", "a renewal of this member's lease", time.Second)
	for _, wait := range status.Shards[0].Waits {
		if wait.AgeMs > outage.Milliseconds() {
			t.Errorf("wait %v is older than the outage", wait)
		}
	}
	if status.Membership.LeaseValid || status.Membership.StateContactAgeMs < 5000 {
		t.Errorf("membership %v, want no valid lease and no contact for 5s", status.Membership)
	}
}

// requireWait checks the state of a term and that it has waited for the wanted reason for at least minAge.
func requireWait(t *testing.T, shard *peerpb.ShardStatus, state, reason string, minAge time.Duration) {
	t.Helper()
	if shard.State != state {
		t.Errorf("the term is %s, want %s", shard.State, state)
	}
	for _, wait := range shard.Waits {
		if strings.Contains(wait.Reason, reason) && wait.AgeMs >= minAge.Milliseconds() {
			return
		}
	}
	t.Errorf("waits %v, want one for %q since %v or more", shard.Waits, reason, minAge)
}
