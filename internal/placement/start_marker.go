package placement

import (
	"time"

	"juniperchute/internal/tuning"
)

// StartMarkerWritten lets the tasks of a job start: its mark is durable.
func (s *Scheduler) StartMarkerWritten(job *Job) {
	if job.startMarker == startMarkerRequested {
		s.pendingStartMarkers--
	}
	job.startMarker = startMarkerDurable
	s.capacity.requestFullPass()
}

// canRequestStartMarker tells whether a job is begun or could ask for its mark now. Thousands
// may wait for theirs after a takeover: no room is looked for until then.
func (s *Scheduler) canRequestStartMarker(job *Job) bool {
	return s.RequestStartMarker == nil || job.startMarker == startMarkerDurable ||
		job.startMarker == startMarkerAbsent && (s.pendingStartMarkers < tuning.StartMarkersAhead || job.IsGang() && s.pendingStartMarkers < tuning.MaxGangStartMarkers)
}

// ensureStartMarker tells whether a job's tasks may be handed out, and sees to its mark.
func (s *Scheduler) ensureStartMarker(now time.Time, job *Job) bool {
	if s.RequestStartMarker == nil || job.startMarker == startMarkerDurable {
		return true
	}
	if s.canRequestStartMarker(job) {
		job.startMarker = startMarkerRequested
		s.pendingStartMarkers++
		s.RequestStartMarker(now, job)
	}
	s.setPendingReason(job, "being marked as begun")
	return false
}
