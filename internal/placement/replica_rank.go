package placement

import "juniperchute/internal/tuning"

// replicaRank ranks a machine on which a replica fits; the lowest rank is best. The
// criteria, in descending order of weight:
//   - few replicas of the same service, which limits the effect of losing a machine;
//   - on demand rather than spot;
//   - the image is cached;
//   - replicas of other services are there, so that consolidation can empty more machines;
//   - high allocation.
func (info *machineInfo) replicaRank(service *Job) int {
	const (
		step      = 2 * tuning.FreeShareLevels // exceeds any free level
		noService = 1 * step
		noImage   = 2 * step
		onSpot    = 4 * step
		sibling   = 8 * step // for each replica of the same service
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

// replicasOf returns the number of the service's replicas that are assigned to the machine or queued there.
func (info *machineInfo) replicasOf(service *Job) int { return info.workload.byJob[service] }

// hostsService reports whether a replica of any service is assigned to the machine.
func (info *machineInfo) hostsService() bool { return info.workload.assignedReplicas > 0 }
