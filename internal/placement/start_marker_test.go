package placement

import (
	"testing"
	"time"

	"juniperchute/internal/wire"
)

// No task of a job is queued before the job's start marker is durable; once it
// is, the next pass goes on although no machine has gained anything.
func TestStartMarker(t *testing.T) {
	h := newHarness(t, 1)
	var requested []*Job
	h.scheduler.markers.request = func(_ time.Time, job *Job) { requested = append(requested, job) }
	job := h.addJob("blue", wire.ShapeBatch, "normal", 1, 1)
	for range 2 {
		h.scheduler.Schedule(h.now)
	}
	if len(requested) != 1 || requested[0] != job || len(job.tasks) != 0 {
		t.Fatalf("%d markers requested, %d tasks queued", len(requested), len(job.tasks))
	}
	h.scheduler.StartMarkerWritten(job)
	h.scheduler.Schedule(h.now)
	if len(job.tasks) != 1 {
		t.Error("not queued once the marker is durable")
	}
}
