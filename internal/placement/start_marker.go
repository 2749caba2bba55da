package placement

import (
	"time"

	"juniperchute/internal/tuning"
)

// startMarkerState reports whether a job's start marker is durable. A job's
// tasks start only once it is: a successor then knows that tasks of jobs
// without a marker are on no machine.
type startMarkerState int

const (
	startMarkerAbsent    startMarkerState = iota
	startMarkerRequested                  // being written to the state service
	startMarkerDurable
)

// startMarkers requests start markers, and tells what may start.
type startMarkers struct {
	*environment
	pass    *passState
	request func(now time.Time, job *Job) // nil: jobs start without
	pending int                           // requested and not durable yet
}

// written records that a job's start marker is durable.
func (m *startMarkers) markDurable(job *Job) {
	if job.startMarker == startMarkerRequested {
		m.pending--
	}
	job.startMarker = startMarkerDurable
	m.pass.requestFull()
}

// canRequest reports whether a job has its start marker or could
// request it now. Thousands of jobs may wait for theirs after a failover: no
// room is sought for them until it is their turn.
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

// ensure reports whether a job's start marker is durable, and
// requests it if it can.
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

// safeToStart reports whether a pending task of the job surely runs nowhere:
// all machines have been reconciled, or no earlier term can have started any
// of its tasks.
func (m *startMarkers) safeToStart(job *Job) bool {
	if m.reconciled || !job.FromEarlierTerm {
		return true
	}
	return m.request != nil && !job.StartedInEarlierTerm
}
