package placement

import (
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Job is an open job, or a closed one of which tasks may still be on machines.
type Job struct {
	Spec       wire.JobSpec
	AcceptedAt time.Time // wall clock
	KnownSince time.Time // when this term learned of it, monotonic clock
	Version    uint64    // of its stored record
	// FromEarlierTerm tells that it was accepted before this term: its tasks
	// may be on machines that have not been reconciled yet.
	FromEarlierTerm bool
	// StartedInEarlierTerm tells that an earlier term wrote its start marker.
	StartedInEarlierTerm bool

	priority            int
	need                quota.Resources // of each task
	closed              bool
	terminationDeadline time.Time // of a closed job: when none of its tasks may be left on a machine
	startMarker         startMarkerState
	pendingReason       string // why it waits, as last logged

	jobTasks
	jobAttempts
	queuePosition
	failureHistory
}

// newJob returns a job of which no task has been scheduled.
func newJob(now time.Time, spec wire.JobSpec, acceptedAt time.Time, version uint64) *Job {
	priority, _ := wire.Priority(spec.Priority)
	return &Job{
		Spec:           spec,
		AcceptedAt:     acceptedAt,
		KnownSince:     now,
		Version:        version,
		priority:       priority,
		need:           quota.Resources{CPUs: spec.Vcpus, GPUs: spec.Gpus, MemGB: spec.MemGb},
		jobTasks:       newJobTasks(spec.Tasks),
		queuePosition:  queuePosition{effectivePriority: priority},
		failureHistory: failureHistory{failedOn: map[string]int{}, succeededOn: map[string]bool{}},
	}
}

// jobAttempts numbers the attempts of a job's tasks. All tasks of a gang share an attempt.
type jobAttempts struct {
	attemptSequence uint64 // attempts made in this term
	attempt         uint64 // the gang's attempt; 0: none yet
	aborting        bool   // the gang's attempt is over, but some of its tasks are still on machines
}

// IsGang reports whether the job's tasks run all together or not at all.
func (j *Job) IsGang() bool { return j.Spec.Shape == wire.ShapeGang }

// IsService reports whether the job is a service, which ends only when it is cancelled.
func (j *Job) IsService() bool { return j.Spec.Shape == wire.ShapeService }

// isArray reports whether the job's tasks are independent of each other and
// run once: each has a primary and a backup copy.
func (j *Job) isArray() bool { return !j.IsGang() && !j.IsService() }

// Priority returns the priority that the user gave; larger goes first.
func (j *Job) Priority() int { return j.priority }

// PendingReason tells users why the job's next task does not start, "" when none is pending.
func (j *Job) PendingReason() string {
	if j.pendingReason == "" && j.pendingTasks() > 0 {
		return "its turn"
	}
	return j.pendingReason
}

// savesCheckpoints reports whether the job's tasks can be stopped without losing their progress.
func (j *Job) savesCheckpoints() bool { return j.Spec.CheckpointIntervalS > 0 }

// gracePeriodS returns how many seconds a running task of the job is given to save.
func (j *Job) gracePeriodS() float64 {
	if !j.savesCheckpoints() {
		return 0
	}
	return j.Spec.CheckpointSaveTimeS + tuning.CheckpointGrace.Seconds()
}
