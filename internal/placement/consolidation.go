package placement

import (
	"cmp"
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// consolidator empties machines whose tasks would fit elsewhere.
type consolidator struct {
	*sharedState
	capacity *capacityIndex
	queue    *jobQueue
	tasks    *taskLifecycle
	next     time.Time // not before
}

// consolidate cordons machines whose tasks would all fit elsewhere, and
// preempts these tasks so that they move and the machines can be terminated.
// It does so only while no array's tasks are pending, with a small part of the
// machines at a time: on-demand machines and those with the least on them
// first; the fullest take the tasks.
func (c *consolidator) consolidate(now time.Time) {
	if !c.reconciled || now.Before(c.next) || c.queue.startableTasksPending(now) {
		return
	}
	c.next = now.Add(tuning.ConsolidationInterval)
	plan := c.plan()
	cordoned := 0
	for i, machine := range plan.sources {
		if cordoned == plan.limit || i == tuning.ConsolidationTries*plan.limit {
			break
		}
		if _, isTarget := plan.added[machine]; isTarget || !plan.moveTasks(c.capacity.info(machine)) {
			continue
		}
		cordoned++
		c.cordon(now, machine)
	}
}

// cordon lets a machine take no more tasks and preempts those it has.
func (c *consolidator) cordon(now time.Time, machine *worker.Machine) {
	c.log.Info("worker cordoned for consolidation", "worker", machine.Host, "tasks", machine.ActiveCopies)
	machine.Cordoned = true
	for _, task := range slices.Clone(c.capacity.info(machine).assigned) {
		c.Counters.Relocated++
		c.tasks.preempt(now, task, "machine is consolidated")
	}
}

// uncordonAll makes cordoned machines that are not empty yet schedulable again.
func (c *consolidator) uncordonAll() {
	for _, machine := range c.registry.All() {
		if machine.Cordoned {
			machine.Cordoned = false
			c.capacity.markDirty(c.capacity.info(machine))
		}
	}
}

// consolidationPlan is which machines could be emptied, and which would take their tasks.
type consolidationPlan struct {
	sources, targets []*worker.Machine
	added            map[*worker.Machine]quota.Resources // to the targets, by what was planned so far
	limit            int                                 // how many machines may be cordoned at a time
}

// plan finds the machines that could be emptied and those that would take more
// tasks, both in the order of preference.
func (c *consolidator) plan() *consolidationPlan {
	p := &consolidationPlan{added: map[*worker.Machine]quota.Resources{}}
	inUse := 0
	for _, machine := range c.registry.All() {
		if machine.ActiveCopies == 0 || !machine.Schedulable() {
			continue
		}
		inUse++
		if machine.AvailableToPrimary().DominantShare(machine.Capacity) > tuning.ConsolidationMinFree {
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

// allocatedShare returns the part of a machine that tasks take.
func allocatedShare(machine *worker.Machine) float64 {
	return machine.Allocated.DominantShare(machine.Capacity)
}

// canRelocate reports whether nothing is lost when the machine's tasks move.
func (info *machineInfo) canRelocate() bool {
	if len(info.primaryQueue) > 0 {
		return false
	}
	return !slices.ContainsFunc(info.assigned, func(task *Task) bool { return !task.canRelocate() })
}

// canRelocate reports whether the task runs and would go on elsewhere from its checkpoint.
func (t *Task) canRelocate() bool {
	job := t.Job
	if t.phase != Active || t.isBackup || t.runningSince.IsZero() {
		return false
	}
	return !job.closed && job.isArray() && job.savesCheckpoints()
}

// moveTasks reports whether the targets would take all tasks of a machine
// beside what they take already, and adds these tasks there if so.
func (p *consolidationPlan) moveTasks(source *machineInfo) bool {
	added := map[*worker.Machine]quota.Resources{}
	for _, task := range source.assigned {
		i := slices.IndexFunc(p.targets, func(target *worker.Machine) bool {
			return target != source.machine && p.takes(target, task.Job, added[target])
		})
		if i < 0 {
			return false
		}
		added[p.targets[i]] = added[p.targets[i]].Add(task.Job.need)
	}
	for target, resources := range added {
		p.added[target] = p.added[target].Add(resources)
	}
	return true
}

// takes reports whether a target would take a task of a job at once, beside
// what was added to it. Most targets have no room at all: that is asked first.
func (p *consolidationPlan) takes(target *worker.Machine, job *Job, added quota.Resources) bool {
	available := target.AvailableToPrimary()
	if !available.Fits(job.need) || target.Cordoned {
		return false
	}
	if !available.Sub(p.added[target]).Sub(added).Fits(job.need) || !job.suits(target) {
		return false
	}
	_, hasImage := target.Images[job.Spec.Image]
	return hasImage
}
