package placement

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// maxTasksPerMachine bounds how many tasks of no size are counted into a machine.
const maxTasksPerMachine = wire.MaxTasksPerJob

// Offer is a kind of machine that can be rented now.
type Offer struct {
	Type, Zone  string
	Spot        bool
	Capacity    quota.Resources
	Price       float64
	BootSeconds float64
	Available   int // how many more may be asked for
}

// bin is a machine, present or to be rented, in the packing of the demand.
type bin struct {
	machine     *worker.Machine
	machineType string
	zone        string
	spot        bool
	capacity    quota.Resources
	free        quota.Resources // now, for gangs

	committed float64 // machine time that what runs there will still take, seconds
	planned   float64 // machine time given to waiting work
}

// markWanted marks a machine that is there as one that waiting work will use.
func (b *bin) markWanted() {
	if b.machine != nil {
		b.machine.Needed = true
	}
}

// PlanningHorizon is how long an array's work may wait and run in all for its class's
// aims to hold.
func PlanningHorizon(objectives []config.Objective, class string) float64 {
	horizon := 0.0
	for _, objective := range objectives {
		if objective.Kind == "finished" && objective.Class == class && (horizon == 0 || objective.WithinS < horizon) {
			horizon = objective.WithinS
		}
	}
	if horizon == 0 {
		horizon = tuning.DefaultObjective.Seconds()
	}
	return horizon * tuning.BacklogObjectiveShare
}

// EstimateRunTime estimates a task's run time in seconds.
func (s *Scheduler) EstimateRunTime(job *Job) float64 {
	estimate := job.Spec.EstimatedRunTimeS
	if ratio, ok := s.runTimeRatio[job.Spec.Class]; ok {
		estimate *= ratio
	}
	return max(estimate, tuning.MinRunTime.Seconds())
}

// demandPlan is one packing of all waiting work onto the machines there are and onto ones to
// be rented.
type demandPlan struct {
	scheduler   *Scheduler
	now         time.Time
	offers      []Offer
	toProvision []int // of each offer
	bins        []*bin
	admitted    map[string]quota.Resources // by team: what the packing has admitted
}

// ProvisioningDemand packs all waiting work onto the machines there are and returns how
// many more of each offer would be needed for the rest. Machines that the
// packing uses are marked as wanted.
func (s *Scheduler) ProvisioningDemand(now time.Time, offers []Offer, provisioning []int) []int {
	if s.arrayTasksPending(now) {
		s.uncordonAll()
	} else {
		s.Consolidate(now)
	}
	p := &demandPlan{scheduler: s, now: now, offers: offers, toProvision: make([]int, len(offers)), admitted: map[string]quota.Resources{}}
	p.addMachineBins()
	for i, offer := range offers {
		for range provisioning[i] {
			p.bins = append(p.bins, newBin(offer))
		}
	}
	p.packGangsAndServices()
	p.reserveForServices()
	p.packArrays()
	return p.toProvision
}

// newBin is a machine to be rented.
func newBin(offer Offer) *bin {
	return &bin{machineType: offer.Type, zone: offer.Zone, spot: offer.Spot, capacity: offer.Capacity, free: offer.Capacity}
}

// addMachineBins lists the machines that may take work.
func (p *demandPlan) addMachineBins() {
	lease := config.Seconds(p.scheduler.platform.Workers.LeaseS)
	for _, machine := range p.scheduler.registry.All() {
		machine.Needed = machine.ActiveCopies > 0
		if machine.Quarantined || machine.Unreachable(p.now, lease) || machine.Cordoned || !machine.PreemptionTime.IsZero() || machine.State != worker.Up && machine.State != worker.Booting && machine.State != worker.Unresponsive {
			continue
		}
		b := &bin{machine: machine, machineType: machine.Type, committed: p.scheduler.committedWork(p.now, machine), zone: machine.Zone, spot: machine.Spot, capacity: machine.Capacity, free: machine.AvailableToPrimary()}
		if machine.State == worker.Unresponsive {
			// takes nothing now, but is not replaced while its lease may stand:
			// after a cut of the holder all of them are silent for a while
			b.free = quota.Resources{}
		}
		p.bins = append(p.bins, b)
	}
}

// openBin rents the cheapest machine that would do for a job's tasks, in a zone if one is
// named; for services one that is not spot, if there is one. nil: none is to be had.
func (p *demandPlan) openBin(job *Job, zone string) *bin {
	best := -1
	for i, offer := range p.offers {
		if offer.Available-p.toProvision[i] <= 0 || zone != "" && offer.Zone != zone || !job.allows(offer.Type, offer.Zone, offer.Spot) || !offer.Capacity.Fits(job.need) {
			continue
		}
		if best < 0 || betterOffer(job, offer, p.offers[best]) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	p.toProvision[best]++
	return newBin(p.offers[best])
}

// betterOffer tells whether one offer is better for a job than another.
func betterOffer(job *Job, offer, other Offer) bool {
	if job.IsService() && offer.Spot != other.Spot {
		return other.Spot
	}
	price := func(offer Offer) float64 {
		return offer.Price / float64(offer.Capacity.FitCount(job.need, maxTasksPerMachine))
	}
	return price(offer) < price(other)
}

// admit tells whether a team's limit lets more start beside what the packing has admitted:
// what it does not needs no machine.
func (p *demandPlan) admit(job *Job, resources quota.Resources) bool {
	sum := p.admitted[job.Spec.Team].Add(resources)
	if !p.scheduler.ledger.AdmitsReservation(job.Spec.Team, sum) {
		return false
	}
	p.admitted[job.Spec.Team] = sum
	return true
}

// committedWork is how much machine time what is on a machine will still take.
func (s *Scheduler) committedWork(now time.Time, machine *worker.Machine) float64 {
	sum := 0.0
	for _, task := range s.machineInfo(machine).assigned {
		remaining := s.EstimateRunTime(task.Job) - now.Sub(task.dispatchedAt).Seconds()
		sum += max(remaining, tuning.MinRunTime.Seconds()) * task.Job.need.DominantShare(machine.Capacity)
	}
	return sum
}
