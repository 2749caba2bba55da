package fakes

import (
	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// Fits reports whether a gang or service as a whole, or one task of an array, could start now on
// machines for which usable returns true. used is the current usage of the job's team.
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
	slots := map[string]int{} // number of tasks that fit, by zone
	for _, worker := range c.Workers {
		if worker.acceptsTasks() && allowedOn(spec, &worker.Host) && usable(worker) {
			slots[worker.Host.Zone] += worker.Available().FitCount(job.resources(), spec.Tasks)
		}
	}
	return slotsFor(spec, slots) >= needed
}

// exceedsQuota reports whether a team would exceed its limits with that many more tasks of a job.
func exceedsQuota(team *config.Team, used quota.Resources, spec *wire.JobSpec, tasks int) bool {
	return exceeds(used.CPUs+float64(tasks)*spec.Vcpus, team.CPUsMax) ||
		exceeds(used.GPUs+float64(tasks)*spec.Gpus, team.GPUsMax)
}

// slotsFor returns the number of tasks of a job that fit under its zone constraints.
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
