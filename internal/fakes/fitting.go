package fakes

import (
	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// Fits reports whether a job, or one task of an array, could start now on machines that
// usable approves of, while its team uses the given resources.
func (c *Cluster) Fits(job *Job, used quota.Resources, usable func(worker *Worker) bool) bool {
	spec := &job.Spec
	needed := 1
	if spec.Shape != wire.ShapeBatch {
		needed = spec.Tasks
	}
	for i := range c.Config.Teams {
		if team := &c.Config.Teams[i]; team.Name == spec.Team && exceedsQuota(team, used, spec, needed) {
			return false
		}
	}
	slots := map[string]int{} // tasks that fit, by zone
	for _, worker := range c.Workers {
		if worker.acceptsTasks() && allowedOn(spec, &worker.Host) && usable(worker) {
			slots[worker.Host.Zone] += worker.Available().FitCount(job.resources(), spec.Tasks)
		}
	}
	return slotsFor(spec, slots) >= needed
}

// exceedsQuota reports whether a team would be above its limits with some more tasks.
func exceedsQuota(team *config.Team, used quota.Resources, spec *wire.JobSpec, tasks int) bool {
	return exceeds(used.CPUs+float64(tasks)*spec.Vcpus, team.CPUsMax) ||
		exceeds(used.GPUs+float64(tasks)*spec.Gpus, team.GPUsMax)
}

// slotsFor is how many tasks of a job fit in all zones together, by its constraints
// on zones.
func slotsFor(spec *wire.JobSpec, slots map[string]int) int {
	total, largest := 0, 0
	for _, n := range slots {
		if spec.SpreadAcrossZones {
			n = min(n, (spec.Tasks+1)/2)
		}
		total, largest = total+n, max(largest, n)
	}
	if spec.SameZone {
		return largest
	}
	return total
}
