package placement

import (
	"cmp"
	"slices"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
)

// arrayPacking packs the arrays' pending tasks, as machine time within the
// planning horizon of their class, into what gangs and services leave. Bins
// that have nothing left for any array of a class are passed over: there may be
// thousands of both.
type arrayPacking struct {
	plan         *demandPlan
	smallestNeed quota.Resources // no array's task needs less, of any resource
	binsByGroup  map[binGroup][]*bin
}

// binGroup is the bins into which arrays of a class are packed. Which of them
// are full depends on the class's planning horizon.
type binGroup struct {
	class string
	spot  bool
}

// packArrays packs the arrays by priority.
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

// arrayBacklog is what remains to be packed of an array's tasks that have not started.
type arrayBacklog struct {
	job         *Job
	tasks       float64 // parts of tasks can be packed
	taskSeconds float64 // of one task
	horizon     float64 // seconds
}

// arrayBacklogs lists the arrays with tasks that have not started, by priority.
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

// unstartedTasks counts the tasks that are pending or only queued.
func (j *jobTasks) unstartedTasks() int {
	tasks := j.pendingTasks()
	for _, task := range j.tasks {
		if task.phase == Unassigned {
			tasks++
		}
	}
	return tasks
}

// pack packs one array, onto spot machines first, and provisions machines for
// what does not fit.
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

// addBin adds a machine to be provisioned to the plan and the groups it belongs to.
func (p *arrayPacking) addBin(b *bin) {
	for group := range p.binsByGroup {
		if group.spot == b.kind.spot {
			p.binsByGroup[group] = append(p.binsByGroup[group], b)
		}
	}
	p.plan.bins = append(p.plan.bins, b)
}

// packIntoGroup packs an array into a group of bins and removes those that are full from it.
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
		full := backlog.timeLeft(b) <= 0 && !b.free.Fits(p.smallestNeed)
		if !full {
			remaining = append(remaining, b)
		}
	}
	p.binsByGroup[group] = remaining
}

// timeLeft returns the machine-seconds within the horizon that a bin has not given away yet.
func (w *arrayBacklog) timeLeft(b *bin) float64 { return w.horizon - b.planned - b.committed }

// packInto packs as much into a bin as it can take. Most bins have no time left
// and no room: that is asked first.
func (w *arrayBacklog) packInto(b *bin) {
	need := w.job.need
	machineTime := w.timeLeft(b)
	if machineTime <= 0 && !b.free.Fits(need) {
		return
	}
	if !b.capacity.Fits(need) || !b.suits(w.job) {
		return
	}
	// what is free now takes tasks at once, however long they run
	tasksAtOnce := float64(b.free.FitCount(need, maxTasksPerMachine))
	machineTime = max(machineTime, w.taskSeconds*tasksAtOnce*need.DominantShare(b.capacity)-b.planned)
	secondsPerTask := w.taskSeconds / float64(max(1, b.capacity.FitCount(need, maxTasksPerMachine)))
	packed := min(w.tasks, machineTime/secondsPerTask)
	if packed <= 0 {
		return
	}
	b.markNeeded()
	b.planned += packed * secondsPerTask
	w.tasks -= packed
}
