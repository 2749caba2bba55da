package placement

import (
	"math"
	"time"

	"juniperchute/internal/tuning"
)

// arrayScheduler queues the tasks of job arrays at machines.
type arrayScheduler struct {
	*sharedState
	pass       *passState
	capacity   *capacityIndex
	copyQueues *copyQueues
	markers    *startMarkers
}

// schedule queues an array's pending tasks. Each has two copies: the primary is queued at
// a random machine among those of the lowest rank with sufficient free resources, the
// backup at another random machine. See the package comment.
func (a *arrayScheduler) schedule(now time.Time, job *Job, filter passFilter) {
	if filter.scope == withinGuarantee && !a.ledger.WithinGuarantee(job.Spec.Team, job.need) {
		return
	}
	if filter.requirement == cachedImage && job.outsideLocalityWindow {
		return
	}
	p := newArrayPlacement(a, job, filter)
	p.findCandidates(now)
	if len(p.candidates) > 0 && !a.markers.ensure(now, job) {
		return
	}
	for placed := 0; job.pendingTasks() > 0; placed++ {
		if !p.mayPlace(placed) || !p.placeTask(now) {
			return
		}
	}
}

// arrayPlacement queues one array's pending tasks in one round of a scheduling pass.
type arrayPlacement struct {
	scheduler       *arrayScheduler
	job             *Job
	scope           quotaScope
	requirement     imageRequirement
	tasksByZone     map[string]int // scheduled tasks of the job; nil if it has no zone constraints
	candidates      []candidate
	reservedForGang bool // a suitable machine is reserved for a starving gang
}

// newArrayPlacement returns a value instead of a pointer to avoid a heap
// allocation for each array in each round.
func newArrayPlacement(scheduler *arrayScheduler, job *Job, filter passFilter) arrayPlacement {
	p := arrayPlacement{
		scheduler:   scheduler,
		job:         job,
		scope:       filter.scope,
		tasksByZone: job.constrainedTasksByZone(nil),
	}
	if filter.requirement == cachedImage && !job.imageUnderReplicated {
		p.requirement = cachedImage
	}
	return p
}

// findCandidates collects the machines that can take a task of the job. Without
// zone constraints it skips machines that have gained no capacity since the last
// search that found none.
func (p *arrayPlacement) findCandidates(now time.Time) {
	minGainRevision := uint64(0)
	if p.tasksByZone == nil {
		minGainRevision = *p.job.minGainRevisions.forRequirement(p.requirement)
	}
	for _, info := range p.scheduler.capacity.freeMachines {
		machine := info.machine
		if info.gainRevision < minGainRevision || !p.fits(info) || !p.job.eligible(machine) {
			continue
		}
		if p.scheduler.pass.reservedForGang(now, p.job, machine) {
			p.reservedForGang = true
			continue
		}
		p.candidates = append(p.candidates, candidate{info, info.rankFor(p.job)})
	}
}

// fits reports whether a machine is in an allowed zone, has the required image
// and has sufficient free resources for one more task.
func (p *arrayPlacement) fits(info *machineInfo) bool {
	machine := info.machine
	if !machine.AvailableToPrimary().Covers(p.job.need) {
		return false
	}
	if p.tasksByZone != nil && !p.job.mayAddTaskIn(machine.Zone, p.tasksByZone) {
		return false
	}
	return p.requirement == anyMachine || info.hasImage(p.job.Spec.Image)
}

// mayPlace reports whether another task may be queued in this round, given the
// number of tasks that the round has placed.
func (p *arrayPlacement) mayPlace(placed int) bool {
	s, job := p.scheduler, p.job
	switch {
	case s.pass.arrayTasksQueued == tuning.MaxTasksPerPass:
		s.pass.requestFullPass() // the next pass continues with the remaining tasks
		return false
	case job.boostedAboveAll() && placed == tuning.FirstStartTasks:
		return false // the boost covers the first tasks only
	case p.scope == withinGuarantee && !s.ledger.WithinGuarantee(job.Spec.Team, job.need):
		return false
	case !s.ledger.AdmitsReservation(job.Spec.Team, job.need):
		s.setPendingReason(job, "team's limit")
		return false
	}
	return true
}

// placeTask queues the copies of one task and reports whether it did. It returns
// false if no machine can take the primary or no pending task may start yet.
func (p *arrayPlacement) placeTask(now time.Time) bool {
	s, job := p.scheduler, p.job
	chosen := s.pickLowestRank(p.candidates)
	if chosen < 0 {
		s.setPendingReason(job, "no room")
		if !p.reservedForGang {
			*job.minGainRevisions.forRequirement(p.requirement) = s.capacity.revision + 1
		}
		return false
	}
	index, ok := job.takePendingTask(now)
	if !ok {
		s.setPendingReason(job, "pause after a failure")
		return false
	}
	job.pendingReason = ""
	task := job.addTask(index)
	s.copyQueues.queuePrimary(now, task, p.candidates[chosen].info.machine)
	s.pass.arrayTasksQueued++
	p.updateCandidates(chosen)
	s.placeBackup(task)
	return true
}

// placeBackup queues a task's backup at a random machine other than its
// primary's that has sufficient total capacity and space in its backup queue. It
// tries a bounded number of random machines; if none qualifies, the task gets no
// backup.
func (a *arrayScheduler) placeBackup(task *Task) {
	machines := a.registry.All()
	for range min(tuning.BackupSamples, 2*len(machines)) {
		machine := machines[a.rng.IntN(len(machines))]
		if machine == task.primary || !task.Job.eligible(machine) || !machine.Capacity.Covers(task.Job.need) {
			continue
		}
		if a.capacity.info(machine).backupQueue.len() < tuning.MaxBackupsPerWorker {
			a.copyQueues.queueBackup(task, machine)
			return
		}
	}
}

// prepare updates the image locality state of the pending arrays of a tier. It
// also requests start markers for the first of them, so that they can start as
// soon as resources are free.
func (a *arrayScheduler) prepare(now time.Time, jobs []*Job, machinesByImage map[string]int) {
	firstPosition, pending := math.Inf(1), 0
	for _, job := range jobs {
		if job.pendingTasks() == 0 || !job.isArray() {
			continue
		}
		if pending++; pending <= tuning.StartMarkersAhead && a.markers.safeToStart(job) {
			a.markers.ensure(now, job)
		}
		firstPosition = min(firstPosition, job.fairSharePosition)
		job.outsideLocalityWindow = job.fairSharePosition > firstPosition+tuning.ImageLocalityWindow.Seconds()
		machinesNeeded := float64(job.pendingTasks()) * job.machineShare(a.registry)
		job.imageUnderReplicated = float64(machinesByImage[job.Spec.Image]) < machinesNeeded
	}
}
