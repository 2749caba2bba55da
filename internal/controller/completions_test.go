package controller

import (
	"testing"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/tuning"
)

// While the state service takes few writes, the ends of jobs of higher priority are reported
// first, and no more than a few are written at once.
func TestEndsUnderAShortRate(t *testing.T) {
	sim := newSimulation(t, 5, testConfig(oneZone, steadyTeams, 1.5, 10), 1, oneZoneTypes)
	sim.cloud.Available[fakes.CapacityKey(smallType.Name, "a", false)] = 40
	for i := range 150 {
		spec := steadyJob(i)
		spec.Tasks, spec.Gpus, spec.Vcpus, spec.MemGb, spec.Priority = 1, 0, 1, 1, "low"
		if i%15 == 0 {
			spec.Priority = "high"
		}
		sim.add(spec, 20*time.Second)
	}
	sim.runFor(26 * time.Second)
	sim.state.Limits.WritesPerS = 4 // two ends a second
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
				t.Fatalf("%d ends are under way", inFlight)
			}
		}
		for j, at := range completed {
			if !j.Ended() {
				longest[j.Spec.Priority] = max(longest[j.Spec.Priority], sim.clock.Now().Sub(at))
			}
		}
	}
	if longest["low"] < 20*time.Second {
		t.Errorf("ends of low priority waited %v at most: the rate is not short", longest["low"])
	}
	if longest["high"] > longest["low"]*3/4 {
		t.Errorf("an end of high priority waited %v, of low priority %v at most", longest["high"], longest["low"])
	}
	sim.requireNoViolations()
}
