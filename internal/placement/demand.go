package placement

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
)

// Offer is a kind of machine that can be provisioned now.
type Offer struct {
	Type, Zone  string
	Spot        bool
	Capacity    quota.Resources
	Price       float64
	BootSeconds float64
	Available   int // how many more may be requested
}

func (o *Offer) kind() machineKind {
	return machineKind{machineType: o.Type, zone: o.Zone, spot: o.Spot}
}

// PlanningHorizon returns for how many seconds, all in all, an array's tasks
// may wait and run so that the objectives of its class hold.
func PlanningHorizon(objectives []config.Objective, class string) float64 {
	horizon := 0.0
	for _, objective := range objectives {
		if objective.Kind != objectiveFinished || objective.Class != class {
			continue
		}
		if horizon == 0 || objective.WithinS < horizon {
			horizon = objective.WithinS
		}
	}
	if horizon == 0 {
		horizon = tuning.DefaultObjective.Seconds()
	}
	return horizon * tuning.BacklogObjectiveShare
}

// ProvisioningDemand packs all pending work onto the machines there are and
// returns how many more of each offer are needed for the rest; provisioning is
// how many of each are being provisioned already. Machines that the packing
// uses are marked as needed.
func (s *Scheduler) ProvisioningDemand(now time.Time, offers []Offer, provisioning []int) []int {
	if s.queue.startableTasksPending(now) {
		s.consolidator.uncordonAll()
	} else {
		s.consolidator.consolidate(now)
	}
	plan := s.planner.newPlan(now, offers)
	plan.addMachineBins()
	plan.addProvisioningBins(provisioning)
	plan.packGangsAndServices()
	plan.reserveForServices()
	plan.packArrays()
	return plan.toProvision
}

// demandPlanner works out which machines are needed.
type demandPlanner struct {
	*sharedState
	capacity *capacityIndex
	jobs     *jobTable
	queue    *jobQueue
	runTimes *runTimeEstimator
}

// newPlan returns a plan with nothing packed.
func (p *demandPlanner) newPlan(now time.Time, offers []Offer) *demandPlan {
	return &demandPlan{
		demandPlanner: p,
		now:           now,
		offers:        offers,
		toProvision:   make([]int, len(offers)),
		admitted:      map[string]quota.Resources{},
	}
}

// demandPlan packs all pending work onto the machines there are and ones to be
// provisioned.
type demandPlan struct {
	*demandPlanner
	now         time.Time
	offers      []Offer
	toProvision []int // of each offer
	bins        []*bin
	admitted    map[string]quota.Resources // what was packed, by team
}

// admit reports whether a team's limit allows more to start beside what was
// packed, and counts it if so. What is not admitted needs no machine.
func (p *demandPlan) admit(job *Job, resources quota.Resources) bool {
	total := p.admitted[job.Spec.Team].Add(resources)
	if !p.ledger.AdmitsReservation(job.Spec.Team, total) {
		return false
	}
	p.admitted[job.Spec.Team] = total
	return true
}

// openBin provisions the cheapest machine that would do for a job's tasks, in
// one zone unless that is ""; for services one that is not spot, if there is
// one. It returns nil if none can be had.
func (p *demandPlan) openBin(job *Job, zone string) *bin {
	best := -1
	for i := range p.offers {
		offer := &p.offers[i]
		if offer.Available-p.toProvision[i] <= 0 || zone != "" && offer.Zone != zone || !job.accepts(offer) {
			continue
		}
		if best < 0 || job.prefers(offer, &p.offers[best]) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	p.toProvision[best]++
	return newBin(&p.offers[best])
}

// hasOfferInZone reports whether a machine for a job's tasks can be provisioned in a zone.
func (p *demandPlan) hasOfferInZone(job *Job, zone string) bool {
	for i := range p.offers {
		offer := &p.offers[i]
		if offer.Zone == zone && offer.Available > 0 && job.accepts(offer) {
			return true
		}
	}
	return false
}

// accepts reports whether a task of the job could run on an offered machine.
func (j *Job) accepts(offer *Offer) bool {
	return j.allows(offer.kind()) && offer.Capacity.Fits(j.need)
}

// prefers reports whether one offer is better for the job than another: not
// spot for a service, then the cheaper for each task.
func (j *Job) prefers(offer, other *Offer) bool {
	if j.IsService() && offer.Spot != other.Spot {
		return other.Spot
	}
	return offer.pricePerTask(j) < other.pricePerTask(j)
}

func (o *Offer) pricePerTask(job *Job) float64 {
	return o.Price / float64(o.Capacity.FitCount(job.need, maxTasksPerMachine))
}
