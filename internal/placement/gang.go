package placement

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// scheduleGang places all tasks of a pending gang, first fit, or none.
func (s *Scheduler) scheduleGang(now time.Time, gang *Job, scope preemptionScope) {
	if gang.assigned > 0 || gang.aborting {
		s.abortIfIncomplete(now, gang)
		return
	}
	if len(gang.tasks) > 0 || gang.IsComplete() || !s.mayPlaceGang(now, gang, scope) {
		return
	}
	// before the places are sought: thousands may wait for their start markers
	if !s.markers.ensure(now, gang) {
		return
	}
	slots := s.cheapestGangPlacement(now, gang, scope)
	if slots == nil {
		s.recordNoRoom(now, gang)
		return
	}
	s.placeGang(now, gang, slots)
}

// abortIfIncomplete aborts a gang's attempt of which, once all machines are
// reconciled, not all tasks are on machines.
func (s *Scheduler) abortIfIncomplete(now time.Time, gang *Job) {
	incomplete := gang.assigned < gang.Spec.Tasks-gang.completed.count
	if s.reconciled && !gang.aborting && incomplete && gang.attempt != 0 {
		s.tasks.abortGangAttempt(now, gang, "incomplete")
	}
}

// totalNeed returns what all tasks of a job need together.
func (j *Job) totalNeed() quota.Resources { return j.need.Times(float64(j.Spec.Tasks)) }

// mayPlaceGang reports whether places are to be sought for a gang in this pass.
func (s *Scheduler) mayPlaceGang(now time.Time, gang *Job, scope preemptionScope) bool {
	switch {
	case scope == guaranteedWork && !s.ledger.WithinGuarantee(gang.Spec.Team, gang.totalNeed()):
		return false
	case !s.ledger.AdmitsReservation(gang.Spec.Team, gang.totalNeed()):
		s.setPendingReason(gang, "team's limit")
		return false
	case s.pass.blockingGang != nil && s.pass.blockingGang != gang:
		s.setPendingReason(gang, "an older gang goes first")
		return false
	case s.pass.gangsWithoutRoom >= tuning.MaxGangAttempts:
		return false // so many before it found no room
	case !s.capacity.gangMayFit(now, gang, scope):
		s.pass.gangsWithoutRoom++
		s.recordNoRoom(now, gang)
		return false
	case s.pass.gangsPlaced == tuning.MaxGangsPerPass:
		s.pass.requestFull() // the next pass goes on
		return false
	}
	return true
}

// placeGang queues a gang's tasks at their places and preempts what is in their way.
func (s *Scheduler) placeGang(now time.Time, gang *Job, slots []gangSlot) {
	s.pass.gangsPlaced++
	s.Counters.GangsPlaced++
	gang.pendingReason = ""
	atOnce := s.mustPreemptAtOnce(now, gang, slots)
	for index, slot := range slots {
		s.queues.queuePrimary(now, gang.addTask(index), slot.machine)
		for _, victim := range slot.victims {
			if !victim.phase.stoppable() {
				continue // its gang has been stopped as a whole
			}
			s.Counters.Preempted++
			if atOnce && !victim.Job.IsGang() {
				s.tasks.stop(now, victim, 0, "preempted at once for "+gang.Spec.ID)
			} else {
				s.tasks.preempt(now, victim, "preempted for "+gang.Spec.ID)
			}
		}
	}
	gang.nextIndex, gang.returnedTasks = gang.Spec.Tasks, nil
}

// mustPreemptAtOnce reports whether a gang placed now meets an objective of
// its class only if the work in its way does not save first. Such work loses
// its progress since its last checkpoint, about as much as saving takes.
func (s *Scheduler) mustPreemptAtOnce(now time.Time, gang *Job, slots []gangSlot) bool {
	fetch, save := 0.0, 0.0
	for _, slot := range slots {
		fetch = max(fetch, gang.imageFetchTime(slot.machine))
		for _, victim := range slot.victims {
			save = max(save, victim.Job.stopGrace())
		}
	}
	ready := now.Sub(gang.KnownSince).Seconds() + fetch + tuning.GangStartOverhead.Seconds()
	return slices.ContainsFunc(s.platform.Objectives, func(objective config.Objective) bool {
		return isStartObjective(objective, gang) && ready <= objective.WithinS && ready+save > objective.WithinS
	})
}

// isStartObjective reports whether an objective bounds how long jobs of the
// given job's class wait until they start.
func isStartObjective(objective config.Objective, job *Job) bool {
	return objective.Kind == objectiveWait && objective.Class == job.Spec.Class
}

// recordNoRoom notes that a gang found no room. Once it has waited for long,
// no gang behind it is placed before it: many small ones would take each
// machine that becomes free, and a large one would never see enough of them.
// A gang that needs more machines than there are blocks nobody.
func (s *Scheduler) recordNoRoom(now time.Time, gang *Job) {
	s.setPendingReason(gang, "no room for all tasks")
	if s.pass.blockingGang != nil || now.Sub(gang.KnownSince) <= tuning.GangPatience {
		return
	}
	class, slots := gang.equivalenceClass(anyWork), 0
	for _, machine := range s.registry.All() {
		if machine.Schedulable(now) && class.allows(machine) {
			slots += machine.Capacity.FitCount(gang.need, maxTasksPerMachine)
		}
	}
	if slots >= gang.Spec.Tasks {
		s.pass.blockingGang = gang
	}
}

// dispatchGang dispatches a placed gang once there is room for all its tasks.
func (s *Scheduler) dispatchGang(now time.Time, gang *Job) {
	if len(gang.tasks) != gang.Spec.Tasks || gang.assigned > 0 || gang.aborting {
		return
	}
	if !s.gangHasRoom(now, gang) || !s.ledger.AdmitsStart(gang.Spec.Team, gang.totalNeed()) {
		return
	}
	gang.attempt = s.next(gang)
	for index := range gang.Spec.Tasks {
		task := gang.tasks[index]
		copied := assignment{machine: task.primary, attempt: gang.attempt}
		s.queues.withdrawCopies(task)
		s.tasks.dispatch(now, task, copied, "gang starts")
	}
}

// gangHasRoom reports whether there is room for each task of a placed gang. It
// preempts backups on the first machine that has too little.
func (s *Scheduler) gangHasRoom(now time.Time, gang *Job) bool {
	freeByMachine := map[*worker.Machine]quota.Resources{}
	for index := range gang.Spec.Tasks {
		task := gang.tasks[index]
		if task == nil || task.primary == nil || task.primary.State != worker.Up {
			return false
		}
		free, ok := freeByMachine[task.primary]
		if !ok {
			free = task.primary.Available()
		}
		if !free.Fits(gang.need) {
			s.tasks.preemptBackups(now, task.primary, gang.need.Sub(free))
			return false
		}
		freeByMachine[task.primary] = free.Sub(gang.need)
	}
	return true
}
