package placement

import (
	"testing"
	"time"

	"juniperchute/internal/wire"
)

// No task is queued before its job's start marker is durable. Afterwards the next pass
// queues the task, although no machine has changed.
func TestStartMarker(t *testing.T) {
	h := newHarness(t, 1)
	var requested []*Job
	h.scheduler.markers.request = func(_ time.Time, job *Job) { requested = append(requested, job) }
	job := h.addJob("blue", wire.ShapeBatch, "normal", 1, 1)
	for range 2 {
		h.scheduler.Schedule(h.now)
	}
	if len(requested) != 1 || requested[0] != job || len(job.tasks) != 0 {
		t.Fatalf("%d markers requested, %d tasks queued, want 1 and 0", len(requested), len(job.tasks))
	}
	h.scheduler.StartMarkerWritten(job)
	h.scheduler.Schedule(h.now)
	if len(job.tasks) != 1 {
		t.Error("task not queued once the marker is durable")
	}
}
