package placement

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// gangScheduler places gangs, and dispatches them once there is room for all their tasks.
type gangScheduler struct {
	*sharedState
	pass     *passState
	capacity *capacityIndex
	rules    preemptionRules
	queues   *copyQueues
	markers  *startMarkers
	tasks    *taskLifecycle
	attempts *attemptNumbers
}

// schedule places all tasks of a pending gang, first fit, or none.
func (g *gangScheduler) schedule(now time.Time, gang *Job, scope preemptionScope) {
	if gang.assigned > 0 || gang.aborting {
		g.abortIfIncomplete(now, gang)
		return
	}
	if len(gang.tasks) > 0 || gang.IsComplete() || !g.mayPlace(now, gang, scope) {
		return
	}
	// before the places are sought: thousands may wait for their start markers
	if !g.markers.ensure(now, gang) {
		return
	}
	slots := g.cheapestPlacement(now, gang, scope)
	if slots == nil {
		g.recordNoRoom(now, gang)
		return
	}
	g.place(now, gang, slots)
}

// abortIfIncomplete aborts a gang's attempt of which, once all machines are
// reconciled, not all tasks are on machines.
func (g *gangScheduler) abortIfIncomplete(now time.Time, gang *Job) {
	incomplete := gang.assigned < gang.Spec.Tasks-gang.completed.count
	if g.reconciled && !gang.aborting && incomplete && gang.attempt != 0 {
		g.tasks.abortGangAttempt(now, gang, "incomplete")
	}
}

// totalNeed returns what all tasks of a job need together.
func (j *Job) totalNeed() quota.Resources { return j.need.Times(float64(j.Spec.Tasks)) }

// mayPlace reports whether places are to be sought for a gang in this pass.
func (g *gangScheduler) mayPlace(now time.Time, gang *Job, scope preemptionScope) bool {
	switch {
	case scope == guaranteedWork && !g.ledger.WithinGuarantee(gang.Spec.Team, gang.totalNeed()):
		return false
	case !g.ledger.AdmitsReservation(gang.Spec.Team, gang.totalNeed()):
		g.setPendingReason(gang, "team's limit")
		return false
	case g.pass.blockingGang != nil && g.pass.blockingGang != gang:
		g.setPendingReason(gang, "an older gang goes first")
		return false
	case g.pass.gangsWithoutRoom >= tuning.MaxGangAttempts:
		return false // so many before it found no room
	case !g.capacity.gangMayFit(now, gang, scope):
		g.pass.gangsWithoutRoom++
		g.recordNoRoom(now, gang)
		return false
	case g.pass.gangsPlaced == tuning.MaxGangsPerPass:
		g.pass.requestFullPass() // the next pass goes on
		return false
	}
	return true
}

// place queues a gang's tasks at their places and preempts what is in their way.
func (g *gangScheduler) place(now time.Time, gang *Job, slots []gangSlot) {
	g.pass.gangsPlaced++
	g.Counters.GangsPlaced++
	gang.pendingReason = ""
	atOnce := g.mustPreemptAtOnce(now, gang, slots)
	for index, slot := range slots {
		g.queues.queuePrimary(now, gang.addTask(index), slot.machine)
		for _, victim := range slot.victims {
			if !victim.phase.stoppable() {
				continue // its gang has been stopped as a whole
			}
			g.Counters.Preempted++
			if atOnce && !victim.Job.IsGang() {
				g.tasks.stop(now, victim, 0, "preempted at once for "+gang.Spec.ID)
			} else {
				g.tasks.preempt(now, victim, "preempted for "+gang.Spec.ID)
			}
		}
	}
	gang.nextIndex, gang.returnedTasks = gang.Spec.Tasks, nil
}

// mustPreemptAtOnce reports whether a gang placed now meets an objective of
// its class only if the work in its way does not save first. Such work loses
// its progress since its last checkpoint, about as much as saving takes.
func (g *gangScheduler) mustPreemptAtOnce(now time.Time, gang *Job, slots []gangSlot) bool {
	fetch, save := 0.0, 0.0
	for _, slot := range slots {
		fetch = max(fetch, gang.imageFetchTime(slot.machine))
		for _, victim := range slot.victims {
			save = max(save, victim.Job.gracePeriodS())
		}
	}
	ready := now.Sub(gang.KnownSince).Seconds() + fetch + tuning.GangStartOverhead.Seconds()
	return slices.ContainsFunc(g.platform.Objectives, func(objective config.Objective) bool {
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
func (g *gangScheduler) recordNoRoom(now time.Time, gang *Job) {
	g.setPendingReason(gang, "no room for all tasks")
	if g.pass.blockingGang != nil || now.Sub(gang.KnownSince) <= tuning.GangPatience {
		return
	}
	class, slots := gang.equivalenceClass(anyWork), 0
	for _, machine := range g.registry.All() {
		if machine.Schedulable() && class.allows(machine) {
			slots += machine.Capacity.FitCount(gang.need, maxTasksPerMachine)
		}
	}
	if slots >= gang.Spec.Tasks {
		g.pass.blockingGang = gang
	}
}

// dispatch dispatches a placed gang once there is room for all its tasks.
func (g *gangScheduler) dispatch(now time.Time, gang *Job) {
	if len(gang.tasks) != gang.Spec.Tasks || gang.assigned > 0 || gang.aborting {
		return
	}
	if !g.hasRoom(now, gang) || !g.ledger.AdmitsStart(gang.Spec.Team, gang.totalNeed()) {
		return
	}
	gang.attempt = g.attempts.next(gang)
	for index := range gang.Spec.Tasks {
		task := gang.tasks[index]
		copied := assignment{machine: task.primary, attempt: gang.attempt}
		g.queues.withdrawCopies(task)
		g.tasks.dispatch(now, task, copied, "gang starts")
	}
}

// hasRoom reports whether there is room for each task of a placed gang. It
// preempts backups on the first machine that has too little.
func (g *gangScheduler) hasRoom(now time.Time, gang *Job) bool {
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
			g.tasks.preemptBackups(now, task.primary, gang.need.Sub(free))
			return false
		}
		freeByMachine[task.primary] = free.Sub(gang.need)
	}
	return true
}
