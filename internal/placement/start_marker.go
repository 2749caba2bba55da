package placement

import (
	"time"

	"juniperchute/internal/tuning"
)

// startMarkerState tells whether a job's start marker is durable. A job's
// tasks start only once it is: a successor then knows that tasks of jobs
// without a marker are on no machine.
type startMarkerState int

const (
	startMarkerAbsent    startMarkerState = iota
	startMarkerRequested                  // being written to the state service
	startMarkerDurable
)

// StartMarkerWritten records that a job's start marker is durable.
func (s *Scheduler) StartMarkerWritten(job *Job) {
	if job.startMarker == startMarkerRequested {
		s.pendingStartMarkers--
	}
	job.startMarker = startMarkerDurable
	s.pass.requestFull()
}

// canRequestStartMarker reports whether a job has its start marker or could
// request it now. Thousands of jobs may wait for theirs after a failover: no
// room is sought for them until it is their turn.
func (s *Scheduler) canRequestStartMarker(job *Job) bool {
	if s.requestStartMarker == nil || job.startMarker == startMarkerDurable {
		return true
	}
	limit := tuning.StartMarkersAhead
	if job.IsGang() {
		limit = max(limit, tuning.MaxGangStartMarkers)
	}
	return job.startMarker == startMarkerAbsent && s.pendingStartMarkers < limit
}

// ensureStartMarker reports whether a job's start marker is durable, and
// requests it if it can.
func (s *Scheduler) ensureStartMarker(now time.Time, job *Job) bool {
	if s.requestStartMarker == nil || job.startMarker == startMarkerDurable {
		return true
	}
	if s.canRequestStartMarker(job) {
		job.startMarker = startMarkerRequested
		s.pendingStartMarkers++
		s.requestStartMarker(now, job)
	}
	s.setPendingReason(job, "being marked as begun")
	return false
}
