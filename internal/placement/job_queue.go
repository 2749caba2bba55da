package placement

import (
	"maps"
	"slices"
	"strings"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
)

// jobQueue is the order in which open jobs get machines.
type jobQueue struct {
	*sharedState
	runTimes   *runTimeEstimator
	pass       *passState
	open       []*Job         // by priority, then age
	tiers      []priorityTier // the same by effective priority and fair-share order, as last sorted
	sortedAt   time.Time      // when that was
	orderStale bool           // jobs have come or gone since
}

// priorityTier is the open jobs of one effective priority in fair-share order.
type priorityTier struct {
	jobs             []*Job
	gangsAndServices []*Job // those of them for which other work may be preempted
}

// add adds an open job.
func (q *jobQueue) add(job *Job) {
	position, _ := slices.BinarySearchFunc(q.open, job, compareJobs)
	q.open = slices.Insert(q.open, position, job)
	q.invalidate()
}

// remove removes a job that was closed.
func (q *jobQueue) remove(job *Job) {
	if i := slices.Index(q.open, job); i >= 0 {
		q.open = slices.Delete(q.open, i, i+1)
		q.invalidate()
	}
}

// compareJobs orders jobs by priority, then age.
func compareJobs(a, b *Job) int {
	if a.priority != b.priority {
		return b.priority - a.priority
	}
	if c := a.AcceptedAt.Compare(b.AcceptedAt); c != 0 {
		return c
	}
	return strings.Compare(a.Spec.ID, b.Spec.ID)
}

// invalidate has the jobs sorted anew.
func (q *jobQueue) invalidate() {
	q.orderStale = true
	q.pass.requestFullPass()
}

// sortIfDue sorts the open jobs by priority and fair-share order, unless that
// was done a moment ago, and reports whether it has.
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

// groupByPriority works out the jobs' effective priorities and groups them by these.
func (q *jobQueue) groupByPriority(now time.Time) map[int][]*Job {
	byPriority := map[int][]*Job{}
	for _, job := range q.open {
		job.effectivePriority = job.priority + job.starvationBoost(now)
		byPriority[job.effectivePriority] = append(byPriority[job.effectivePriority], job)
	}
	return byPriority
}

// smallestArrayNeed returns the least that any open array's task needs of each resource.
func (q *jobQueue) smallestArrayNeed() quota.Resources {
	smallest := quota.UnlimitedResources()
	for _, job := range q.open {
		if job.isArray() {
			smallest = smallest.Min(job.need)
		}
	}
	return smallest
}

// startableTasksPending reports whether tasks of an array or a service are pending
// that could start if there were room.
func (q *jobQueue) startableTasksPending(now time.Time) bool {
	return slices.ContainsFunc(q.open, func(job *Job) bool {
		return !job.IsGang() && job.pendingTasks() > 0 && !now.Before(job.backoffUntil)
	})
}
