package placement

import (
	"cmp"
	"slices"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
)

// arrayLoad is an array's waiting work.
type arrayLoad struct {
	job   *Job
	tasks int // tasks
}

// arrayLoads lists the arrays with waiting work, by priority.
func (p *demandPlan) arrayLoads() (loads []arrayLoad) {
	for _, job := range p.scheduler.openJobs {
		if job.IsGang() || job.IsService() || p.now.Before(job.notBefore) {
			continue
		}
		tasks := job.pendingTasks()
		for _, task := range job.tasks {
			if task.phase == Unassigned {
				tasks++
			}
		}
		if tasks > 0 {
			loads = append(loads, arrayLoad{job, tasks})
		}
	}
	slices.SortStableFunc(loads, func(a, b arrayLoad) int { return cmp.Compare(b.job.priority, a.job.priority) })
	return loads
}

// binGroup is which of the bins an array's work is poured into, and by whose horizon.
type binGroup struct {
	class string
	spot  bool
}

// arrayPacking pours the arrays' waiting work, as machine time within the class's horizon,
// into what the gangs leave. Bins that have nothing left for any array of a class are
// passed over: there may be thousands of both.
type arrayPacking struct {
	plan         *demandPlan
	smallestNeed quota.Resources // no array's task needs less, of anything
	binsByGroup  map[binGroup][]*bin
}

// packArrays packs the arrays.
func (p *demandPlan) packArrays() {
	loads := p.arrayLoads()
	packing := &arrayPacking{plan: p, smallestNeed: quota.UnlimitedResources(), binsByGroup: map[binGroup][]*bin{}}
	for _, load := range loads {
		packing.smallestNeed = packing.smallestNeed.Min(load.job.need)
	}
	for _, load := range loads {
		packing.pack(load)
	}
}

// pack pours one array's work, the spot machines first, and rents for the rest.
func (p *arrayPacking) pack(load arrayLoad) {
	work := &arrayWork{job: load.job, tasks: float64(load.tasks), taskSeconds: p.plan.scheduler.EstimateRunTime(load.job), horizon: PlanningHorizon(p.plan.scheduler.platform.Objectives, load.job.Spec.Class)}
	for _, spot := range []bool{true, false} {
		p.packIntoGroup(binGroup{load.job.Spec.Class, spot}, work)
	}
	for work.tasks > tuning.NegligibleBacklog && p.plan.admit(load.job, load.job.need) {
		b := p.plan.openBin(load.job, "")
		if b == nil {
			return
		}
		for group := range p.binsByGroup {
			if group.spot == b.spot {
				p.binsByGroup[group] = append(p.binsByGroup[group], b)
			}
		}
		p.plan.bins = append(p.plan.bins, b)
		before := work.tasks
		if work.packInto(b); work.tasks == before {
			return
		}
	}
}

// packIntoGroup pours work into the bins of a kind, and takes off those that are full.
func (p *arrayPacking) packIntoGroup(group binGroup, work *arrayWork) {
	bins, ok := p.binsByGroup[group]
	if !ok {
		bins = slices.DeleteFunc(slices.Clone(p.plan.bins), func(b *bin) bool { return b.spot != group.spot })
	}
	remaining := bins[:0]
	for i, b := range bins {
		if work.tasks <= 0 {
			remaining = append(remaining, bins[i:]...)
			break
		}
		work.packInto(b)
		if full := work.horizon-b.planned-b.committed <= 0 && !b.free.Fits(p.smallestNeed); !full {
			remaining = append(remaining, b)
		}
	}
	p.binsByGroup[group] = remaining
}

// arrayWork is what is left of an array's waiting work.
type arrayWork struct {
	job         *Job
	tasks       float64 // tasks
	taskSeconds float64 // of one, seconds
	horizon     float64 // seconds
}

// packInto has a bin take as much as it can.
func (w *arrayWork) packInto(b *bin) {
	job := w.job
	// machine time this bin can give to the job within the horizon; most have
	// none left and no room, which is quickly told
	machineTime := w.horizon - b.planned - b.committed
	if machineTime <= 0 && !b.free.Fits(job.need) {
		return
	}
	if !b.capacity.Fits(job.need) || !job.allows(b.machineType, b.zone, b.spot) || b.machine != nil && job.avoids(b.machine) {
		return
	}
	// what is free now takes tasks at once, however long they run
	machineTime = max(machineTime, w.taskSeconds*float64(b.free.FitCount(job.need, maxTasksPerMachine))*job.need.DominantShare(b.capacity)-b.planned)
	secondsPerTask := w.taskSeconds / float64(max(1, b.capacity.FitCount(job.need, maxTasksPerMachine)))
	packed := min(w.tasks, machineTime/secondsPerTask)
	if packed <= 0 {
		return
	}
	b.markWanted()
	b.planned += packed * secondsPerTask
	w.tasks -= packed
}
