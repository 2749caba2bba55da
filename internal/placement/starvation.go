package placement

import (
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// starving reports whether no task of the job has completed although it has
// been known for long. What such a job has started is not preempted. Services
// never starve: they don't complete.
func (j *Job) starving(now time.Time) bool {
	return !j.IsService() && j.completed.count == 0 && now.Sub(j.KnownSince) > tuning.FirstStartDeadline
}

// boostedAboveAll reports whether the job has been raised over all others until
// its first tasks have started.
func (j *Job) boostedAboveAll() bool { return j.effectivePriority >= wire.Priorities+j.priority }

// starvationBoost returns by how many priorities the job is raised, so that no
// burst of other jobs, however long, keeps it from starting. One that starves
// and of which nothing runs goes before all others until something of it has
// started; one whose tasks have waited longer still rises priority by priority,
// and stays there.
func (j *Job) starvationBoost(now time.Time) int {
	if j.IsService() {
		return 0 // its age says nothing of how long its replicas have waited
	}
	if j.starving(now) && j.assigned == 0 {
		return wire.Priorities
	}
	boost := min(j.effectivePriority-j.priority, wire.Priorities-1)
	overdue := now.Sub(j.KnownSince) - tuning.StarvationTimeout
	waiting := j.pendingTasks() > 0 || len(j.tasks) > j.assigned
	switch {
	case overdue >= 0 && waiting:
		boost = max(boost, 1+min(int(overdue/tuning.StarvationStep), wire.Priorities-2))
	case boost == wire.Priorities-1:
		boost = 0 // its first tasks have started
	}
	return boost
}
