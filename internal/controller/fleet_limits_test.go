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

// largeFleet is the number of machines below which nothing may have a fixed limit.
const largeFleet = 4000

// newLargeFleet is a deployment of 4,000 simulated machines, with arrays submitted.
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
		spec.Vcpus, spec.Gpus, spec.MemGb = 16, 2, 90
		spec.Image = fmt.Sprintf("img-%d", i%12)
		sim.add(spec, 80*time.Second)
	}
	return sim
}

// A deployment of 4,000 simulated machines starts, loses its lease holder, fails over and
// goes on serving: the rules hold, every job ends and no machine loses its lease.
func TestLargeFleet(t *testing.T) {
	sim := newLargeFleet(t)
	sim.runFor(70 * time.Second)
	sim.requireNoViolations()
	if n := len(sim.machines); n < largeFleet*9/10 {
		t.Fatalf("%d machines of %d", n, largeFleet)
	}
	incarnations := map[string]uint64{}
	for _, host := range sim.machineNames() {
		incarnations[host] = sim.machines[host].Incarnation
	}
	before := sim.leaseHolder()
	before.crash(time.Second)
	sim.runFor(15 * time.Second)
	if after := sim.leaseHolder(); after == nil || after == before {
		t.Fatal("nobody has taken over")
	}
	expired := 0
	for host, incarnation := range incarnations {
		if m := sim.machines[host]; m != nil && m.Incarnation != incarnation {
			expired++
		}
	}
	if expired > 0 {
		t.Errorf("%d machines lost their leases in the failover", expired)
	}
	sim.requireAllJobsEnd()
}

// The scheduler of a term whose attempt numbers are nearly used up: the shard is given
// back, and the next term, under a new token, goes on with all jobs.
func TestAttemptNumbersUsedUp(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	before := sim.leaseHolder().controller.terms[0]
	before.Scheduler().AttemptNumbersExhausted = true
	sim.runFor(10 * time.Second)
	next := sim.leaseHolder()
	if next == nil || next.controller.terms[0].Token <= before.Token {
		t.Fatal("no term under a newer token")
	}
	sim.requireAllJobsEnd()
}
