package placement

import (
	"cmp"
	"slices"
	"time"

	"juniperchute/internal/quota"
)

// preemptionRules tell which work may be preempted for which.
type preemptionRules struct{ *sharedState }

// allow reports whether a task may be preempted for work of a class:
// work of lower priority, or of a team over its guarantee for a team within
// its own.
func (r preemptionRules) allow(now time.Time, task *Task, class equivalenceClass) bool {
	victim := task.Job
	if task.isBackup || victim.closed {
		return false // its room counts as free already, or is about to be
	}
	if victim.Spec.Team != class.team {
		overGuarantee := r.ledger.OverGuarantee(victim.Spec.Team)
		if class.scope == guaranteedWork && overGuarantee {
			return true
		}
		// A team within its guarantee keeps it against other teams' work over
		// theirs, whatever its priority: otherwise the two would preempt each
		// other in turn for ever, one by priority and one by its guarantee.
		if class.scope != guaranteedWork && !overGuarantee {
			return false
		}
	}
	return victim.priority < class.priority && !victim.starving(now)
}

// victims are tasks on one machine to be preempted for others.
type victims struct {
	tasks []*Task
	free  quota.Resources // the machine's room once they have ended
	cost  float64         // of the work that is lost, in machine-seconds
}

// selectVictims chooses tasks to preempt on a machine until a task of a class
// fits beside what is free already, or none is left; those that lose least go first.
func (r preemptionRules) selectVictims(
	now time.Time, class equivalenceClass, info *machineInfo, free quota.Resources,
) victims {
	var candidates []*Task
	for _, task := range info.assigned {
		if r.allow(now, task, class) {
			candidates = append(candidates, task)
		}
	}
	sortByPreemptionCost(now, candidates)
	var selected []*Task // not in the result yet: a short slice then stays off the heap while it grows
	cost := 0.0
	for _, task := range candidates {
		if free.Fits(class.need) {
			break
		}
		free = free.Add(task.Job.need)
		cost += task.preemptionCost(now)
		selected = append(selected, task)
	}
	return victims{tasks: selected, free: free, cost: cost}
}

// sortByPreemptionCost sorts tasks by what preempting them loses, the least first.
func sortByPreemptionCost(now time.Time, tasks []*Task) {
	slices.SortFunc(tasks, func(a, b *Task) int {
		return cmp.Compare(a.preemptionCost(now), b.preemptionCost(now))
	})
}

// preemptionCost returns the work, in machine-seconds, that preempting the task loses.
func (t *Task) preemptionCost(now time.Time) float64 {
	lost := now.Sub(t.dispatchedAt).Seconds()
	if t.Job.savesCheckpoints() {
		lost = t.Job.Spec.CheckpointSaveTimeS
	}
	return lost * t.Job.need.DominantShare(t.machine.Capacity)
}
