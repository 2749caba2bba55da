package placement

import (
	"slices"

	"juniperchute/internal/quota"
)

// packGangsAndServices packs the gangs and the services.
func (p *demandPlan) packGangsAndServices() {
	// Bins that have no room for any task of these are passed over: thousands of gangs
	// may wait.
	smallestNeed := quota.UnlimitedResources()
	for _, job := range p.scheduler.openJobs {
		if job.IsGang() || job.IsService() {
			smallestNeed = smallestNeed.Min(job.need)
		}
	}
	remaining := slices.Clone(p.bins)
	for _, job := range p.scheduler.openJobs {
		n := p.tasksToPlace(job)
		if n == 0 {
			continue
		}
		remaining = slices.DeleteFunc(remaining, func(b *bin) bool { return !b.free.Fits(smallestNeed) })
		remaining = p.packJob(job, n, remaining)
	}
}

// tasksToPlace is how many tasks of a gang or a service need places.
func (p *demandPlan) tasksToPlace(job *Job) int {
	if p.now.Before(job.notBefore) || job.IsGang() && len(job.tasks) > 0 || !job.IsGang() && !job.IsService() {
		return 0
	}
	n := job.pendingTasks()
	if n > 0 && !p.admit(job, job.need.Times(float64(n))) {
		n = 0
	}
	return n + job.replacementsNeeded()
}

// packJob packs a job whose tasks are placed whole, and rents for those that fit nowhere.
// A job that has to be in one zone is packed into the zone that lacks the fewest; zones
// that would get too many tasks are passed over.
func (p *demandPlan) packJob(job *Job, n int, bins []*bin) []*bin {
	packing := &jobPacking{plan: p, job: job, tasks: n, bins: bins}
	zone := ""
	if job.Spec.SameZone {
		fewestMissing := n + 1
		for _, candidateZone := range p.scheduler.platform.Zones {
			if job.Spec.Zone != "" && job.Spec.Zone != candidateZone || !job.zoneAllowed(candidateZone, job.stayingZones()) {
				continue
			}
			// a zone that lacks room is of use only if more can be had there
			if missing := packing.pack(candidateZone, tryOnly); missing < fewestMissing && (missing == 0 || p.hasOfferInZone(job, candidateZone)) {
				zone, fewestMissing = candidateZone, missing
			}
		}
	}
	packing.pack(zone, commit)
	return packing.bins
}

// hasOfferInZone tells whether machines for a job's tasks can be rented in a zone.
func (p *demandPlan) hasOfferInZone(job *Job, zone string) bool {
	return slices.ContainsFunc(p.offers, func(offer Offer) bool {
		return offer.Zone == zone && offer.Available > 0 && job.allows(offer.Type, offer.Zone, offer.Spot) && offer.Capacity.Fits(job.need)
	})
}

// jobPacking is the packing of one gang or service.
type jobPacking struct {
	plan  *demandPlan
	job   *Job
	tasks int    // tasks
	bins  []*bin // that may have room
}

// packMode tells whether a packing is to be kept.
type packMode int

const (
	tryOnly packMode = iota
	commit           // machines are rented and marked as wanted
)

// pack finds a place for each task, in one zone if one is named, and tells how many find
// none.
func (p *jobPacking) pack(zone string, mode packMode) (missing int) {
	inZone := p.job.stayingZones()
	freeByBin := map[*bin]quota.Resources{}
	for range p.tasks {
		best := p.findBin(zone, inZone, freeByBin)
		if best == nil && mode == commit {
			best = p.provisionBin(zone, inZone)
		}
		if best == nil {
			missing++
			continue
		}
		inZone[best.zone]++
		if _, ok := freeByBin[best]; !ok {
			freeByBin[best] = best.free
		}
		freeByBin[best] = freeByBin[best].Sub(p.job.need)
	}
	if mode == commit {
		for b, free := range freeByBin {
			b.free = free
			b.markWanted()
		}
	}
	return missing
}

// findBin finds the best machine with room for one more task; room is what earlier tasks
// leave.
func (p *jobPacking) findBin(zone string, inZone map[string]int, freeByBin map[*bin]quota.Resources) *bin {
	job := p.job
	var best *bin
	for _, b := range p.bins {
		if !b.free.Fits(job.need) {
			continue
		}
		free, ok := freeByBin[b]
		if !ok {
			free = b.free
		}
		if free.Fits(job.need) && job.allows(b.machineType, b.zone, b.spot) && (zone == "" || b.zone == zone) && job.zoneAllowed(b.zone, inZone) &&
			(b.machine == nil || !job.avoids(b.machine)) && (best == nil || preferBin(b, best, job.IsService())) {
			best = b
		}
	}
	return best
}

// provisionBin opens a machine for one more task.
func (p *jobPacking) provisionBin(zone string, inZone map[string]int) *bin {
	for _, candidateZone := range p.plan.scheduler.platform.Zones {
		if zone == "" && p.job.zoneConstrained() && p.job.zoneAllowed(candidateZone, inZone) {
			zone = candidateZone
		}
	}
	b := p.plan.openBin(p.job, zone)
	if b != nil {
		p.bins = append(p.bins, b)
		p.plan.bins = append(p.plan.bins, b)
	}
	return b
}

// preferBin prefers the bin of the cheaper kind, for services of the one that is not taken
// back, then one already in use.
func preferBin(a, b *bin, service bool) bool {
	if a.spot != b.spot {
		return a.spot != service
	}
	aInUse, bInUse := a.machine != nil && a.machine.ActiveCopies > 0, b.machine != nil && b.machine.ActiveCopies > 0
	return aInUse && !bInUse
}
