package placement

import (
	"time"

	"juniperchute/internal/tuning"
)

// EstimateRunTime estimates a task's run time in seconds: the user's estimate,
// corrected by what tasks of the job's class have taken so far.
func (s *Scheduler) EstimateRunTime(job *Job) float64 {
	estimate := job.Spec.EstimatedRunTimeS
	if ratio, ok := s.runTimeRatio[job.Spec.Class]; ok {
		estimate *= ratio
	}
	return max(estimate, tuning.MinRunTime.Seconds())
}

// recordRunTime corrects the estimates of a class by a task that has completed.
func (s *Scheduler) recordRunTime(now time.Time, task *Task) {
	job := task.Job
	if task.runningSince.IsZero() || job.Spec.EstimatedRunTimeS <= 0 || job.IsGang() {
		return
	}
	ratio := now.Sub(task.runningSince).Seconds() / job.Spec.EstimatedRunTimeS
	previous, ok := s.runTimeRatio[job.Spec.Class]
	if !ok {
		previous = 1
	}
	s.runTimeRatio[job.Spec.Class] = previous + (ratio-previous)*tuning.RunTimeAverageWeight
}
