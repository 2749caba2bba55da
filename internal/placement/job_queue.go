package placement

import (
	"maps"
	"slices"
	"strings"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
)

// jobQueue orders the open jobs for scheduling.
type jobQueue struct {
	*sharedState
	runTimes   *runTimeEstimator
	pass       *passState
	open       []*Job         // by descending priority, then age
	tiers      []priorityTier // by descending effective priority, as of sortedAt
	sortedAt   time.Time
	orderStale bool // jobs were added or removed since sortedAt
}

// priorityTier holds the open jobs of one effective priority in fair-share order.
type priorityTier struct {
	jobs             []*Job
	gangsAndServices []*Job // subset of jobs that may preempt other work
}

func (q *jobQueue) add(job *Job) {
	position, _ := slices.BinarySearchFunc(q.open, job, compareJobs)
	q.open = slices.Insert(q.open, position, job)
	q.invalidate()
}

func (q *jobQueue) remove(job *Job) {
	if i := slices.Index(q.open, job); i >= 0 {
		q.open = slices.Delete(q.open, i, i+1)
		q.invalidate()
	}
}

// compareJobs orders jobs by descending priority, then age, then ID.
func compareJobs(a, b *Job) int {
	if a.priority != b.priority {
		return b.priority - a.priority
	}
	if c := a.AcceptedAt.Compare(b.AcceptedAt); c != 0 {
		return c
	}
	return strings.Compare(a.Spec.ID, b.Spec.ID)
}

// invalidate marks the order as stale and requests a full scheduling pass.
func (q *jobQueue) invalidate() {
	q.orderStale = true
	q.pass.requestFullPass()
}

// sortIfDue sorts the open jobs into tiers and reports whether it did. It sorts
// at most once per FairShareMinInterval, or once per FairShareInterval while the
// order is not stale.
func (q *jobQueue) sortIfDue(now time.Time) bool {
	sinceSort := now.Sub(q.sortedAt)
	if sinceSort < tuning.FairShareInterval && (!q.orderStale || sinceSort < tuning.FairShareMinInterval) {
		return false
	}
	q.sortedAt, q.orderStale = now, false
	byPriority := q.groupByPriority(now)
	q.tiers = nil
	for _, priority := range slices.Backward(slices.Sorted(maps.Keys(byPriority))) {
		jobs := q.fairShareOrder(byPriority[priority])
		gangsAndServices := slices.DeleteFunc(slices.Clone(jobs), (*Job).isArray)
		q.tiers = append(q.tiers, priorityTier{jobs, gangsAndServices})
	}
	return true
}

// groupByPriority updates the effective priority of each open job and returns
// the jobs by effective priority.
func (q *jobQueue) groupByPriority(now time.Time) map[int][]*Job {
	byPriority := map[int][]*Job{}
	for _, job := range q.open {
		job.effectivePriority = job.priority + job.starvationBoost(now)
		byPriority[job.effectivePriority] = append(byPriority[job.effectivePriority], job)
	}
	return byPriority
}

// smallestArrayNeed returns, for each resource, the minimum that a task of any open array needs.
func (q *jobQueue) smallestArrayNeed() quota.Resources {
	smallest := quota.UnlimitedResources()
	for _, job := range q.open {
		if job.isArray() {
			smallest = smallest.Min(job.need)
		}
	}
	return smallest
}

// startableTasksPending reports whether an array or a service that is not backed
// off has pending tasks.
func (q *jobQueue) startableTasksPending(now time.Time) bool {
	return slices.ContainsFunc(q.open, func(job *Job) bool {
		return !job.IsGang() && job.pendingTasks() > 0 && !now.Before(job.backoffUntil)
	})
}
