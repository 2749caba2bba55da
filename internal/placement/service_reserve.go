package placement

import (
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// reserveForServices keeps machines for what the next service, or the replicas
// on a machine that is lost, will need: it is there before they need it.
func (p *demandPlan) reserveForServices() {
	service := p.largestService()
	if service == nil {
		p.reserveForUnseenClasses()
		return
	}
	missing, machines := service.Spec.Tasks, 0 // replicas without a place, machines kept
	// machines that are in use anyway come first: an idle one costs as much
	for _, inUse := range []bool{true, false} {
		for _, b := range p.bins {
			if b.inUse() != inUse || missing <= 0 && machines >= tuning.ReserveMachines {
				continue
			}
			if n := p.replicaSlots(service, b); n > 0 {
				missing -= n
				machines++
				b.markNeeded()
			}
		}
	}
	for missing > 0 || machines < tuning.ReserveMachines {
		b := p.openBin(service, "")
		if b == nil || b.kind.spot {
			return
		}
		missing -= b.capacity.FitCount(service.need, service.Spec.Tasks)
		machines++
	}
}

// largestService returns the open service whose replicas together take most of
// a machine, nil if there is no service.
func (p *demandPlan) largestService() *Job {
	typical := p.typicalCapacity()
	size := func(service *Job) float64 { return service.totalNeed().DominantShare(typical) }
	var largest *Job
	for _, job := range p.queue.open {
		if job.IsService() && (largest == nil || size(job) > size(largest)) {
			largest = job
		}
	}
	return largest
}

// typicalCapacity returns the capacity of the first machine type on offer, by
// which needs are compared.
func (p *demandPlan) typicalCapacity() quota.Resources {
	if len(p.offers) == 0 {
		return quota.Resources{}
	}
	return p.offers[0].Capacity
}

// replicaSlots returns how many replicas of a service a machine could take if
// work of lower priority is preempted.
func (p *demandPlan) replicaSlots(service *Job, b *bin) int {
	if b.kind.spot || !b.suits(service) {
		return 0
	}
	free := b.capacity
	if b.machine != nil {
		if b.machine.State == worker.Unresponsive {
			return 0
		}
		for _, task := range p.capacity.info(b.machine).assigned {
			if task.Job.priority >= service.priority {
				free = free.Sub(task.Job.need)
			}
		}
	}
	return free.FitCount(service.need, service.Spec.Tasks)
}

// reserveForUnseenClasses keeps one machine that is not spot for a class that
// should start in far less time than a machine takes to boot, and of which no
// job has come yet.
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

// shortestBoot returns the shortest boot time on offer, in seconds; 0 if there is no offer.
func (p *demandPlan) shortestBoot() float64 {
	boot := 0.0
	for i := range p.offers {
		if boot == 0 || p.offers[i].BootSeconds < boot {
			boot = p.offers[i].BootSeconds
		}
	}
	return boot
}

// reserveOnDemand keeps one machine of any kind that is not spot.
func (p *demandPlan) reserveOnDemand() {
	for _, b := range p.bins {
		if !b.kind.spot {
			b.markNeeded()
			return
		}
	}
	p.openBin(&Job{Spec: wire.JobSpec{AnyType: true}}, "")
}
