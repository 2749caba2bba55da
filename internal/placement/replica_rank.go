package placement

import (
	"slices"

	"juniperchute/internal/tuning"
)

// replicaRank ranks the machine, which has room for a replica; the lowest is best: with
// as few replicas of the same service as can be, so that the loss of one
// machine takes few; not spot, if there are others; with the image; with other
// services, so that services keep few machines from being terminated; then the
// fuller ones.
func (info *machineInfo) replicaRank(service *Job) int {
	const (
		step      = 2 * tuning.FillLevels // more than any fill
		noService = 1 * step
		noImage   = 2 * step
		onSpot    = 4 * step
		sibling   = 8 * step // each
	)
	rank := freeLevel(info.machine) + sibling*info.replicasOf(service)
	if !info.hostsService() {
		rank += noService
	}
	if !info.hasImage(service.Spec.Image) {
		rank += noImage
	}
	if info.machine.Spot {
		rank += onSpot
	}
	return rank
}

// replicasOf counts a service's replicas that are on the machine or queued there.
func (info *machineInfo) replicasOf(service *Job) int {
	n := 0
	for _, list := range [][]*Task{info.assigned, info.primaryQueue} {
		for _, task := range list {
			if task.Job == service {
				n++
			}
		}
	}
	return n
}

// hostsService reports whether a replica of any service is on the machine.
func (info *machineInfo) hostsService() bool {
	return slices.ContainsFunc(info.assigned, func(task *Task) bool { return task.Job.IsService() })
}
