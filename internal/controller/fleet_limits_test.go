package controller

import (
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/standin"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// largeFleet is the number of machines below which nothing may have a fixed limit.
const largeFleet = 4000

// A deployment of 4,000 simulated machines starts, loses its holder, is taken over and
// goes on serving: the rules hold, every job ends and no machine loses its lease.
func TestLargeFleet(t *testing.T) {
	const (
		arrays, arrayTasks = 60, 260
		checkEvery         = 2 * time.Second
	)
	machineType := wire.MachineType{Name: "g8", Vcpus: 64, Gpus: 8, MemGb: 384, FetchGbPerS: 1, Price: 5, SpotPrice: 2, BootTimeS: 8, Zones: []string{"a"}}
	cfg := facts([]string{"a"}, []config.Team{{Name: "red", GPUs: 8000, GPUsMax: 30000}, {Name: "free"}}, 5, 26.5)
	cfg.Platform.State = config.StateLimits{RPS: 400, WriteRPS: 40, ValueKB: 8, TxnOps: 16}
	sim := newSimulation(t, 41, cfg, 1, []wire.MachineType{machineType})
	sim.checkEvery = checkEvery
	sim.state.PageSize, sim.state.MaxHistory, sim.cloud.PageSize = tuning.ListPageSize, 10000, tuning.CloudPageSize
	sim.state.Limits = standin.StateLimits{MaxValueBytes: 8 << 10, MaxTxnOps: 16, WritesPerS: 40, RequestsPerS: 400}
	sim.cloud.Available[standin.CapacityKey("g8", "a", false)] = largeFleet
	for i := range arrays {
		spec := wire.JobSpec{ID: fmt.Sprintf("job-%06d", i), Team: []string{"red", "free"}[i%2], Class: "sweep", Shape: wire.ShapeBatch, Priority: "normal",
			Tasks: arrayTasks, Vcpus: 16, Gpus: 2, MemGb: 90, Image: fmt.Sprintf("img-%d", i%12), ImageGb: 2, AnyType: true, EstimatedRunTimeS: 90}
		sim.add(spec, 80*time.Second)
	}
	sim.runFor(70 * time.Second)
	sim.requireUnbroken()
	if n := len(sim.machines); n < largeFleet*9/10 {
		t.Fatalf("%d machines of %d", n, largeFleet)
	}
	sessions := map[string]uint64{}
	for _, host := range sim.hosts() {
		sessions[host] = sim.machines[host].Incarnation
	}
	before := sim.holder()
	before.crash(time.Second)
	sim.runFor(15 * time.Second)
	if after := sim.holder(); after == nil || after == before {
		t.Fatal("nobody has taken over")
	}
	lapsed := 0
	for host, session := range sessions {
		if m := sim.machines[host]; m != nil && m.Incarnation != session {
			lapsed++
		}
	}
	if lapsed > 0 {
		t.Errorf("%d machines lost their leases in the takeover", lapsed)
	}
	sim.settle()
}

// The board of a tenure whose attempt numbers are nearly used up: the block is given
// back, and the next tenure, under a new token, goes on with all jobs.
func TestAttemptNumbersUsedUp(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	tenure := sim.holder().controller.terms[0]
	tenure.Scheduler().AttemptNumbersExhausted = true
	sim.runFor(10 * time.Second)
	next := sim.holder()
	if next == nil || next.controller.terms[0].Token <= tenure.Token {
		t.Fatal("no tenure under a newer token")
	}
	sim.settle()
}
