package placement

import (
	"slices"

	"juniperchute/internal/quota"
)

// packGangsAndServices packs the gangs and services. Bins that have no room
// for any task of these are passed over: thousands of gangs may be pending.
func (p *demandPlan) packGangsAndServices() {
	smallestNeed := quota.UnlimitedResources()
	for _, job := range p.queue.open {
		if !job.isArray() {
			smallestNeed = smallestNeed.Min(job.need)
		}
	}
	remaining := slices.Clone(p.bins)
	for _, job := range p.queue.open {
		n := p.tasksToPlace(job)
		if n == 0 {
			continue
		}
		remaining = slices.DeleteFunc(remaining, func(b *bin) bool { return !b.free.Fits(smallestNeed) })
		remaining = p.packJob(job, n, remaining)
	}
}

// tasksToPlace returns how many tasks of a gang or service need places.
func (p *demandPlan) tasksToPlace(job *Job) int {
	placed := job.IsGang() && len(job.tasks) > 0
	if job.isArray() || placed || p.now.Before(job.backoffUntil) {
		return 0
	}
	n := job.pendingTasks()
	if n > 0 && !p.admit(job, job.need.Times(float64(n))) {
		n = 0
	}
	return n + job.replacementsNeeded()
}

// packJob packs n tasks of a gang or service, provisions machines for those
// that fit nowhere, and returns the bins with those added.
func (p *demandPlan) packJob(job *Job, n int, bins []*bin) []*bin {
	packing := &jobPacking{plan: p, job: job, tasks: n, bins: bins}
	zone := ""
	if job.Spec.SameZone {
		zone = packing.zoneMissingFewest()
	}
	packing.pack(zone, commit)
	return packing.bins
}

// jobPacking is the packing of one gang or service.
type jobPacking struct {
	plan  *demandPlan
	job   *Job
	tasks int    // to be packed
	bins  []*bin // that may have room
}

// packMode says whether a packing is to be kept.
type packMode int

const (
	tryOnly packMode = iota
	commit           // machines are provisioned and marked as needed
)

// zoneMissingFewest returns the allowed zone in which the fewest tasks of the
// job find no room, "" if there is none. Zones that lack room count only if
// more can be had there.
func (p *jobPacking) zoneMissingFewest() string {
	zone, fewestMissing := "", p.tasks+1
	for _, candidate := range p.plan.platform.Zones {
		if p.job.Spec.Zone != "" && p.job.Spec.Zone != candidate {
			continue
		}
		if !p.job.zoneAllowed(candidate, p.job.stayingTasksByZone()) {
			continue
		}
		missing := p.pack(candidate, tryOnly)
		if missing < fewestMissing && (missing == 0 || p.plan.hasOfferInZone(p.job, candidate)) {
			zone, fewestMissing = candidate, missing
		}
	}
	return zone
}

// pack finds a place for each task, in one zone unless that is "", and returns
// how many find none.
func (p *jobPacking) pack(zone string, mode packMode) (missing int) {
	inZone := p.job.stayingTasksByZone()
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
		inZone[best.kind.zone]++
		freeByBin[best] = freeIn(best, freeByBin).Sub(p.job.need)
	}
	if mode == commit {
		for b, free := range freeByBin {
			b.free = free
			b.markNeeded()
		}
	}
	return missing
}

// freeIn returns what the tasks packed so far leave in a bin.
func freeIn(b *bin, freeByBin map[*bin]quota.Resources) quota.Resources {
	if free, ok := freeByBin[b]; ok {
		return free
	}
	return b.free
}

// findBin finds the best bin with room for one more task beside those packed
// so far. Most bins have none at all: that is asked first.
func (p *jobPacking) findBin(zone string, inZone map[string]int, freeByBin map[*bin]quota.Resources) *bin {
	job := p.job
	var best *bin
	for _, b := range p.bins {
		if !b.free.Fits(job.need) || !freeIn(b, freeByBin).Fits(job.need) {
			continue
		}
		if zone != "" && b.kind.zone != zone || !job.zoneAllowed(b.kind.zone, inZone) || !b.suits(job) {
			continue
		}
		if best == nil || job.prefersBin(b, best) {
			best = b
		}
	}
	return best
}

// provisionBin provisions a machine for one more task. If the zones of the
// job's tasks depend on each other, it is in the first allowed zone.
func (p *jobPacking) provisionBin(zone string, inZone map[string]int) *bin {
	if zone == "" && p.job.zoneConstrained() {
		for _, candidate := range p.plan.platform.Zones {
			if zone == "" && p.job.zoneAllowed(candidate, inZone) {
				zone = candidate
			}
		}
	}
	b := p.plan.openBin(p.job, zone)
	if b != nil {
		p.bins = append(p.bins, b)
		p.plan.bins = append(p.plan.bins, b)
	}
	return b
}

// prefersBin reports whether one bin is better for the job than another: spot,
// but for services not spot; then one that is in use already.
func (j *Job) prefersBin(b, other *bin) bool {
	if b.kind.spot != other.kind.spot {
		return b.kind.spot != j.IsService()
	}
	return b.inUse() && !other.inUse()
}
