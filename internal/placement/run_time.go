package placement

import (
	"time"

	"juniperchute/internal/tuning"
)

// runTimeEstimator estimates the run times of tasks from completed tasks.
type runTimeEstimator struct {
	ratioByClass map[string]float64 // moving average of run time divided by the user's estimate
}

// estimate returns the estimated run time in seconds of a task of the job: the
// user's estimate, corrected by the average ratio of the job's class.
func (r *runTimeEstimator) estimate(job *Job) float64 {
	estimate := job.Spec.EstimatedRunTimeS
	if ratio, ok := r.ratioByClass[job.Spec.Class]; ok {
		estimate *= ratio
	}
	return max(estimate, tuning.MinRunTime.Seconds())
}

// record updates the average ratio of a class with a completed task.
func (r *runTimeEstimator) record(now time.Time, task *Task) {
	job := task.Job
	if task.runningSince.IsZero() || job.Spec.EstimatedRunTimeS <= 0 || job.IsGang() {
		return
	}
	ratio := now.Sub(task.runningSince).Seconds() / job.Spec.EstimatedRunTimeS
	previous, ok := r.ratioByClass[job.Spec.Class]
	if !ok {
		previous = 1
	}
	r.ratioByClass[job.Spec.Class] = previous + (ratio-previous)*tuning.RunTimeAverageWeight
}
