package placement

import (
	"time"

	"juniperchute/internal/tuning"
)

// startMarkerState is the state of a job's start marker, a record that is written
// before any task of the job starts. After a failover, jobs without a marker are known
// to have no tasks on machines.
type startMarkerState int

const (
	startMarkerAbsent    startMarkerState = iota
	startMarkerRequested                  // write in flight
	startMarkerDurable
)

// startMarkers requests start markers and decides which jobs may start.
type startMarkers struct {
	*sharedState
	pass    *passState
	request func(now time.Time, job *Job) // nil: jobs start without a marker
	pending int                           // writes in flight
}

// markDurable records that the job's start marker was written, and requests a full
// scheduling pass.
func (m *startMarkers) markDurable(job *Job) {
	if job.startMarker == startMarkerRequested {
		m.pending--
	}
	job.startMarker = startMarkerDurable
	m.pass.requestFullPass()
}

// canRequest reports whether the job's start marker is durable or can be requested now.
// The writes in flight are limited: after a failover, thousands of jobs may wait for
// their markers, and scheduling skips them until theirs can be requested.
func (m *startMarkers) canRequest(job *Job) bool {
	if m.request == nil || job.startMarker == startMarkerDurable {
		return true
	}
	limit := tuning.StartMarkersAhead
	if job.IsGang() {
		limit = max(limit, tuning.MaxGangStartMarkers)
	}
	return job.startMarker == startMarkerAbsent && m.pending < limit
}

// ensure reports whether the job's start marker is durable. If not, it requests the
// marker, within the limit of canRequest, and sets the job's pending reason.
func (m *startMarkers) ensure(now time.Time, job *Job) bool {
	if m.request == nil || job.startMarker == startMarkerDurable {
		return true
	}
	if m.canRequest(job) {
		job.startMarker = startMarkerRequested
		m.pending++
		m.request(now, job)
	}
	m.setPendingReason(job, "its start marker is being written")
	return false
}

// safeToStart reports whether no pending task of the job can be running on a machine:
// either all machines are reconciled, or no earlier term can have started the job.
func (m *startMarkers) safeToStart(job *Job) bool {
	if m.reconciled || !job.AcceptedBeforeTerm {
		return true
	}
	return m.request != nil && !job.StartedBeforeTerm
}
