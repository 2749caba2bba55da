package placement

import (
	"time"

	"juniperchute/internal/tuning"
)

// runTimeEstimator learn from completed tasks how long tasks run.
type runTimeEstimator struct {
	ratioByClass map[string]float64 // run time over the users' estimate
}

// estimate estimates a task's run time in seconds: the user's estimate,
// corrected by what tasks of the job's class have taken so far.
func (r *runTimeEstimator) estimate(job *Job) float64 {
	estimate := job.Spec.EstimatedRunTimeS
	if ratio, ok := r.ratioByClass[job.Spec.Class]; ok {
		estimate *= ratio
	}
	return max(estimate, tuning.MinRunTime.Seconds())
}

// record corrects the estimates of a class by a task that has completed.
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
