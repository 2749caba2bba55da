package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// queuePosition is a job's place among the open jobs.
type queuePosition struct {
	effectivePriority int     // the priority, raised for age
	fairSharePosition float64 // within the priority; a wall clock time in seconds
	// pastImagePatience: its position is too late for its tasks to be placed
	// first where their image is cached.
	pastImagePatience bool
	// needsMoreImages: its image is cached on fewer machines than its tasks
	// could fill, so they go to others too.
	needsMoreImages bool
	noRoomRevisions noRoomRevisions
}

// priorityTier is the open jobs of one effective priority in fair-share order.
type priorityTier struct {
	jobs             []*Job
	gangsAndServices []*Job // those of them for which other work may be preempted
}

// invalidateOrder has the jobs sorted anew.
func (s *Scheduler) invalidateOrder() {
	s.orderStale = true
	s.pass.requestFull()
}

// sortIfDue sorts the open jobs by priority and fair-share order, unless that
// was done a moment ago, and reports whether it has.
func (s *Scheduler) sortIfDue(now time.Time) bool {
	sinceSort := now.Sub(s.sortedAt)
	if sinceSort < tuning.FairShareInterval && (!s.orderStale || sinceSort < tuning.FairShareMinInterval) {
		return false
	}
	s.sortedAt, s.orderStale = now, false
	byPriority := s.jobsByPriority(now)
	s.tiers = nil
	for _, priority := range slices.Backward(slices.Sorted(maps.Keys(byPriority))) {
		jobs := s.fairShareOrder(byPriority[priority])
		gangsAndServices := slices.DeleteFunc(slices.Clone(jobs), (*Job).isArray)
		s.tiers = append(s.tiers, priorityTier{jobs, gangsAndServices})
	}
	return true
}

// jobsByPriority works out the jobs' effective priorities and groups them by these.
func (s *Scheduler) jobsByPriority(now time.Time) map[int][]*Job {
	byPriority := map[int][]*Job{}
	for _, job := range s.openJobs {
		job.effectivePriority = job.priority + job.starvationBoost(now)
		byPriority[job.effectivePriority] = append(byPriority[job.effectivePriority], job)
	}
	return byPriority
}

// smallestArrayNeed returns the least that any open array's task needs of each resource.
func (s *Scheduler) smallestArrayNeed() quota.Resources {
	smallest := quota.UnlimitedResources()
	for _, job := range s.openJobs {
		if job.isArray() {
			smallest = smallest.Min(job.need)
		}
	}
	return smallest
}

// prepareArrays decides for the pending arrays of a tier how much their images
// count, and requests start markers for the first of them, so that a free place
// need not wait for the marker.
func (s *Scheduler) prepareArrays(now time.Time, jobs []*Job, machinesByImage map[string]int) {
	earliest, pending := math.Inf(1), 0
	for _, job := range jobs {
		if job.pendingTasks() == 0 || !job.isArray() {
			continue
		}
		if pending++; pending <= tuning.StartMarkersAhead && s.safeToStart(job) {
			s.ensureStartMarker(now, job)
		}
		earliest = min(earliest, job.fairSharePosition)
		job.pastImagePatience = job.fairSharePosition > earliest+tuning.ImageLocalityPatience.Seconds()
		machinesNeeded := float64(job.pendingTasks()) * job.machineShare(s.registry)
		job.needsMoreImages = float64(machinesByImage[job.Spec.Image]) < machinesNeeded
	}
}

// machinesByImage counts the machines that have each image.
func (s *Scheduler) machinesByImage() map[string]int {
	counts := map[string]int{}
	for _, machine := range s.registry.All() {
		if machine.State == worker.Up {
			for image := range machine.Images {
				counts[image]++
			}
		}
	}
	return counts
}

// fairShareOrder orders jobs of one priority by age. Gangs go a while before
// arrays, and arrays with more pending work a while after those with less: in
// overload many small jobs meet their objectives then, and not only the oldest.
// Both shifts are bounded, so that neither arrays nor the largest of them starve.
func (s *Scheduler) fairShareOrder(jobs []*Job) []*Job {
	ordered := slices.Clone(jobs)
	pendingWork := map[*Job]float64{} // machine-seconds
	sum := 0.0
	for _, job := range ordered {
		if n := job.pendingTasks(); n > 0 && job.isArray() {
			pendingWork[job] = float64(n) * s.EstimateRunTime(job) * job.machineShare(s.registry)
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
