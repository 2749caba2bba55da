package placement

import (
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// reserveForServices keeps machines for services: what the next service, or the replicas of a machine
// that is lost, will need, is there before they do.
func (p *demandPlan) reserveForServices() {
	job := p.largestService()
	if job == nil {
		p.reserveForUnseenClasses()
		return
	}
	missing, machines := job.Spec.Tasks, 0
	// machines that are in use anyway come first: an idle one costs as much
	for _, busy := range []bool{true, false} {
		for _, b := range p.bins {
			if (b.machine != nil && b.machine.ActiveCopies > 0) != busy || missing <= 0 && machines >= tuning.ReserveMachines {
				continue
			}
			if n := p.replicaSlots(job, b); n > 0 {
				missing -= n
				machines++
				b.markWanted()
			}
		}
	}
	for missing > 0 || machines < tuning.ReserveMachines {
		b := p.openBin(job, "")
		if b == nil || b.spot {
			return
		}
		missing -= b.capacity.FitCount(job.need, job.Spec.Tasks)
		machines++
	}
}

// largestService is the open service whose replicas take most of a machine, nil if there
// is no service.
func (p *demandPlan) largestService() *Job {
	size := func(job *Job) float64 {
		return job.need.Times(float64(job.Spec.Tasks)).DominantShare(p.typicalMachine())
	}
	var largest *Job
	for _, job := range p.scheduler.openJobs {
		if job.IsService() && (largest == nil || size(job) > size(largest)) {
			largest = job
		}
	}
	return largest
}

// replicaSlots is how many replicas of a service a machine could take, lower work giving
// way.
func (p *demandPlan) replicaSlots(job *Job, b *bin) int {
	if b.spot || !job.allows(b.machineType, b.zone, b.spot) {
		return 0
	}
	free := b.capacity
	if b.machine != nil {
		if b.machine.State == worker.Unresponsive || job.avoids(b.machine) {
			return 0
		}
		for _, task := range p.scheduler.machineInfo(b.machine).assigned {
			if task.Job.priority >= job.priority {
				free = free.Sub(task.Job.need) // the rest would give way
			}
		}
	}
	return free.FitCount(job.need, job.Spec.Tasks)
}

// typicalMachine is the room of the first machine type on offer, to compare needs by.
func (p *demandPlan) typicalMachine() quota.Resources {
	if len(p.offers) == 0 {
		return quota.Resources{}
	}
	return p.offers[0].Capacity
}

// reserveForUnseenClasses keeps one machine that is not spot for a class that is expected to start
// in far less time than a machine takes to boot, and of which no job has come yet.
func (p *demandPlan) reserveForUnseenClasses() {
	boot := 0.0
	for _, o := range p.offers {
		if boot == 0 || o.BootSeconds < boot {
			boot = o.BootSeconds
		}
	}
	for _, o := range p.scheduler.platform.Objectives {
		if o.Kind != "wait" || o.WithinS <= 0 || o.WithinS*tuning.WarmPoolBootFactor > boot || p.scheduler.seenClasses[o.Class] {
			continue
		}
		for _, b := range p.bins {
			if !b.spot {
				b.markWanted()
				return
			}
		}
		p.openBin(&Job{Spec: wire.JobSpec{AnyType: true}}, "")
		return
	}
}
