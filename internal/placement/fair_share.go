package placement

import (
	"cmp"
	"slices"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// queuePosition holds the scheduling order of a job among the open jobs.
type queuePosition struct {
	effectivePriority int     // priority plus starvation boost
	fairSharePosition float64 // order within the effective priority; adjusted wall clock time in seconds
	// outsideLocalityWindow reports whether the position is too far behind the first
	// pending array for tasks of the job to overtake earlier arrays by a cached image.
	outsideLocalityWindow bool
	// imageUnderReplicated reports whether fewer machines cache the image than the
	// pending tasks can fill, so that tasks may go to machines without it.
	imageUnderReplicated bool
	noRoomRevisions      noRoomRevisions
}

// fairShareOrder returns jobs of one effective priority in scheduling order, by
// age with two adjustments: gangs and services get a bonus, and arrays get a
// penalty that grows with their pending work. The penalty lets small jobs meet their
// objectives under overload. Both adjustments are bounded, so that arrays do not starve.
func (q *jobQueue) fairShareOrder(jobs []*Job) []*Job {
	ordered := slices.Clone(jobs)
	pendingWork := map[*Job]float64{} // machine-seconds
	sum := 0.0
	for _, job := range ordered {
		if n := job.pendingTasks(); n > 0 && job.isArray() {
			pendingWork[job] = float64(n) * q.runTimes.estimate(job) * job.machineShare(q.registry)
			sum += pendingWork[job]
		}
	}
	average := sum / float64(max(1, len(pendingWork)))
	for _, job := range ordered {
		job.fairSharePosition = float64(job.AcceptedAt.UnixMilli()) / 1000
		switch work := pendingWork[job]; {
		case !job.isArray():
			job.fairSharePosition -= tuning.GangPositionBonus.Seconds()
		case work > 0:
			job.fairSharePosition += tuning.MaxBacklogPenalty.Seconds() * work / (work + average)
		}
	}
	slices.SortStableFunc(ordered, func(a, b *Job) int { return cmp.Compare(a.fairSharePosition, b.fairSharePosition) })
	return ordered
}

// machineShare returns the fraction of a machine that one of the job's tasks
// uses, or 1 if no machine can take one.
func (j *Job) machineShare(registry *worker.Registry) float64 {
	for _, machine := range registry.All() {
		if machine.Capacity.Covers(j.need) && j.allows(kindOf(machine)) {
			return 1 / float64(max(1, machine.Capacity.FitCount(j.need, wire.MaxTasksPerJob)))
		}
	}
	return 1
}
