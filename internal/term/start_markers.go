package term

import (
	"encoding/json"
	"fmt"
	"time"

	"juniperchute/internal/placement"
)

// startMarkerPrefix returns the key prefix of a shard's start markers, which record the jobs that may have
// tasks on machines. A later term starts jobs without a marker immediately, and other jobs only after it
// has located their tasks.
func startMarkerPrefix(shard int) string { return fmt.Sprintf("b/%d/", shard) }

// writeStartMarker durably records that a job may have tasks on machines, and allows its tasks to start
// once the marker is written.
func (t *Term) writeStartMarker(now time.Time, job *placement.Job) {
	t.startMarkers.Put(job.Spec.ID, 1, func(now time.Time) {
		t.scheduler.StartMarkerWritten(job)
		t.schedule(now)
	})
	t.startMarkers.Tick(now)
}

// recoverStartMarkers restores the start markers of earlier terms. If a page of markers is unreadable, it
// assumes that every open job may have tasks on machines.
func (t *Term) recoverStartMarkers() {
	t.startMarkers.Load(t.recovery.startMarkers, func(id string, _ json.RawMessage) {
		job := t.scheduler.OpenJob(id)
		if job == nil {
			t.startMarkers.Delete(id)
			return
		}
		job.StartedBeforeTerm = true
		t.scheduler.StartMarkerWritten(job)
	})
	if t.startMarkers.Unreadable() == 0 {
		return
	}
	for _, job := range t.scheduler.OpenJobs() {
		job.StartedBeforeTerm = true
	}
}
