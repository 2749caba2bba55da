package term

import (
	"encoding/json"
	"fmt"
	"time"

	"juniperchute/internal/placement"
)

// startMarkerPrefix is the key prefix of a shard's start markers: the jobs that may have
// tasks on machines. A successor starts jobs without a marker at once, and the others only
// when it knows where their tasks are.
func startMarkerPrefix(shard int) string { return fmt.Sprintf("b/%d/", shard) }

// writeStartMarker records durably that a job may have tasks on machines, and lets them start
// once that is done.
func (t *Term) writeStartMarker(now time.Time, job *placement.Job) {
	t.startMarkers.Put(job.Spec.ID, 1, func(now time.Time) {
		t.scheduler.StartMarkerWritten(job)
		t.schedule(now)
	})
	t.startMarkers.Tick(now)
}

// recoverStartMarkers takes over the start markers of earlier terms. Where a page of them
// cannot be read, every job may have tasks on machines.
func (t *Term) recoverStartMarkers() {
	t.startMarkers.Load(t.recovery.startMarkers, func(id string, _ json.RawMessage) {
		job := t.scheduler.OpenJob(id)
		if job == nil {
			t.startMarkers.Delete(id)
			return
		}
		job.StartedInEarlierTerm = true
		t.scheduler.StartMarkerWritten(job)
	})
	if t.startMarkers.Unreadable() == 0 {
		return
	}
	for _, job := range t.scheduler.OpenJobs() {
		job.StartedInEarlierTerm = true
	}
}
