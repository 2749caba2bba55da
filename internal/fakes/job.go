package fakes

import (
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// Job is a job and what its user knows of it.
type Job struct {
	Spec       wire.JobSpec
	RunTime    time.Duration // how long each task runs
	Faulty     bool          // its tasks fail on every machine
	Infeasible bool          // it can never run, so it must not be accepted
	Done       []bool        // which tasks have completed, by index

	// What its user knows and has done.
	Accepted        bool
	KnownState      string // newest state in an answer; "": none yet
	CancelRequested bool
	CancelledAt     time.Time // when the first answer came that it is cancelled
	LastResponseAt  time.Time // when a query about it was last answered

	workers []*Worker // that were given tasks of it, and may have some
}

// workersWithTasks lists the workers that have tasks of the job, in the order in which
// they were first given one.
func (j *Job) workersWithTasks() []*Worker {
	j.workers = slices.DeleteFunc(j.workers, func(w *Worker) bool {
		return !slices.ContainsFunc(w.Tasks, func(t *Task) bool { return t.Job == j })
	})
	return j.workers
}

// NewJob makes a job that nobody has submitted yet.
func NewJob(spec wire.JobSpec, runTime time.Duration) *Job {
	return &Job{Spec: spec, RunTime: runTime, Done: make([]bool, spec.Tasks)}
}

// Complete reports whether all tasks have completed.
func (j *Job) Complete() bool { return !slices.Contains(j.Done, false) }

// Ended reports whether the user has got a final state as an answer.
func (j *Job) Ended() bool { return isFinal(j.KnownState) }

// isFinal reports whether a job stays in a state for good.
func isFinal(state string) bool { return state == wire.JobDone || state == wire.JobCancelled }

func (j *Job) resources() quota.Resources {
	return quota.Resources{CPUs: j.Spec.Vcpus, GPUs: j.Spec.Gpus, MemGB: j.Spec.MemGb}
}
