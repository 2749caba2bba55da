package placement

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
)

// Offer describes a machine type in a zone, spot or on demand, and the number of such machines that
// may be requested now.
type Offer struct {
	Type, Zone  string
	Spot        bool
	Capacity    quota.Resources
	Price       float64
	BootSeconds float64
	Available   int // machines that may still be requested
}

func (o *Offer) kind() machineKind {
	return machineKind{machineType: o.Type, zone: o.Zone, spot: o.Spot}
}

// PlanningHorizon returns the time in seconds within which the pending work of a
// class's arrays has to fit on the provisioned machines. It is a share of the
// class's strictest completion objective, or of a default if the class has none.
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

// ProvisioningDemand returns the number of machines to provision for each offer.
// It bin-packs all pending work onto the existing machines and those being
// provisioned, of which provisioning holds the count for each offer, and opens new
// machines for the rest. It marks the existing machines that the packing uses as
// needed. It also runs or reverts consolidation.
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

// demandPlanner computes the demand for machines.
type demandPlanner struct {
	*sharedState
	capacity *capacityIndex
	jobs     *jobTable
	queue    *jobQueue
	runTimes *runTimeEstimator
}

func (p *demandPlanner) newPlan(now time.Time, offers []Offer) *demandPlan {
	return &demandPlan{
		demandPlanner: p,
		now:           now,
		offers:        offers,
		toProvision:   make([]int, len(offers)),
		admitted:      map[string]quota.Resources{},
	}
}

// demandPlan holds one bin packing of the pending work onto existing machines and
// machines to be provisioned.
type demandPlan struct {
	*demandPlanner
	now         time.Time
	offers      []Offer
	toProvision []int // machines, by offer
	bins        []*bin
	admitted    map[string]quota.Resources // resources packed so far, by team
}

// admit reports whether the limit of the job's team admits the resources in addition
// to those packed so far, and adds them if so. Work over the limit cannot start and
// must not cause machines to be provisioned.
func (p *demandPlan) admit(job *Job, resources quota.Resources) bool {
	total := p.admitted[job.Spec.Team].Add(resources)
	if !p.ledger.AdmitsReservation(job.Spec.Team, total) {
		return false
	}
	p.admitted[job.Spec.Team] = total
	return true
}

// openBin adds the machine that the job prefers to the machines to provision and
// returns its bin. A zone other than "" restricts the offers. It returns nil if no
// offer can run a task of the job.
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

// hasOfferInZone reports whether an offer in the zone can run a task of the job.
func (p *demandPlan) hasOfferInZone(job *Job, zone string) bool {
	for i := range p.offers {
		offer := &p.offers[i]
		if offer.Zone == zone && offer.Available > 0 && job.accepts(offer) {
			return true
		}
	}
	return false
}

// accepts reports whether the job's constraints allow an offer and one task of the
// job fits its capacity.
func (j *Job) accepts(offer *Offer) bool {
	return j.allows(offer.kind()) && offer.Capacity.Covers(j.need)
}

// prefers reports whether the job ranks offer before other: services rank
// on-demand before spot, then the lower price per task wins.
func (j *Job) prefers(offer, other *Offer) bool {
	if j.IsService() && offer.Spot != other.Spot {
		return other.Spot
	}
	return offer.pricePerTask(j) < other.pricePerTask(j)
}

func (o *Offer) pricePerTask(job *Job) float64 {
	return o.Price / float64(o.Capacity.FitCount(job.need, maxTasksPerMachine))
}
