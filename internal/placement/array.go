package placement

import (
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// arrayPlacement is the draw of one array's waiting tasks in one pass.
type arrayPlacement struct {
	scheduler       *Scheduler
	job             *Job
	filter          passFilter
	imageOnly       bool           // only machines with the image come into question
	tasksByZone     map[string]int // the job's tasks by zone, if its placement depends on them
	candidates      []candidate
	reservedForGang bool // a machine that would do is kept for a starving gang
}

// candidate is a machine that has room for a task, and its tier.
type candidate struct {
	machine *worker.Machine
	rank    int
}

// noRoomIndex tells which of a job's notes of machines without room a draw uses.
func (p *arrayPlacement) noRoomIndex() int {
	if p.imageOnly {
		return 1
	}
	return 0
}

// scheduleArray queues an array's waiting tasks: a main at a random machine of the best tier,
// and a spare at another.
func (s *Scheduler) scheduleArray(now time.Time, job *Job, filter passFilter) {
	if filter.guaranteedOnly && !s.ledger.WithinGuarantee(job.Spec.Team, job.need) || filter.cachedImageOnly && job.pastImagePatience {
		return
	}
	p := &arrayPlacement{scheduler: s, job: job, filter: filter, imageOnly: filter.cachedImageOnly && !job.needsMoreImages, tasksByZone: job.constrainedTasksByZone(nil)}
	p.findCandidates(now)
	if len(p.candidates) > 0 && !s.ensureStartMarker(now, job) {
		return
	}
	for placed := 0; job.pendingTasks() > 0; placed++ {
		if !p.mayPlace(placed) || !p.placeTask(now) {
			return
		}
	}
}

// fits tells whether one more task may be queued at a machine.
func (p *arrayPlacement) fits(machine *worker.Machine) bool {
	return machine.AvailableToPrimary().Fits(p.job.need) && (p.tasksByZone == nil || p.job.zoneAllowed(machine.Zone, p.tasksByZone)) &&
		(!p.imageOnly || p.scheduler.hasImage(machine, p.job.Spec.Image))
}

// findCandidates looks at the machines that have changed since none had room.
func (p *arrayPlacement) findCandidates(now time.Time) {
	job, noRoomRevision := p.job, uint64(0)
	if p.tasksByZone == nil {
		noRoomRevision = job.noRoomRevisions[p.noRoomIndex()]
	}
	for _, info := range p.scheduler.capacity.freeMachines {
		machine := info.machine
		switch {
		case info.gainRevision < noRoomRevision || !machine.Schedulable(now) || !p.fits(machine) || !job.allows(machine.Type, machine.Zone, machine.Spot) || job.avoids(machine):
		case p.scheduler.reservedForGang(now, job, machine):
			p.reservedForGang = true
		default:
			p.candidates = append(p.candidates, candidate{machine, p.scheduler.machineRank(job, machine)})
		}
	}
}

// mayPlace tells whether another task may be taken up after n in this draw.
func (p *arrayPlacement) mayPlace(placed int) bool {
	s, job := p.scheduler, p.job
	switch {
	case s.arrayTasksQueued == tuning.MaxTasksPerPass:
		s.capacity.requestFullPass() // what else there is to do goes first
		return false
	case job.effectivePriority >= wire.Priorities+job.priority && placed == tuning.FirstStartTasks:
		return false // it has begun; the rest waits for its turn
	case p.filter.guaranteedOnly && !s.ledger.WithinGuarantee(job.Spec.Team, job.need):
		return false
	case !s.ledger.AdmitsReservation(job.Spec.Team, job.need):
		s.setPendingReason(job, "team's limit")
		return false
	}
	return true
}

// placeTask queues one task and tells whether there was a place for it.
func (p *arrayPlacement) placeTask(now time.Time) bool {
	s, job := p.scheduler, p.job
	chosen := s.pickLowestRank(p.candidates)
	if chosen < 0 {
		s.setPendingReason(job, "no room")
		if !p.reservedForGang {
			job.noRoomRevisions[p.noRoomIndex()] = s.capacity.revision + 1
		}
		return false
	}
	n, ok := job.takePendingTask(now)
	if !ok {
		s.setPendingReason(job, "pause after a failure")
		return false
	}
	job.pendingReason = ""
	machine := p.candidates[chosen].machine
	task := &Task{Job: job, Index: n}
	job.tasks[n] = task
	s.queuePrimary(now, task, machine)
	s.arrayTasksQueued++
	p.updateCandidates(chosen)
	s.placeBackup(now, task)
	return true
}

// updateCandidates brings the candidates up to date after a task was queued at one of them.
func (p *arrayPlacement) updateCandidates(chosen int) {
	machine := p.candidates[chosen].machine
	switch {
	case p.tasksByZone != nil:
		p.tasksByZone[machine.Zone]++
		p.candidates = slices.DeleteFunc(p.candidates, func(c candidate) bool { return !p.fits(c.machine) })
		for i := range p.candidates {
			p.candidates[i].rank = p.scheduler.machineRank(p.job, p.candidates[i].machine)
		}
	case p.fits(machine):
		p.candidates[chosen].rank = p.scheduler.machineRank(p.job, machine)
	default:
		p.candidates = slices.Delete(p.candidates, chosen, chosen+1)
	}
}

// machineRank ranks machines that fit: cheap ones for whoever may use them, then ones
// that have the image or are about to, then the fuller ones, in steps, so that
// others empty and can be returned.
func (s *Scheduler) machineRank(job *Job, machine *worker.Machine) int {
	rank := 0
	if job.Spec.Spot && !machine.Spot {
		rank += 4 * tuning.FillLevels
	}
	if !s.hasImage(machine, job.Spec.Image) {
		rank += 2 * tuning.FillLevels
	}
	return rank + int(tuning.FillLevels*machine.AvailableToPrimary().DominantShare(machine.Capacity))
}

// hasImage tells whether a machine has an image, or some task there will have
// it fetched.
func (s *Scheduler) hasImage(machine *worker.Machine, image string) bool {
	if _, ok := machine.Images[image]; ok {
		return true
	}
	has := func(task *Task) bool { return task.Job.Spec.Image == image }
	info := s.machineInfo(machine)
	return slices.ContainsFunc(info.assigned, has) || slices.ContainsFunc(info.primaryQueue, has)
}

// pickLowestRank chooses at random among the machines of the lowest tier, -1 if there is none.
func (s *Scheduler) pickLowestRank(candidates []candidate) int {
	lowest, ties := 0, 0
	for i := range candidates {
		switch rank := candidates[i].rank; {
		case ties == 0 || rank < lowest:
			lowest, ties = rank, 1
		case rank == lowest:
			ties++
		}
	}
	if ties == 0 {
		return -1
	}
	ties = s.rng.IntN(ties)
	return slices.IndexFunc(candidates, func(c candidate) bool {
		if c.rank == lowest {
			ties--
		}
		return ties < 0
	})
}

// placeBackup queues a task's spare low at another random worker whose whole
// room it fits. A few tries find one in most cases; a spare that finds none is
// no loss, as mains are drawn into room that is there.
func (s *Scheduler) placeBackup(now time.Time, task *Task) {
	job := task.Job
	machines := s.registry.All()
	for range min(tuning.BackupSamples, 2*len(machines)) {
		machine := machines[s.rng.IntN(len(machines))]
		if machine != task.primary && machine.Schedulable(now) && job.allows(machine.Type, machine.Zone, machine.Spot) && machine.Capacity.Fits(job.need) &&
			len(s.machineInfo(machine).backupQueue) < tuning.MaxBackupsPerWorker && !job.avoids(machine) {
			s.queueBackup(task, machine)
			return
		}
	}
}
