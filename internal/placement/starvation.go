package placement

import (
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// starving reports whether no task of the job has completed within
// tuning.FirstStartDeadline of the job's acceptance. Work of higher priority does not
// preempt the tasks of a starving job. Services never starve, as their tasks do not
// complete.
func (j *Job) starving(now time.Time) bool {
	return !j.IsService() && j.completed.count == 0 && now.Sub(j.KnownSince) > tuning.FirstStartDeadline
}

// boostedAboveAll reports whether the job has the boost of a starving job with
// no tasks on machines, which exceeds all priorities.
func (j *Job) boostedAboveAll() bool { return j.effectivePriority >= wire.PriorityCount+j.priority }

// starvationBoost returns the number of levels to add to the job's priority, so
// that a continuous load of other jobs cannot starve it. A starving job with no
// tasks on machines is boosted above all others until one is. A job with tasks
// waiting after tuning.StarvationTimeout is boosted level by level, and keeps the
// boost.
func (j *Job) starvationBoost(now time.Time) int {
	if j.IsService() {
		return 0 // the age of a service does not bound the waiting time of its replicas
	}
	if j.starving(now) && j.assigned == 0 {
		return wire.PriorityCount
	}
	boost := min(j.effectivePriority-j.priority, wire.PriorityCount-1)
	overdue := now.Sub(j.KnownSince) - tuning.StarvationTimeout
	waiting := j.pendingTasks() > 0 || len(j.tasks) > j.assigned
	switch {
	case overdue >= 0 && waiting:
		boost = max(boost, 1+min(int(overdue/tuning.StarvationBoostInterval), wire.PriorityCount-2))
	case boost == wire.PriorityCount-1:
		boost = 0 // the first tasks of a job boosted above all have started
	}
	return boost
}
