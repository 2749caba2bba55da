package placement

import (
	"cmp"
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// consolidator relocates tasks from machines with low allocation if they fit elsewhere,
// so that the emptied machines can be terminated. To relocate a task is to preempt it
// and to schedule it again; its new machine may differ from the planned target.
type consolidator struct {
	*sharedState
	capacity *capacityIndex
	jobQueue *jobQueue
	tasks    *taskLifecycle
	nextRun  time.Time // the earliest time of the next consolidation
}

// consolidate cordons machines whose tasks all fit on other machines and
// preempts those tasks. It runs only while no startable task of an array or a
// service is pending, and cordons a bounded share of the machines per run. It tries
// on-demand machines first, then those with the lowest allocation, and prefers the
// targets with the highest allocation.
func (c *consolidator) consolidate(now time.Time) {
	if !c.reconciled || now.Before(c.nextRun) || c.jobQueue.startableTasksPending(now) {
		return
	}
	c.nextRun = now.Add(tuning.ConsolidationInterval)
	plan := c.plan()
	cordoned := 0
	for i, machine := range plan.sources {
		if cordoned == plan.limit || i == tuning.ConsolidationCandidates*plan.limit {
			break
		}
		if _, isTarget := plan.planned[machine]; isTarget || !plan.planRelocations(c.capacity.info(machine)) {
			continue
		}
		cordoned++
		c.cordon(now, machine)
	}
}

// cordon makes a machine unschedulable and preempts its tasks.
func (c *consolidator) cordon(now time.Time, machine *worker.Machine) {
	c.log.Info("worker cordoned for consolidation", "worker", machine.Host, "count", machine.AssignedCopies)
	machine.Cordoned = true
	for _, task := range c.capacity.info(machine).assigned.snapshot() {
		c.Counters.Relocated++
		c.tasks.preempt(now, task, "machine is consolidated")
	}
}

// uncordonAll makes all cordoned machines schedulable again.
func (c *consolidator) uncordonAll() {
	for _, machine := range c.registry.All() {
		if machine.Cordoned {
			machine.Cordoned = false
			c.capacity.markDirty(c.capacity.info(machine))
		}
	}
}

// consolidationPlan lists the machines to drain and the targets of their tasks.
type consolidationPlan struct {
	sources, targets []*worker.Machine
	planned          map[*worker.Machine]quota.Resources // resources of the planned relocations, by target
	limit            int                                 // machines to cordon per run
}

// plan returns a plan without relocations. Its sources and targets are in the order of
// preference.
func (c *consolidator) plan() *consolidationPlan {
	p := &consolidationPlan{planned: map[*worker.Machine]quota.Resources{}}
	inUse := 0
	for _, machine := range c.registry.All() {
		if machine.AssignedCopies == 0 || !machine.Schedulable() {
			continue
		}
		inUse++
		if machine.AvailableToPrimary().DominantShare(machine.Capacity) > tuning.ConsolidationMinFreeShare {
			p.targets = append(p.targets, machine)
		}
		if c.capacity.info(machine).canRelocate() {
			p.sources = append(p.sources, machine)
		}
	}
	p.limit = max(1, inUse/tuning.ConsolidationDivisor)
	slices.SortStableFunc(p.sources, func(a, b *worker.Machine) int {
		if a.Spot != b.Spot {
			if b.Spot {
				return -1
			}
			return 1
		}
		return cmp.Compare(allocatedShare(a), allocatedShare(b))
	})
	slices.SortStableFunc(p.targets, func(a, b *worker.Machine) int {
		return cmp.Compare(allocatedShare(b), allocatedShare(a))
	})
	return p
}

// allocatedShare returns the dominant share of a machine's capacity that is allocated.
func allocatedShare(machine *worker.Machine) float64 {
	return machine.Allocated.DominantShare(machine.Capacity)
}

// canRelocate reports whether every task of the machine can be relocated without losing
// progress, and no primary is queued there.
func (info *machineInfo) canRelocate() bool {
	if info.primaryQueue.len() > 0 {
		return false
	}
	return !info.assigned.contains(func(task *Task) bool { return !task.canRelocate() })
}

// canRelocate reports whether the task is a running primary of an array that saves
// checkpoints, and so can resume on another machine.
func (t *Task) canRelocate() bool {
	job := t.Job
	if t.phase != Active || t.isBackup || t.runningSince.IsZero() {
		return false
	}
	return !job.closed && job.isArray() && job.savesCheckpoints()
}

// planRelocations reports whether every task of a machine fits on a target in addition
// to the relocations planned so far. If so, it adds the relocations of these tasks to
// the plan; otherwise the plan is unchanged.
func (p *consolidationPlan) planRelocations(source *machineInfo) bool {
	relocated := map[*worker.Machine]quota.Resources{}
	for task := range source.assigned.all() {
		i := slices.IndexFunc(p.targets, func(target *worker.Machine) bool {
			return target != source.machine && p.targetFits(target, task.Job, relocated[target])
		})
		if i < 0 {
			return false
		}
		relocated[p.targets[i]] = relocated[p.targets[i]].Add(task.Job.need)
	}
	for target, resources := range relocated {
		p.planned[target] = p.planned[target].Add(resources)
	}
	return true
}

// targetFits reports whether a target can start a task of a job at once, in
// addition to the planned relocations and the resources in relocated. It requires the job's
// image on the target.
func (p *consolidationPlan) targetFits(target *worker.Machine, job *Job, relocated quota.Resources) bool {
	available := target.AvailableToPrimary()
	// The cheap check comes first: most targets have no free resources at all.
	if !available.Covers(job.need) || target.Cordoned {
		return false
	}
	if !available.Sub(p.planned[target]).Sub(relocated).Covers(job.need) || !job.suits(target) {
		return false
	}
	_, hasImage := target.Images[job.Spec.Image]
	return hasImage
}
