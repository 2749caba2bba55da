package placement

import (
	"slices"

	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// replicaRank ranks a machine with room for a replica, the lowest first: with
// as few replicas of the same service as can be, so that the loss of one
// machine takes few; not spot, if there are others; with the image; with other
// services, so that services keep few machines from being terminated; then the
// fuller ones.
func (s *Scheduler) replicaRank(service *Job, machine *worker.Machine) int {
	const (
		step      = 2 * tuning.FillLevels // more than any fill
		noService = 1 * step
		noImage   = 2 * step
		onSpot    = 4 * step
		sibling   = 8 * step // each
	)
	rank := freeLevel(machine) + sibling*s.replicasOn(service, machine)
	if !s.hostsService(machine) {
		rank += noService
	}
	if !s.hasImage(machine, service.Spec.Image) {
		rank += noImage
	}
	if machine.Spot {
		rank += onSpot
	}
	return rank
}

// replicasOn counts a service's replicas that are on a machine or queued there.
func (s *Scheduler) replicasOn(service *Job, machine *worker.Machine) int {
	info := s.machineInfo(machine)
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

// hostsService reports whether a replica of any service is on a machine.
func (s *Scheduler) hostsService(machine *worker.Machine) bool {
	return slices.ContainsFunc(s.machineInfo(machine).assigned, func(task *Task) bool { return task.Job.IsService() })
}
