package placement

import (
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// reserveForServices keeps headroom for the replicas of the largest service on at least
// tuning.ReserveMachines on-demand machines, so that a new service, or replicas of a lost
// machine, need not wait for a machine to boot.
func (p *demandPlan) reserveForServices() {
	service := p.largestService()
	if service == nil {
		p.reserveForUnseenClasses()
		return
	}
	unplaced, machines := service.Spec.Tasks, 0
	// Machines in use come first: reserving on them costs nothing extra.
	for _, inUse := range []bool{true, false} {
		for _, b := range p.bins {
			if b.inUse() != inUse || unplaced <= 0 && machines >= tuning.ReserveMachines {
				continue
			}
			if n := p.replicaSlots(service, b); n > 0 {
				unplaced -= n
				machines++
				b.markNeeded()
			}
		}
	}
	for unplaced > 0 || machines < tuning.ReserveMachines {
		b := p.openBin(service, "")
		if b == nil || b.kind.spot {
			return
		}
		unplaced -= b.capacity.FitCount(service.need, service.Spec.Tasks)
		machines++
	}
}

// largestService returns the open service with the largest total need, as a dominant
// share of the reference capacity. It returns nil if no service is open.
func (p *demandPlan) largestService() *Job {
	reference := p.referenceCapacity()
	size := func(service *Job) float64 { return service.totalNeed().DominantShare(reference) }
	var largest *Job
	for _, job := range p.jobQueue.open {
		if job.IsService() && (largest == nil || size(job) > size(largest)) {
			largest = job
		}
	}
	return largest
}

// referenceCapacity returns the capacity of the first offer, by which the needs of
// services are compared. It returns zero resources if there are no offers.
func (p *demandPlan) referenceCapacity() quota.Resources {
	if len(p.offers) == 0 {
		return quota.Resources{}
	}
	return p.offers[0].Capacity
}

// replicaSlots returns the number of replicas of a service that fit in an on-demand bin
// if all work of lower priority there is preempted. It returns 0 for spot bins.
func (p *demandPlan) replicaSlots(service *Job, b *bin) int {
	if b.kind.spot || !b.suits(service) {
		return 0
	}
	free := b.capacity
	if b.machine != nil {
		if b.machine.State == worker.Unresponsive {
			return 0
		}
		for task := range p.capacity.info(b.machine).assigned.all() {
			if task.Job.priority >= service.priority {
				free = free.Sub(task.Job.need)
			}
		}
	}
	return free.FitCount(service.need, service.Spec.Tasks)
}

// reserveForUnseenClasses keeps one on-demand machine if some class without any job so
// far has a start objective much shorter than the boot time of a machine.
func (p *demandPlan) reserveForUnseenClasses() {
	boot := p.shortestBoot()
	for _, objective := range p.platform.Objectives {
		if objective.Kind != objectiveWait || objective.WithinS <= 0 || p.jobs.seenClasses[objective.Class] {
			continue
		}
		if objective.WithinS*tuning.WarmPoolBootFactor <= boot {
			p.reserveOnDemand()
			return
		}
	}
}

// shortestBoot returns the shortest boot time of the offers in seconds, or 0 if there are
// no offers.
func (p *demandPlan) shortestBoot() float64 {
	boot := 0.0
	for i := range p.offers {
		if boot == 0 || p.offers[i].BootSeconds < boot {
			boot = p.offers[i].BootSeconds
		}
	}
	return boot
}

// reserveOnDemand marks the first on-demand bin as needed, or opens a bin if there is
// none.
func (p *demandPlan) reserveOnDemand() {
	for _, b := range p.bins {
		if !b.kind.spot {
			b.markNeeded()
			return
		}
	}
	p.openBin(&Job{Spec: wire.JobSpec{AnyType: true}}, "")
}
