package placement

import (
	"slices"

	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// candidate is a machine with room for an array's task, and its rank; the lowest is best.
type candidate struct {
	info *machineInfo
	rank int
}

// updateCandidates brings the candidates up to date after a task was queued at one of them.
func (p *arrayPlacement) updateCandidates(chosen int) {
	info := p.candidates[chosen].info
	switch {
	case p.tasksByZone != nil:
		p.tasksByZone[info.machine.Zone]++
		p.candidates = slices.DeleteFunc(p.candidates, func(c candidate) bool { return !p.fits(c.info) })
		for i := range p.candidates {
			p.candidates[i].rank = p.candidates[i].info.rankFor(p.job)
		}
	case p.fits(info):
		p.candidates[chosen].rank = info.rankFor(p.job)
	default:
		p.candidates = slices.Delete(p.candidates, chosen, chosen+1)
	}
}

// rankFor ranks machines that fit an array's task: spot machines first for jobs that may
// use them, then machines that have the image or are about to, then the fuller
// ones, in steps, so that others become empty and can be terminated.
func (info *machineInfo) rankFor(job *Job) int {
	const (
		noImage  = 2 * tuning.FillLevels // more than any fill
		onDemand = 4 * tuning.FillLevels
	)
	rank := freeLevel(info.machine)
	if job.Spec.Spot && !info.machine.Spot {
		rank += onDemand
	}
	if !info.hasImage(job.Spec.Image) {
		rank += noImage
	}
	return rank
}

// freeLevel returns in which of tuning.FillLevels steps the free part of a machine is; 0 is full.
func freeLevel(machine *worker.Machine) int {
	return int(tuning.FillLevels * machine.AvailableToPrimary().DominantShare(machine.Capacity))
}

// hasImage reports whether the machine has an image, or a task there will have it fetched.
func (info *machineInfo) hasImage(image string) bool {
	if _, ok := info.machine.Images[image]; ok {
		return true
	}
	usesImage := func(task *Task) bool { return task.Job.Spec.Image == image }
	return slices.ContainsFunc(info.assigned, usesImage) || slices.ContainsFunc(info.primaryQueue, usesImage)
}

// pickLowestRank returns the index of a random one among the candidates of the
// lowest rank, -1 if there are no candidates.
func (a *arrayScheduler) pickLowestRank(candidates []candidate) int {
	lowest, ties := 0, 0
	for i := range candidates {
		switch rank := candidates[i].rank; {
		case ties == 0 || rank < lowest:
			lowest, ties = rank, 1
		case rank == lowest:
			ties++
		}
	}
	if ties == 0 {
		return -1
	}
	remaining := a.rng.IntN(ties)
	return slices.IndexFunc(candidates, func(c candidate) bool {
		if c.rank == lowest {
			remaining--
		}
		return remaining < 0
	})
}
