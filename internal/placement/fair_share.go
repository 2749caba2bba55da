package placement

import (
	"cmp"
	"slices"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// queuePosition is a job's place among the open jobs.
type queuePosition struct {
	effectivePriority int     // the priority, raised for age
	fairSharePosition float64 // within the priority; a wall clock time in seconds
	// outsideLocalityWindow: its position is too late for its tasks to be placed
	// first where their image is cached.
	outsideLocalityWindow bool
	// imageUnderReplicated: its image is cached on fewer machines than its tasks
	// could fill, so they go to others too.
	imageUnderReplicated bool
	noRoomRevisions      noRoomRevisions
}

// fairShareOrder orders jobs of one priority by age. Gangs go a while before
// arrays, and arrays with more pending work a while after those with less: in
// overload many small jobs meet their objectives then, and not only the oldest.
// Both shifts are bounded, so that neither arrays nor the largest of them starve.
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
			job.fairSharePosition -= tuning.GangHeadStart.Seconds()
		case work > 0:
			job.fairSharePosition += tuning.MaxBacklogPenalty.Seconds() * work / (work + average)
		}
	}
	slices.SortStableFunc(ordered, func(a, b *Job) int { return cmp.Compare(a.fairSharePosition, b.fairSharePosition) })
	return ordered
}

// machineShare returns the part of a machine that one of the job's tasks
// takes, 1 if no machine suits it.
func (j *Job) machineShare(registry *worker.Registry) float64 {
	for _, machine := range registry.All() {
		if machine.Capacity.Fits(j.need) && j.allows(kindOf(machine)) {
			return 1 / float64(max(1, machine.Capacity.FitCount(j.need, wire.MaxTasksPerJob)))
		}
	}
	return 1
}
