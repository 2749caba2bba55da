package controller

import (
	"testing"
	"time"

	"juniperchute/internal/fleet"
	"juniperchute/internal/worker"
)

// newTwoTermsSimulation returns a deployment of two shards, and the one controller that runs and holds
// both.
func newTwoTermsSimulation(t *testing.T) (*simulation, *simulatedNode) {
	sim := newSimulation(t, 1, testConfig(oneZone, steadyTeams, 1.5, 10), 2, oneZoneTypes)
	for _, n := range sim.nodes[1:] {
		n.crash(time.Hour)
	}
	sim.runFor(10 * time.Second)
	holder := sim.nodes[0]
	for shard := range sim.shards {
		if holder.controller.liveTerm(shard) == nil {
			t.Fatalf("%s does not hold shard %d", holder.name, shard)
		}
	}
	return sim, holder
}

// Guards against heartbeats of a machine that reach one or the other of two terms at random. Both terms
// know the machine if it reported before its provisioning request got a response.
func TestHeartbeatsReachShardOfRecord(t *testing.T) {
	const host, samples = "i-000001", 100
	sim, holder := newTwoTermsSimulation(t)
	for shard := range sim.shards {
		holder.controller.liveTerm(shard).Workers().Add(sim.clock.Now(), host, worker.Up)
	}
	for range samples {
		if shard := holder.controller.shardOf(host); shard != 0 {
			t.Fatalf("shard %d without a record, want the first whose term knows the machine", shard)
		}
	}
	sim.putState(fleet.ShardProvisioningPrefix(1)+"b1-1-1", fleet.ProvisioningRecord{Number: 1, Hosts: []string{host}})
	sim.runFor(time.Second)
	for range samples {
		if shard := holder.controller.shardOf(host); shard != 1 {
			t.Fatalf("shard %d, want shard 1, whose record names the machine", shard)
		}
	}
}

// Guards against a shard that deletes a machine of another shard. Shard 0 accepts the heartbeats of a
// machine whose request has no response yet, gives it no tasks, and must not deprovision it as idle.
func TestMachineOfOtherShardIsNotDeleted(t *testing.T) {
	sim, holder := newTwoTermsSimulation(t)
	pending := fleet.ProvisioningRecord{Type: smallType.Name, Zone: "a", Number: 1}
	sim.putState(fleet.ShardProvisioningPrefix(1)+"b1-1-9", pending)
	sim.runFor(time.Second)
	host := sim.addRunningMachine(7, smallType.Name)
	sim.runFor(30 * time.Second)
	if sim.cloud.Hosts[host] == nil {
		t.Fatal("a machine was deleted although a request of another shard may have created it")
	}
	workers := holder.controller.liveTerm(0).Workers()
	if workers.Get(host) == nil {
		t.Fatal("shard 0 does not know the machine, so the test has no effect")
	}
	granted := pending
	granted.Hosts = []string{host}
	sim.putState(fleet.ShardProvisioningPrefix(1)+"b1-1-8", granted)
	sim.runFor(time.Second)
	if workers.Get(host) != nil {
		t.Error("shard 0 still counts a machine that a record of shard 1 names")
	}
	if sim.cloud.Hosts[host] == nil {
		t.Error("the machine was deleted when a record of its shard named it")
	}
}
