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
	for _, job := range p.jobQueue.open {
		if !job.isArray() {
			smallestNeed = smallestNeed.Min(job.need)
		}
	}
	remaining := slices.Clone(p.bins)
	for _, job := range p.jobQueue.open {
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
		if !p.job.mayAddTaskIn(candidate, p.job.remainingTasksByZone()) {
			continue
		}
		unplaced := p.pack(candidate, dryRun)
		if unplaced < fewestUnplaced && (unplaced == 0 || p.plan.hasOfferInZone(p.job, candidate)) {
			zone, fewestUnplaced = candidate, unplaced
		}
	}
	return zone
}

// pack assigns each task to a bin and returns the number of tasks that fit in none. It fills the bins in the
// order in which the job prefers them. A zone other than "" restricts the bins.
func (p *jobPacking) pack(zone string, mode packMode) (unplaced int) {
	filling := &binFilling{job: p.job, zone: zone, inZone: p.job.remainingTasksByZone(), unplaced: p.tasks}
	for _, class := range p.job.binClasses() {
		for _, b := range p.bins {
			if filling.unplaced == 0 {
				break
			}
			if b.class() == class {
				filling.fill(b)
			}
		}
	}
	if mode == commit {
		p.fillProvisionedBins(filling)
		filling.commit()
	}
	return filling.unplaced
}

// fillProvisionedBins opens bins for the tasks that fit in no bin.
func (p *jobPacking) fillProvisionedBins(filling *binFilling) {
	for filling.unplaced > 0 {
		b := p.provisionBin(filling.zone, filling.inZone)
		if b == nil {
			return
		}
		filling.place(b, b.free)
		filling.fill(b)
	}
}

// binClass determines the order in which a job prefers bins.
type binClass struct{ spot, inUse bool }

func (b *bin) class() binClass { return binClass{spot: b.kind.spot, inUse: b.inUse()} }

// binClasses returns the classes in the job's order: gangs prefer spot to on-demand, services the reverse;
// then machines that have tasks come first.
func (j *Job) binClasses() []binClass {
	first := !j.IsService()
	return []binClass{{first, true}, {first, false}, {!first, true}, {!first, false}}
}

// binFilling assigns a job's tasks to bins without changing the bins before commit.
type binFilling struct {
	job      *Job
	zone     string // "" for any
	inZone   map[string]int
	unplaced int // tasks
	filled   []filledBin
}

// filledBin is a bin with tasks of the job.
type filledBin struct {
	bin  *bin
	free quota.Resources // after these tasks
}

// fill assigns as many of the unplaced tasks to a bin as fit.
func (f *binFilling) fill(b *bin) {
	free := b.free
	if n := len(f.filled); n > 0 && f.filled[n-1].bin == b {
		free = f.filled[n-1].free
	}
	// The cheap check comes first: most bins have no free resources at all.
	if !free.Covers(f.job.need) || f.zone != "" && b.kind.zone != f.zone || !b.suits(f.job) {
		return
	}
	for f.unplaced > 0 && free.Covers(f.job.need) && f.job.mayAddTaskIn(b.kind.zone, f.inZone) {
		free = f.place(b, free)
	}
}

// place assigns one task to a bin with the given free resources and returns what is left of them.
func (f *binFilling) place(b *bin, free quota.Resources) quota.Resources {
	free = free.Sub(f.job.need)
	if n := len(f.filled); n > 0 && f.filled[n-1].bin == b {
		f.filled[n-1].free = free
	} else {
		f.filled = append(f.filled, filledBin{b, free})
	}
	f.inZone[b.kind.zone]++
	f.unplaced--
	return free
}

// commit reduces the free resources of the bins and marks their machines as needed.
func (f *binFilling) commit() {
	for _, filled := range f.filled {
		filled.bin.free = filled.free
		filled.bin.markNeeded()
	}
}

// provisionBin opens a bin for one more task and returns it, or nil if no offer
// matches. Without a given zone, a job with zone constraints gets the first zone
// that they allow.
func (p *jobPacking) provisionBin(zone string, inZone map[string]int) *bin {
	if zone == "" && p.job.zoneConstrained() {
		for _, candidate := range p.plan.platform.Zones {
			if zone == "" && p.job.mayAddTaskIn(candidate, inZone) {
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
