package controller

import (
	"testing"
	"time"

	"juniperchute/internal/standin"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// While the state service takes few writes, the ends of jobs that matter more are told
// first, and no more than a few are asked for at once.
func TestEndsUnderAShortRate(t *testing.T) {
	sim := newSimulation(t, 5, facts([]string{"a"}, steadyTeams, 1.5, 10), 1, []wire.MachineType{smallType})
	sim.cloud.Available[standin.CapacityKey(smallType.Name, "a", false)] = 40
	for i := range 150 {
		s := steadyJob(i)
		s.Tasks, s.Gpus, s.Vcpus, s.MemGb, s.Priority = 1, 0, 1, 1, "low"
		if i%15 == 0 {
			s.Priority = "high"
		}
		sim.add(s, 20*time.Second)
	}
	sim.runFor(26 * time.Second)
	sim.state.Limits.WritesPerS = 4 // two ends a second
	completed, longest := map[*standin.Job]time.Time{}, map[string]time.Duration{}
	sim.cluster.OnCompleted = func(j *standin.Job) { completed[j] = sim.clk.Now() }
	for range 120 {
		sim.runFor(500 * time.Millisecond)
		for _, n := range sim.nodes {
			if te := n.controller.terms[0]; te != nil && te.EndsInFlight() > tuning.MaxJobEndsInFlight {
				t.Fatalf("%d ends are under way", te.EndsInFlight())
			}
		}
		for j, at := range completed {
			if !j.Ended() {
				longest[j.Spec.Priority] = max(longest[j.Spec.Priority], sim.clk.Now().Sub(at))
			}
		}
	}
	if longest["low"] < 20*time.Second {
		t.Errorf("ends of low priority waited %v at most: the rate is not short", longest["low"])
	}
	if longest["high"] > longest["low"]*3/4 {
		t.Errorf("an end of high priority waited %v, of low priority %v at most", longest["high"], longest["low"])
	}
	sim.requireUnbroken()
}
