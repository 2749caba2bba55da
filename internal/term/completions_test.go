package term

import (
	"slices"
	"testing"
	"time"

	"juniperchute/internal/wire"
)

// Guards against a high-priority job whose end record waits behind those of jobs that completed earlier.
func TestDueJobEndsOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	scheduler, _ := singleJobScheduler(wire.JobSpec{ID: "job-9", Shape: wire.ShapeBatch, Tasks: 1})
	completions := newJobCompletions(completionOptions{})
	add := func(id, priority string, ago time.Duration) {
		spec := wire.JobSpec{ID: id, Shape: wire.ShapeBatch, Priority: priority, Tasks: 1}
		j := scheduler.AddJob(now, spec, now, 1, false)
		j.RestoreCompleted(0)
		completions.recordCompletion(now.Add(-ago), j)
	}
	add("job-1", "low", 3*time.Second)
	add("job-2", "low", 5*time.Second)
	add("job-3", "high", 1*time.Second)
	add("job-4", "normal", 9*time.Second)
	add("job-5", "critical", 0)
	add("job-6", "low", 5*time.Second)
	completions.jobEndsInFlight["job-5"] = true
	completions.retryAt["job-4"] = now.Add(time.Second)
	var got []string
	for _, j := range completions.dueJobEnds(now) {
		got = append(got, j.Spec.ID)
	}
	if want := []string{"job-3", "job-2", "job-6", "job-1"}; !slices.Equal(got, want) {
		t.Errorf("end records are written in the order %v, want %v", got, want)
	}
}
