package placement

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// bin represents an existing or future machine in the bin packing of the demand.
type bin struct {
	machine  *worker.Machine // nil for a machine to be provisioned
	kind     machineKind
	capacity quota.Resources
	free     quota.Resources // after the gangs and services packed so far

	committed float64 // remaining machine-seconds of the assigned tasks
	planned   float64 // machine-seconds of the array tasks packed so far
}

// newBin returns an empty bin for a machine to be provisioned.
func newBin(offer *Offer) *bin {
	return &bin{kind: offer.kind(), capacity: offer.Capacity, free: offer.Capacity}
}

// markNeeded keeps an existing machine from being terminated as idle.
func (b *bin) markNeeded() {
	if b.machine != nil {
		b.machine.InDemand = true
	}
}

// inUse reports whether the bin is an existing machine with assigned tasks.
func (b *bin) inUse() bool { return b.machine != nil && b.machine.AssignedCopies > 0 }

// suits reports whether Job.allowsKind holds for the machine and, if the machine exists,
// the job does not avoid it because of past failures. It does not check resources.
func (b *bin) suits(job *Job) bool {
	return job.allowsKind(b.kind) && (b.machine == nil || !job.avoidsAfterFailures(b.machine))
}

// addMachineBins adds a bin for each existing machine that accepts work. It marks
// every machine with tasks as needed and clears the mark of all others.
func (p *demandPlan) addMachineBins() {
	lease := config.Seconds(p.platform.Workers.LeaseS)
	for _, machine := range p.registry.All() {
		machine.InDemand = machine.AssignedCopies > 0 || orphaned(machine)
		if !acceptsWork(p.now, machine, lease) {
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
			// The bin has no free resources, but stays in the plan so that the
			// machine is not replaced before its lease expires: after a network
			// partition of this controller, all machines are unresponsive.
			b.free = quota.Resources{}
		}
		p.bins = append(p.bins, b)
	}
}

// acceptsWork reports whether a machine runs new tasks now, or is expected to once
// it has booted or responds again.
func acceptsWork(now time.Time, machine *worker.Machine, lease time.Duration) bool {
	if orphaned(machine) {
		return false
	}
	if machine.Quarantined || machine.Cordoned || !machine.PreemptionTime.IsZero() || machine.Unreachable(now, lease) {
		return false
	}
	return machine.State == worker.Up || machine.State == worker.Booting || machine.State == worker.Unresponsive
}

// orphaned reports whether a machine is up that no record names. It gets no work before it is adopted or its
// provisioning request is granted, which may take minutes.
func orphaned(machine *worker.Machine) bool {
	return machine.State == worker.Up && !machine.Recorded && !machine.Registered
}

// addProvisioningBins adds a bin for each machine that is being provisioned.
func (p *demandPlan) addProvisioningBins(provisioning []int) {
	for i := range p.offers {
		for range provisioning[i] {
			p.bins = append(p.bins, newBin(&p.offers[i]))
		}
	}
}

// committedWork estimates the remaining machine-seconds of the tasks assigned to a
// machine. Each task is weighted by its dominant share of the machine.
func (p *demandPlanner) committedWork(now time.Time, machine *worker.Machine) float64 {
	sum := 0.0
	for task := range p.capacity.info(machine).assigned.all() {
		remaining := p.runTimes.estimate(task.Job) - now.Sub(task.dispatchedAt).Seconds()
		share := task.Job.need.DominantShare(machine.Capacity)
		sum += max(remaining, tuning.MinRunTime.Seconds()) * share
	}
	return sum
}
