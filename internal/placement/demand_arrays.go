package placement

import (
	"cmp"
	"slices"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
)

// arrayPacking packs the pending tasks of arrays into the capacity that gangs and
// services leave. Tasks are packed as machine-seconds within the planning horizon
// of their class. Full bins are removed from their group, which bounds the cost
// with thousands of arrays and bins.
type arrayPacking struct {
	plan         *demandPlan
	smallestNeed quota.Resources // minimum over all arrays, by resource
	binsByGroup  map[binGroup][]*bin
}

// binGroup identifies the bins of one kind, spot or on demand, that are not full
// for a class. Whether a bin is full depends on the planning horizon of the class.
type binGroup struct {
	class string
	spot  bool
}

// packArrays packs the arrays in descending order of priority.
func (p *demandPlan) packArrays() {
	backlogs := p.arrayBacklogs()
	packing := &arrayPacking{plan: p, smallestNeed: quota.UnlimitedResources(), binsByGroup: map[binGroup][]*bin{}}
	for _, backlog := range backlogs {
		packing.smallestNeed = packing.smallestNeed.Min(backlog.job.need)
	}
	for _, backlog := range backlogs {
		packing.pack(backlog)
	}
}

// arrayBacklog holds the tasks of an array that have not started and are not packed yet.
type arrayBacklog struct {
	job         *Job
	tasks       float64 // fractional: a bin may take part of a task
	taskSeconds float64 // estimated run time of one task
	horizon     float64 // seconds
}

// arrayBacklogs returns the backlogs of all arrays in descending order of priority.
func (p *demandPlan) arrayBacklogs() (backlogs []*arrayBacklog) {
	for _, job := range p.queue.open {
		if !job.isArray() || p.now.Before(job.backoffUntil) {
			continue
		}
		if tasks := job.unstartedTasks(); tasks > 0 {
			backlogs = append(backlogs, &arrayBacklog{
				job:         job,
				tasks:       float64(tasks),
				taskSeconds: p.runTimes.estimate(job),
				horizon:     PlanningHorizon(p.platform.Objectives, job.Spec.Class),
			})
		}
	}
	slices.SortStableFunc(backlogs, func(a, b *arrayBacklog) int { return cmp.Compare(b.job.priority, a.job.priority) })
	return backlogs
}

// unstartedTasks counts the tasks that are pending, or queued without a dispatched copy.
func (j *jobTasks) unstartedTasks() int {
	tasks := j.pendingTasks()
	for _, task := range j.tasks {
		if task.phase == Unassigned {
			tasks++
		}
	}
	return tasks
}

// pack packs one array into spot bins, then into on-demand bins, and opens bins for
// the tasks that do not fit.
func (p *arrayPacking) pack(backlog *arrayBacklog) {
	for _, spot := range []bool{true, false} {
		p.packIntoGroup(binGroup{backlog.job.Spec.Class, spot}, backlog)
	}
	for backlog.tasks > tuning.NegligibleBacklog && p.plan.admit(backlog.job, backlog.job.need) {
		b := p.plan.openBin(backlog.job, "")
		if b == nil {
			return
		}
		p.addBin(b)
		before := backlog.tasks
		backlog.packInto(b)
		if backlog.tasks == before {
			return
		}
	}
}

// addBin adds a newly opened bin to the plan and to the matching groups.
func (p *arrayPacking) addBin(b *bin) {
	for group := range p.binsByGroup {
		if group.spot == b.kind.spot {
			p.binsByGroup[group] = append(p.binsByGroup[group], b)
		}
	}
	p.plan.bins = append(p.plan.bins, b)
}

// packIntoGroup packs an array into a group of bins and removes full bins from the group.
func (p *arrayPacking) packIntoGroup(group binGroup, backlog *arrayBacklog) {
	bins, ok := p.binsByGroup[group]
	if !ok {
		bins = slices.DeleteFunc(slices.Clone(p.plan.bins), func(b *bin) bool { return b.kind.spot != group.spot })
	}
	remaining := bins[:0]
	for i, b := range bins {
		if backlog.tasks <= 0 {
			remaining = append(remaining, bins[i:]...)
			break
		}
		backlog.packInto(b)
		full := backlog.remainingTime(b) <= 0 && !b.free.Covers(p.smallestNeed)
		if !full {
			remaining = append(remaining, b)
		}
	}
	p.binsByGroup[group] = remaining
}

// remainingTime returns the machine-seconds within the horizon that are neither
// planned nor committed on a bin.
func (a *arrayBacklog) remainingTime(b *bin) float64 { return a.horizon - b.planned - b.committed }

// packInto packs as many of the remaining tasks into a bin as fit.
func (a *arrayBacklog) packInto(b *bin) {
	need := a.job.need
	machineTime := a.remainingTime(b)
	// The cheap check comes first: most bins are full.
	if machineTime <= 0 && !b.free.Covers(need) {
		return
	}
	if !b.capacity.Covers(need) || !b.suits(a.job) {
		return
	}
	// Free resources admit tasks at once, even if their run time exceeds the horizon.
	tasksAtOnce := float64(b.free.FitCount(need, maxTasksPerMachine))
	machineTime = max(machineTime, a.taskSeconds*tasksAtOnce*need.DominantShare(b.capacity)-b.planned)
	secondsPerTask := a.taskSeconds / float64(max(1, b.capacity.FitCount(need, maxTasksPerMachine)))
	packed := min(a.tasks, machineTime/secondsPerTask)
	if packed <= 0 {
		return
	}
	b.markNeeded()
	b.planned += packed * secondsPerTask
	a.tasks -= packed
}
