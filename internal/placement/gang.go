package placement

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// gangScheduler implements gang scheduling: the tasks of a gang are placed, and later
// dispatched, all together or not at all.
type gangScheduler struct {
	*sharedState
	pass       *passState
	capacity   *capacityIndex
	rules      preemptionRules
	copyQueues *copyQueues
	markers    *startMarkers
	tasks      *taskLifecycle
	attempts   *attemptNumbers
}

// schedule places all tasks of a pending gang, or none. It aborts an attempt of a
// gang that is only partly on machines.
func (g *gangScheduler) schedule(now time.Time, gang *Job, scope quotaScope) {
	if gang.assigned > 0 || gang.aborting {
		g.abortIfIncomplete(now, gang)
		return
	}
	if len(gang.tasks) > 0 || gang.IsComplete() || !g.canPlace(now, gang, scope) {
		return
	}
	// The marker is checked before the costly search, since thousands of gangs may wait for theirs.
	if !g.markers.ensure(now, gang) {
		return
	}
	slots := g.cheapestPlacement(now, gang, scope)
	if slots == nil {
		g.recordPlacementFailure(now, gang)
		return
	}
	g.place(now, gang, slots)
}

// abortIfIncomplete aborts the gang's attempt if all machines are reconciled and
// some of its remaining tasks are on none.
func (g *gangScheduler) abortIfIncomplete(now time.Time, gang *Job) {
	incomplete := gang.assigned < gang.Spec.Tasks-gang.completed.count
	if g.reconciled && !gang.aborting && incomplete && gang.attempt != 0 {
		g.tasks.abortGangAttempt(now, gang, "incomplete")
	}
}

// totalNeed returns the sum of the resource needs of all tasks of the job.
func (j *Job) totalNeed() quota.Resources { return j.need.Times(float64(j.Spec.Tasks)) }

// canPlace reports whether this pass searches for a placement of the gang. It checks
// quota, gangs that block others, the limits per pass, and the capacity index.
func (g *gangScheduler) canPlace(now time.Time, gang *Job, scope quotaScope) bool {
	switch {
	case scope == withinGuarantee && !g.ledger.WithinGuarantee(gang.Spec.Team, gang.totalNeed()):
		return false
	case !g.ledger.AdmitsReservation(gang.Spec.Team, gang.totalNeed()):
		g.setPendingReason(gang, "team's limit")
		return false
	case g.pass.blockingGang != nil && g.pass.blockingGang != gang:
		g.setPendingReason(gang, "an older gang goes first")
		return false
	case g.pass.gangsWithoutRoom >= tuning.MaxUnplacedGangs:
		return false // bounds the failed searches per pass
	case !g.capacity.gangMayFit(now, gang, scope):
		g.pass.gangsWithoutRoom++
		g.recordPlacementFailure(now, gang)
		return false
	case g.pass.gangsPlaced == tuning.MaxGangsPerPass:
		g.pass.requestFullPass() // the next pass continues with this gang
		return false
	}
	return true
}

// place queues the gang's tasks at the machines of the slots and preempts the slots'
// victims.
func (g *gangScheduler) place(now time.Time, gang *Job, slots []gangSlot) {
	g.pass.gangsPlaced++
	g.Counters.GangsPlaced++
	gang.pendingReason = ""
	immediately := g.mustPreemptImmediately(now, gang, slots)
	for index, slot := range slots {
		g.copyQueues.queuePrimary(now, gang.addTask(index), slot.machine)
		for _, victim := range slot.victims {
			if !victim.phase.stoppable() {
				continue // stopped together with its gang
			}
			g.Counters.Preempted++
			if immediately && !victim.Job.IsGang() {
				g.tasks.stop(now, victim, 0, "preempted at once for "+gang.Spec.ID)
			} else {
				g.tasks.preempt(now, victim, "preempted for "+gang.Spec.ID)
			}
		}
	}
	gang.nextIndex = gang.Spec.Tasks
	gang.returned.clear()
}

// mustPreemptImmediately reports whether the gang meets a start objective of its
// class only if the victims stop without saving a checkpoint. The victims then lose
// their progress since the last checkpoint.
func (g *gangScheduler) mustPreemptImmediately(now time.Time, gang *Job, slots []gangSlot) bool {
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

// isStartObjective reports whether an objective bounds the time from submission to
// start for the job's class.
func isStartObjective(objective config.Objective, job *Job) bool {
	return objective.Kind == objectiveWait && objective.Class == job.Spec.Class
}

// recordPlacementFailure sets the gang's pending reason. A gang that has waited
// longer than tuning.GangBlockingDelay becomes the blocking gang: no other gang is
// placed for the rest of the pass. Otherwise small gangs would take every machine that
// becomes free and starve a large one. A gang that exceeds the capacity of all
// machines never blocks others.
func (g *gangScheduler) recordPlacementFailure(now time.Time, gang *Job) {
	g.setPendingReason(gang, "no room for all tasks")
	if g.pass.blockingGang != nil || now.Sub(gang.KnownSince) <= tuning.GangBlockingDelay {
		return
	}
	class, slots := gang.equivalenceClass(withinLimit), 0
	for _, machine := range g.registry.All() {
		if machine.Schedulable() && class.allows(machine) {
			slots += machine.Capacity.FitCount(gang.need, maxTasksPerMachine)
		}
	}
	if slots >= gang.Spec.Tasks {
		g.pass.blockingGang = gang
	}
}

// dispatch assigns all tasks of a placed gang, under one new attempt, once each fits
// on its machine and the team's limit admits them.
func (g *gangScheduler) dispatch(now time.Time, gang *Job) {
	if len(gang.tasks) != gang.Spec.Tasks || gang.assigned > 0 || gang.aborting {
		return
	}
	if !g.allTasksFit(now, gang) || !g.ledger.AdmitsStart(gang.Spec.Team, gang.totalNeed()) {
		return
	}
	gang.attempt = g.attempts.next(gang)
	for index := range gang.Spec.Tasks {
		task := gang.tasks[index]
		target := assignment{machine: task.primary, attempt: gang.attempt}
		g.copyQueues.withdrawCopies(task)
		g.tasks.dispatch(now, task, target, "gang starts")
	}
}

// allTasksFit reports whether each task of a placed gang fits the free resources of
// its machine. It preempts backups on the first machine where one does not.
func (g *gangScheduler) allTasksFit(now time.Time, gang *Job) bool {
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
		if !free.Covers(gang.need) {
			g.tasks.preemptBackups(now, task.primary, gang.need.Sub(free))
			return false
		}
		freeByMachine[task.primary] = free.Sub(gang.need)
	}
	return true
}
