package controller

import (
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fakes"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// largeFleet is a number of machines up to which no part of a controller may have a fixed limit.
const largeFleet = 4000

// newLargeFleet returns a deployment in which largeFleet machines can be provisioned and whose job
// arrays use nearly all of them.
func newLargeFleet(t *testing.T) *simulation {
	const arrays, arrayTasks = 60, 260
	machineType := largeMachineType(8)
	teams := []config.Team{{Name: "red", GPUs: 8000, GPUsMax: 30000}, {Name: "free"}}
	cfg := testConfig(oneZone, teams, 5, 26.5)
	cfg.Platform.State = config.StateLimits{RPS: 400, WriteRPS: 40, ValueKB: 8, TxnOps: 16}
	sim := newSimulation(t, 41, cfg, 1, []wire.MachineType{machineType})
	sim.checks.interval = 2 * time.Second
	sim.state.PageSize, sim.state.MaxHistory = tuning.ListPageSize, 10000
	sim.cloud.PageSize = tuning.CloudPageSize
	sim.state.Limits = fakes.StateLimits{
		MaxValueBytes: 8 << 10,
		MaxTxnOps:     16,
		WritesPerS:    40,
		RequestsPerS:  400,
	}
	sim.cloud.Available[fakes.CapacityKey(machineType.Name, "a", false)] = largeFleet
	for i := range arrays {
		spec := sweepJob(fmt.Sprintf("job-%06d", i), "normal", arrayTasks, 90)
		spec.Team = teams[i%2].Name
		spec.Vcpus, spec.Gpus, spec.MemGB = 16, 2, 90
		spec.Image = fmt.Sprintf("img-%d", i%12)
		sim.submitJob(spec, 80*time.Second)
	}
	return sim
}

// Guards against worker leases that expire during a failover of 4,000 simulated machines, and against
// broken rules and jobs that never end at this size.
func TestLargeFleet(t *testing.T) {
	sim := newLargeFleet(t)
	sim.runFor(70 * time.Second)
	sim.requireNoViolations()
	if n := len(sim.machines); n < largeFleet*9/10 {
		t.Fatalf("%d of %d machines run, want at least 9/10", n, largeFleet)
	}
	incarnations := map[string]uint64{}
	for _, host := range sim.machineNames() {
		incarnations[host] = sim.machines[host].Incarnation
	}
	before := sim.leaseHolder()
	before.crash(time.Second)
	sim.runFor(15 * time.Second)
	if after := sim.leaseHolder(); after == nil || after == before {
		t.Fatal("no other controller has taken the lease over")
	}
	expired := 0
	for host, incarnation := range incarnations {
		if m := sim.machines[host]; m != nil && m.Incarnation != incarnation {
			expired++
		}
	}
	if expired > 0 {
		t.Errorf("the leases of %d workers expired in the failover", expired)
	}
	sim.requireAllJobsEnd()
}

// Guards against a term that continues after its attempt numbers are exhausted: its shard must be
// released, and the next term must continue all jobs under a higher fencing token.
func TestAttemptNumbersExhausted(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	before := sim.leaseHolder().controller.terms[0]
	before.Scheduler().AttemptNumbersExhausted = true
	sim.runFor(10 * time.Second)
	next := sim.leaseHolder()
	if next == nil || next.controller.terms[0].Token <= before.Token {
		t.Fatal("no open term has a higher fencing token")
	}
	sim.requireAllJobsEnd()
}
