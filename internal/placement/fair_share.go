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

// priorityTier is the open jobs of a priority, in the order of their turns.
type priorityTier struct {
	jobs             []*Job
	gangsAndServices []*Job // gangs and services, to which other work may give way
}

// invalidateOrder makes the jobs be sorted anew.
func (s *Scheduler) invalidateOrder() {
	s.orderStale = true
	s.capacity.requestFullPass()
}

// priorityTiers lists the open jobs by priority and turn, as of a moment ago.
func (s *Scheduler) priorityTiers(now time.Time) []priorityTier {
	if since := now.Sub(s.sortedAt); since < tuning.FairShareInterval && (!s.orderStale || since < tuning.FairShareMinInterval) {
		return s.tiers
	}
	s.sortedAt, s.orderStale = now, false
	s.tiers = nil
	byPriority := map[int][]*Job{}
	smallestNeed := quota.UnlimitedResources()
	for _, job := range s.openJobs {
		job.effectivePriority = job.priority + s.starvationBoost(now, job)
		byPriority[job.effectivePriority] = append(byPriority[job.effectivePriority], job)
		if !job.IsGang() && !job.IsService() {
			smallestNeed = smallestNeed.Min(job.need)
		}
	}
	s.setSmallestNeed(now, smallestNeed)
	images := s.machinesByImage()
	for _, priority := range slices.Backward(slices.Sorted(maps.Keys(byPriority))) {
		jobs := s.fairShareOrder(byPriority[priority])
		gangsAndServices := slices.DeleteFunc(slices.Clone(jobs), func(job *Job) bool { return !job.IsGang() && !job.IsService() })
		s.tiers = append(s.tiers, priorityTier{jobs, gangsAndServices})
		earliest, waiting := math.Inf(1), 0
		for _, job := range jobs {
			if job.pendingTasks() > 0 && !job.IsGang() && !job.IsService() {
				if waiting++; waiting <= tuning.StartMarkersAhead && s.safeToStart(job) {
					s.ensureStartMarker(now, job) // so that a free place need not wait for the mark
				}
				earliest = min(earliest, job.fairSharePosition)
				job.pastImagePatience = job.fairSharePosition > earliest+tuning.ImageLocalityPatience.Seconds()
				job.needsMoreImages = float64(images[job.Spec.Image]) < float64(job.pendingTasks())*job.machineShare(s.registry)
			}
		}
	}
	return s.tiers
}

// machinesByImage tells on how many machines each image is.
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

// starvationBoost is by how many priorities a job is raised because it has waited for so long
// that it would starve: no burst of others, however long, may keep it from
// beginning. One of which nothing has started goes first until something has;
// one whose tasks have waited longer still goes up priority by priority, and stays there.
func (s *Scheduler) starvationBoost(now time.Time, job *Job) int {
	if job.IsService() {
		return 0 // it never ends: its age says nothing of what it waits for
	}
	if job.starving(now) && job.assigned == 0 {
		return wire.Priorities
	}
	boost := min(job.effectivePriority-job.priority, wire.Priorities-1)
	if overdue := now.Sub(job.KnownSince) - tuning.StarvationTimeout; overdue >= 0 && (job.pendingTasks() > 0 || len(job.tasks) > job.assigned) {
		boost = max(boost, 1+min(int(overdue/tuning.StarvationStep), wire.Priorities-2))
	} else if boost == wire.Priorities-1 {
		boost = 0 // it has begun
	}
	return boost
}

// starving tells whether nothing of a job has come to an end although it has
// waited for long: what it has begun is left alone.
func (j *Job) starving(now time.Time) bool {
	return !j.IsService() && j.completed.count == 0 && now.Sub(j.KnownSince) > tuning.FirstStartDeadline
}

// fairShareOrder orders jobs of one priority by age. Gangs go a while before arrays, and
// arrays with more work waiting a while after ones with less, so that when there
// is too much the many small jobs are in time and not only the oldest. Both are
// bounded, so that neither arrays nor the largest of them starve.
func (s *Scheduler) fairShareOrder(jobs []*Job) []*Job {
	ordered := slices.Clone(jobs)
	waitingWork := map[*Job]float64{}
	sum := 0.0
	for _, job := range ordered {
		if n := job.pendingTasks(); n > 0 && !job.IsGang() && !job.IsService() {
			waitingWork[job] = float64(n) * s.EstimateRunTime(job) * job.machineShare(s.registry)
			sum += waitingWork[job]
		}
	}
	average := sum / float64(max(1, len(waitingWork)))
	for _, job := range ordered {
		job.fairSharePosition = float64(job.AcceptedAt.UnixMilli()) / 1000
		switch work := waitingWork[job]; {
		case job.IsGang() || job.IsService():
			job.fairSharePosition -= tuning.GangHeadStart.Seconds()
		case work > 0:
			job.fairSharePosition += tuning.MaxBacklogPenalty.Seconds() * work / (work + average)
		}
	}
	slices.SortStableFunc(ordered, func(a, b *Job) int { return cmp.Compare(a.fairSharePosition, b.fairSharePosition) })
	return ordered
}

// machineShare is the part of a machine that one of the job's tasks takes, 1 if there
// is no machine to tell.
func (j *Job) machineShare(registry *worker.Registry) float64 {
	for _, machine := range registry.All() {
		if machine.Capacity.Fits(j.need) && j.allows(machine.Type, machine.Zone, machine.Spot) {
			return 1 / float64(max(1, machine.Capacity.FitCount(j.need, wire.MaxTasksPerJob)))
		}
	}
	return 1
}
