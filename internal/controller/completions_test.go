package controller

import (
	"slices"
	"testing"
	"time"

	"juniperchute/internal/standin"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// In which order the ends of jobs are written when the rate of writes is short: an
// important job's end must not wait behind hundreds of others that completed before it.
func TestOrderOfEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	scheduler, _ := singleJobScheduler(wire.JobSpec{ID: "job-9", Shape: wire.ShapeBatch, Tasks: 1})
	completions := newJobCompletions(nil, nil)
	add := func(id, priority string, ago time.Duration) {
		spec := wire.JobSpec{ID: id, Shape: wire.ShapeBatch, Priority: priority, Tasks: 1}
		j := scheduler.AddJob(now, spec, now, 1, false)
		j.RestoreCompleted(0)
		completions.taskCompleted(now.Add(-ago), j)
	}
	add("job-1", "low", 3*time.Second)
	add("job-2", "low", 5*time.Second)
	add("job-3", "high", 1*time.Second)
	add("job-4", "normal", 9*time.Second)
	add("job-5", "critical", 0)
	add("job-6", "low", 5*time.Second)
	completions.endsInFlight["job-5"] = true
	completions.retryAt["job-4"] = now.Add(time.Second)
	var got []string
	for _, j := range completions.jobsToEnd(now) {
		got = append(got, j.Spec.ID)
	}
	if want := []string{"job-3", "job-2", "job-6", "job-1"}; !slices.Equal(got, want) {
		t.Errorf("ends are written in the order %v, want %v", got, want)
	}
}

// While the state service takes few writes, the ends of jobs of higher priority are reported
// first, and no more than a few are written at once.
func TestEndsUnderAShortRate(t *testing.T) {
	sim := newSimulation(t, 5, testConfig(oneZone, steadyTeams, 1.5, 10), 1, oneZoneTypes)
	sim.cloud.Available[standin.CapacityKey(smallType.Name, "a", false)] = 40
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
	completed, longest := map[*standin.Job]time.Time{}, map[string]time.Duration{}
	sim.cluster.OnCompleted = func(j *standin.Job) { completed[j] = sim.clock.Now() }
	for range 120 {
		sim.runFor(500 * time.Millisecond)
		for _, n := range sim.nodes {
			shardTerm := n.controller.terms[0]
			if shardTerm == nil {
				continue
			}
			if inFlight := len(shardTerm.completions.endsInFlight); inFlight > tuning.MaxJobEndsInFlight {
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
