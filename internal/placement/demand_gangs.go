package placement

import (
	"slices"

	"juniperchute/internal/quota"
)

// packGangsAndServices packs the gangs and services in queue order. It drops bins
// that fit no task of any of them, which bounds the cost with thousands of pending
// gangs.
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
		remaining = slices.DeleteFunc(remaining, func(b *bin) bool { return !b.free.Covers(smallestNeed) })
		remaining = p.packJob(job, n, remaining)
	}
}

// tasksToPlace returns the number of tasks of a gang or service to pack, including
// replacements of replicas that must migrate. It returns 0 for arrays.
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

// packJob packs n tasks of a gang or service, opens bins for the tasks that fit in
// no existing one, and returns the bins with the opened ones appended.
func (p *demandPlan) packJob(job *Job, n int, bins []*bin) []*bin {
	packing := &jobPacking{plan: p, job: job, tasks: n, bins: bins}
	zone := ""
	if job.Spec.SameZone {
		zone = packing.zoneWithFewestUnplaced()
	}
	packing.pack(zone, commit)
	return packing.bins
}

// jobPacking packs the tasks of one gang or service.
type jobPacking struct {
	plan  *demandPlan
	job   *Job
	tasks int    // to pack
	bins  []*bin // candidates
}

// packMode selects whether pack applies its result to the plan.
type packMode int

const (
	dryRun packMode = iota
	commit          // opens bins, reduces free resources and marks machines as needed
)

// zoneWithFewestUnplaced returns the allowed zone in which the fewest tasks of the
// job remain unplaced, or "" if no zone qualifies. A zone in which tasks remain
// unplaced qualifies only if machines for them can be provisioned there.
func (p *jobPacking) zoneWithFewestUnplaced() string {
	zone, fewestUnplaced := "", p.tasks+1
	for _, candidate := range p.plan.platform.Zones {
		if p.job.Spec.Zone != "" && p.job.Spec.Zone != candidate {
			continue
		}
		if !p.job.zoneAllowed(candidate, p.job.remainingTasksByZone()) {
			continue
		}
		unplaced := p.pack(candidate, dryRun)
		if unplaced < fewestUnplaced && (unplaced == 0 || p.plan.hasOfferInZone(p.job, candidate)) {
			zone, fewestUnplaced = candidate, unplaced
		}
	}
	return zone
}

// pack assigns each task to a bin and returns the number of tasks that fit in none.
// A zone other than "" restricts the bins.
func (p *jobPacking) pack(zone string, mode packMode) (unplaced int) {
	inZone := p.job.remainingTasksByZone()
	freeByBin := map[*bin]quota.Resources{}
	for range p.tasks {
		best := p.findBin(zone, inZone, freeByBin)
		if best == nil && mode == commit {
			best = p.provisionBin(zone, inZone)
		}
		if best == nil {
			unplaced++
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
	return unplaced
}

// freeIn returns the free resources of a bin after the tasks packed so far.
func freeIn(b *bin, freeByBin map[*bin]quota.Resources) quota.Resources {
	if free, ok := freeByBin[b]; ok {
		return free
	}
	return b.free
}

// findBin returns the bin that the job prefers for one more task in addition to
// those packed so far, or nil if none fits.
func (p *jobPacking) findBin(zone string, inZone map[string]int, freeByBin map[*bin]quota.Resources) *bin {
	job := p.job
	var best *bin
	for _, b := range p.bins {
		// The cheap check comes first: most bins have no free resources at all.
		if !b.free.Covers(job.need) || !freeIn(b, freeByBin).Covers(job.need) {
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

// provisionBin opens a bin for one more task and returns it, or nil if no offer
// matches. Without a given zone, a job with zone constraints gets the first zone
// that they allow.
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

// prefersBin reports whether the job ranks b before other: gangs rank spot before
// on-demand, services the reverse; then machines that have tasks come first.
func (j *Job) prefersBin(b, other *bin) bool {
	if b.kind.spot != other.kind.spot {
		return b.kind.spot != j.IsService()
	}
	return b.inUse() && !other.inUse()
}
