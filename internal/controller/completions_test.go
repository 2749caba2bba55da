package controller

import (
	"testing"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/tuning"
)

// Guards against high-priority job ends that wait behind low-priority ones at a low write rate of
// the state service, and against an unbounded number of concurrent writes.
func TestJobEndsUnderLowWriteRate(t *testing.T) {
	sim := newSimulation(t, 5, testConfig(oneZone, steadyTeams, 1.5, 10), 1, oneZoneTypes)
	sim.cloud.Available[fakes.CapacityKey(smallType.Name, "a", false)] = 40
	for i := range 150 {
		spec := steadyJob(i)
		spec.Tasks, spec.Gpus, spec.Vcpus, spec.MemGB, spec.Priority = 1, 0, 1, 1, "low"
		if i%15 == 0 {
			spec.Priority = "high"
		}
		sim.submitJob(spec, 20*time.Second)
	}
	sim.runFor(26 * time.Second)
	sim.state.Limits.WritesPerS = 4 // enough for two job ends per second
	completed, longest := map[*fakes.Job]time.Time{}, map[string]time.Duration{}
	sim.cluster.OnJobCompleted = func(j *fakes.Job) { completed[j] = sim.clock.Now() }
	for range 120 {
		sim.runFor(500 * time.Millisecond)
		for _, n := range sim.nodes {
			shardTerm := n.controller.terms[0]
			if shardTerm == nil {
				continue
			}
			if inFlight := shardTerm.JobEndsInFlight(); inFlight > tuning.MaxJobEndsInFlight {
				t.Fatalf("%d job ends are in flight, want at most %d", inFlight, tuning.MaxJobEndsInFlight)
			}
		}
		for j, at := range completed {
			if !j.Ended() {
				longest[j.Spec.Priority] = max(longest[j.Spec.Priority], sim.clock.Now().Sub(at))
			}
		}
	}
	if longest["low"] < 20*time.Second {
		t.Errorf("low-priority job ends waited %v at most, want 20s or more: the write rate is no bottleneck",
			longest["low"])
	}
	if longest["high"] > longest["low"]*3/4 {
		t.Errorf("high-priority job ends waited up to %v, want at most 3/4 of the low-priority %v",
			longest["high"], longest["low"])
	}
	sim.requireNoViolations()
}
