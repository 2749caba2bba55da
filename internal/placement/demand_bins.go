package placement

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// bin is a machine in the packing of the demand.
type bin struct {
	machine  *worker.Machine // nil if it has still to be provisioned
	kind     machineKind
	capacity quota.Resources
	free     quota.Resources // now; taken by gangs and services

	committed float64 // machine-seconds that what runs there will still take
	planned   float64 // machine-seconds given to arrays' pending tasks
}

// newBin returns a machine to be provisioned.
func newBin(offer *Offer) *bin {
	return &bin{kind: offer.kind(), capacity: offer.Capacity, free: offer.Capacity}
}

// markNeeded marks the machine, if it is there, as one that pending work will use.
func (b *bin) markNeeded() {
	if b.machine != nil {
		b.machine.Needed = true
	}
}

// inUse reports whether tasks are on the machine.
func (b *bin) inUse() bool { return b.machine != nil && b.machine.ActiveCopies > 0 }

// suits reports whether a job's constraints and past failures admit the machine.
func (b *bin) suits(job *Job) bool {
	return job.allows(b.kind) && (b.machine == nil || !job.avoids(b.machine))
}

// addMachineBins adds the machines that may take work.
func (p *demandPlan) addMachineBins() {
	lease := config.Seconds(p.platform.Workers.LeaseS)
	for _, machine := range p.registry.All() {
		machine.Needed = machine.ActiveCopies > 0
		if !mayTakeWork(p.now, machine, lease) {
			continue
		}
		b := &bin{
			machine:   machine,
			kind:      kindOf(machine),
			capacity:  machine.Capacity,
			free:      machine.AvailableToPrimary(),
			committed: p.committedWork(p.now, machine),
		}
		if machine.State == worker.Unresponsive {
			// It takes nothing now, but is not replaced while its lease may
			// last: after this controller was cut off, all are unresponsive
			// for a while.
			b.free = quota.Resources{}
		}
		p.bins = append(p.bins, b)
	}
}

// mayTakeWork reports whether a machine takes work, or will soon.
func mayTakeWork(now time.Time, machine *worker.Machine, lease time.Duration) bool {
	if machine.Quarantined || machine.Cordoned || !machine.PreemptionTime.IsZero() || machine.Unreachable(now, lease) {
		return false
	}
	return machine.State == worker.Up || machine.State == worker.Booting || machine.State == worker.Unresponsive
}

// addProvisioningBins adds the machines that are being provisioned.
func (p *demandPlan) addProvisioningBins(provisioning []int) {
	for i := range p.offers {
		for range provisioning[i] {
			p.bins = append(p.bins, newBin(&p.offers[i]))
		}
	}
}

// committedWork estimates how many machine-seconds the tasks on a machine will still take.
func (p *demandPlanner) committedWork(now time.Time, machine *worker.Machine) float64 {
	sum := 0.0
	for _, task := range p.capacity.info(machine).assigned {
		remaining := p.runTimes.estimate(task.Job) - now.Sub(task.dispatchedAt).Seconds()
		share := task.Job.need.DominantShare(machine.Capacity)
		sum += max(remaining, tuning.MinRunTime.Seconds()) * share
	}
	return sum
}
