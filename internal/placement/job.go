package placement

import (
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Job is an open job, or a closed job with tasks that may still be on machines.
type Job struct {
	Spec       wire.JobSpec
	AcceptedAt time.Time // wall clock
	KnownSince time.Time // acceptance on the monotonic clock; newJob sets the present time, which the term corrects
	Version    uint64    // version of the stored record
	// AcceptedBeforeTerm is set if the job was accepted before this term. Its tasks may
	// then be on machines that are not reconciled yet.
	AcceptedBeforeTerm bool
	// StartedBeforeTerm is set if an earlier term wrote the job's start marker, and so may
	// have started tasks of the job.
	StartedBeforeTerm bool

	priority            int
	need                quota.Resources // of each task
	closed              bool
	terminationDeadline time.Time // closed jobs only: no task may be on a machine after this time
	startMarker         startMarkerState
	pendingReason       string // reason why no pending task starts; "" if none is recorded

	jobTasks
	jobAttempts
	queuePosition
	failureHistory
}

// newJob returns a job whose tasks are all pending.
func newJob(now time.Time, spec wire.JobSpec, acceptedAt time.Time, version uint64) *Job {
	priority, _ := wire.PriorityRank(spec.Priority)
	return &Job{
		Spec:           spec,
		AcceptedAt:     acceptedAt,
		KnownSince:     now,
		Version:        version,
		priority:       priority,
		need:           quota.Resources{CPUs: spec.Vcpus, GPUs: spec.Gpus, MemGB: spec.MemGB},
		jobTasks:       newJobTasks(spec.Tasks),
		queuePosition:  queuePosition{effectivePriority: priority},
		failureHistory: newFailureHistory(),
	}
}

// jobAttempts tracks the attempt numbers of a job's tasks. All tasks of a gang share one attempt.
type jobAttempts struct {
	attemptSequence uint64 // attempts numbered in this term
	attempt         uint64 // current attempt of a gang; 0 before the first
	aborting        bool   // the gang's attempt was aborted, but some of its tasks are still on machines
}

// IsGang reports whether the job's tasks are gang-scheduled: all of them run at once or none.
func (j *Job) IsGang() bool { return j.Spec.Shape == wire.ShapeGang }

// IsService reports whether the job is a service. A service ends only when it is cancelled.
func (j *Job) IsService() bool { return j.Spec.Shape == wire.ShapeService }

// isArray reports whether the job is a job array: its tasks are independent and
// run to completion, and each has a primary and a backup copy.
func (j *Job) isArray() bool { return !j.IsGang() && !j.IsService() }

// Priority returns the priority that the user requested. Higher values are scheduled first.
func (j *Job) Priority() int { return j.priority }

// PendingReason returns the reason, for users, why the job's next task does not
// start. It returns "" if no task is pending and no reason was recorded.
func (j *Job) PendingReason() string {
	if j.pendingReason == "" && j.pendingTasks() > 0 {
		return "its turn"
	}
	return j.pendingReason
}

// savesCheckpoints reports whether the job's tasks can resume from a checkpoint after a stop.
func (j *Job) savesCheckpoints() bool { return j.Spec.CheckpointIntervalS > 0 }

// gracePeriodS returns the seconds that a stopped task of the job gets to save
// its checkpoint, 0 if it saves none.
func (j *Job) gracePeriodS() float64 {
	if !j.savesCheckpoints() {
		return 0
	}
	return j.Spec.CheckpointSaveTimeS + tuning.CheckpointGrace.Seconds()
}
