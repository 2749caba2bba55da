package placement

import (
	"cmp"
	"slices"
	"time"

	"juniperchute/internal/quota"
)

// preemptionRules decides which tasks may be preempted for which work.
type preemptionRules struct{ *sharedState }

// allow reports whether a task may be preempted for work of a class. Work of higher
// priority preempts work of lower priority, unless that is starving. Work within its
// team's guarantee preempts work of teams over their guarantees, whatever the priorities.
func (r preemptionRules) allow(now time.Time, task *Task, class equivalenceClass) bool {
	victim := task.Job
	if task.isBackup || victim.closed {
		return false // its resources already count as free, or are about to be released
	}
	if victim.Spec.Team != class.team {
		overGuarantee := r.ledger.OverGuarantee(victim.Spec.Team)
		if class.scope == withinGuarantee && overGuarantee {
			return true
		}
		// Work outside its team's guarantee never preempts a team within its
		// own, whatever the priorities: otherwise the two would preempt each
		// other in a cycle, one by priority and the other by guarantee.
		if class.scope != withinGuarantee && !overGuarantee {
			return false
		}
	}
	return victim.priority < class.priority && !victim.starving(now)
}

// victims holds the tasks selected for preemption on one machine.
type victims struct {
	tasks []*Task
	free  quota.Resources // free resources of the machine once the tasks have exited
	cost  float64         // lost work in machine-seconds
}

// selectVictims selects tasks on a machine, in ascending order of preemption cost,
// until a task of the class fits in their resources plus free. If it never fits, the
// result holds all preemptible tasks: the caller has to check the result's free field.
func (r preemptionRules) selectVictims(
	now time.Time, class equivalenceClass, info *machineInfo, free quota.Resources,
) victims {
	var candidates []*Task
	for task := range info.assigned.all() {
		if r.allow(now, task, class) {
			candidates = append(candidates, task)
		}
	}
	sortByPreemptionCost(now, candidates)
	// A local slice, not a field of the result, so that small results avoid heap
	// allocations while it grows.
	var selected []*Task
	cost := 0.0
	for _, task := range candidates {
		if free.Covers(class.need) {
			break
		}
		free = free.Add(task.Job.need)
		cost += task.preemptionCost(now)
		selected = append(selected, task)
	}
	return victims{tasks: selected, free: free, cost: cost}
}

// sortByPreemptionCost sorts tasks in ascending order of preemption cost.
func sortByPreemptionCost(now time.Time, tasks []*Task) {
	slices.SortFunc(tasks, func(a, b *Task) int {
		return cmp.Compare(a.preemptionCost(now), b.preemptionCost(now))
	})
}

// preemptionCost returns the work lost by preempting the task, in machine-seconds: the
// time to save a checkpoint, or the time since dispatch for tasks that save none.
func (t *Task) preemptionCost(now time.Time) float64 {
	lost := now.Sub(t.dispatchedAt).Seconds()
	if t.Job.savesCheckpoints() {
		lost = t.Job.Spec.CheckpointSaveTimeS
	}
	return lost * t.Job.need.DominantShare(t.machine.Capacity)
}
