package placement

import (
	"slices"

	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// candidate is a machine that can take a task of an array. Lower ranks are preferred.
type candidate struct {
	info *machineInfo
	rank int
}

// updateCandidates updates ranks and removes full machines after a task was
// queued at the candidate with index chosen.
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

// rankFor returns the rank of a machine for a task of the job. It prefers spot
// machines for jobs that may use them, then machines that cache the image or
// will pull it, then fuller machines, so that the others become idle and can be
// terminated.
func (info *machineInfo) rankFor(job *Job) int {
	const (
		noImage  = 2 * tuning.FreeShareLevels // outweighs any free level
		onDemand = 4 * tuning.FreeShareLevels // outweighs a missing image and any free level
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

// freeLevel quantizes the free share of a machine to tuning.FreeShareLevels levels; 0 is a full machine.
func freeLevel(machine *worker.Machine) int {
	return int(tuning.FreeShareLevels * machine.AvailableToPrimary().DominantShare(machine.Capacity))
}

// hasImage reports whether the machine caches an image, or will pull it for a
// task that is assigned to it or whose primary is queued there.
func (info *machineInfo) hasImage(image string) bool {
	if _, ok := info.machine.Images[image]; ok {
		return true
	}
	return info.workload.byImage[image] > 0
}

// pickLowestRank returns the index of a random candidate among those of the
// lowest rank, or -1 if there are no candidates.
func (s *sharedState) pickLowestRank(candidates []candidate) int {
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
	remaining := s.rng.IntN(ties)
	return slices.IndexFunc(candidates, func(c candidate) bool {
		if c.rank == lowest {
			remaining--
		}
		return remaining < 0
	})
}
