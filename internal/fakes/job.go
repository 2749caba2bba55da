package fakes

import (
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// Job is a job together with its user's view of it.
type Job struct {
	Spec       wire.JobSpec
	RunTime    time.Duration // of each task
	Faulty     bool          // its tasks fail on every machine
	Infeasible bool          // it can never run, so controllers must not accept it
	Done       []bool        // completed tasks, by index

	// The user's view and actions.
	Accepted        bool
	KnownState      string // state in the latest response; "" before the first
	CancelRequested bool
	CancelledAt     time.Time // when a response first reported the job as cancelled
	LastResponseAt  time.Time // when a request about the job last succeeded

	workers []*Worker // workers that received tasks of the job and may still list some
}

// workersWithTasks returns the workers that list tasks of the job, in the order in which they
// first received one.
func (j *Job) workersWithTasks() []*Worker {
	j.workers = slices.DeleteFunc(j.workers, func(w *Worker) bool {
		return !slices.ContainsFunc(w.Tasks, func(t *Task) bool { return t.Job == j })
	})
	return j.workers
}

// NewJob returns a job that has not been submitted; runTime is the run time of each task.
func NewJob(spec wire.JobSpec, runTime time.Duration) *Job {
	return &Job{Spec: spec, RunTime: runTime, Done: make([]bool, spec.Tasks)}
}

// Complete reports whether all tasks have completed on the workers.
func (j *Job) Complete() bool { return !slices.Contains(j.Done, false) }

// Ended reports whether a response has shown the user a terminal state.
func (j *Job) Ended() bool { return isTerminal(j.KnownState) }

// isTerminal reports whether a job state is final.
func isTerminal(state string) bool { return state == wire.JobDone || state == wire.JobCancelled }

func (j *Job) resources() quota.Resources {
	return quota.Resources{CPUs: j.Spec.Vcpus, GPUs: j.Spec.Gpus, MemGB: j.Spec.MemGB}
}
