package placement

import (
	"time"

	"juniperchute/internal/worker"
)

// taskLifecycle moves tasks from phase to phase, and keeps what follows from
// it: the accounts of machines, jobs and teams, and who gets commands at once.
type taskLifecycle struct {
	*sharedState
	capacity        *capacityIndex
	queues          *copyQueues
	jobs            *jobTable
	urgent          *urgentMachines
	runTimes        *runTimeEstimator
	onTaskCompleted func(now time.Time, job *Job)
}

// setPhase is the only place that changes the phase of a task that is or was
// on a machine, and with it the accounts of the machine, the job and the team.
func (l *taskLifecycle) setPhase(now time.Time, task *Task, phase Phase, reason string) {
	previous := task.phase
	if previous == phase {
		return
	}
	machine, job := task.machine, task.Job
	if previous.onMachine() || phase.onMachine() {
		l.capacity.markDirty(l.capacity.info(machine))
	}
	switch {
	case !previous.onMachine() && phase.onMachine():
		l.capacity.info(machine).addAssigned(task)
		l.ledger.AddUsed(job.Spec.Team, job.need)
		job.assigned++
		task.dispatchedAt, task.runningSince, task.reportedState = now, time.Time{}, ""
	case previous.onMachine() && !phase.onMachine():
		l.capacity.info(machine).removeAssigned(task)
		if machine.ActiveCopies == 0 {
			machine.IdleSince = now
		}
		l.ledger.RemoveUsed(job.Spec.Team, job.need)
		job.assigned--
		task.machine = nil
	}
	task.phase = phase
	l.log.Debug("task phase changed", "task", task.Name(), "attempt", task.attempt, "worker", machine.Host,
		"from", previous.String(), "to", phase.String(), "backup", task.isBackup, "reason", reason)
}

// dispatch assigns a task's copy to a machine. The command to run it goes out
// with the next message to the machine.
func (l *taskLifecycle) dispatch(now time.Time, task *Task, copied assignment, reason string) {
	task.assignment = copied
	l.setPhase(now, task, Dispatched, reason)
	if !task.Job.isArray() {
		l.urgent.mark(l.capacity.info(task.machine)) // the rest of the gang, or the service's users, wait for it
	}
}

// stop has a task on a machine stopped, after at most grace seconds to save.
// An earlier stop can be shortened, but not extended.
func (l *taskLifecycle) stop(now time.Time, task *Task, grace float64, reason string) {
	if task.phase == Stopping && grace >= task.gracePeriodS {
		return
	}
	task.gracePeriodS, task.stopPending = grace, true
	l.setPhase(now, task, Stopping, reason)
	l.urgent.mark(l.capacity.info(task.machine))
}

// preempt stops a task so that it can go on later from its checkpoint. A gang stops as a whole.
func (l *taskLifecycle) preempt(now time.Time, task *Task, reason string) {
	job := task.Job
	if !job.IsGang() {
		l.stop(now, task, job.gracePeriodS(), reason)
		return
	}
	job.aborting = true
	for _, member := range job.tasksByIndex() {
		if member.phase.stoppable() {
			l.stop(now, member, job.gracePeriodS(), reason)
		}
	}
}

// releaseTask records that a task's copy has ended without completing it. The
// task may start again after the pause.
func (l *taskLifecycle) releaseTask(now time.Time, task *Task, pause time.Duration, reason string) {
	job := task.Job
	preemptedBackup := task.isBackup && task.phase == Stopping && task.primary != nil
	l.setPhase(now, task, Unassigned, reason)
	task.attempt = 0
	switch {
	case job.closed:
		l.queues.unschedule(task)
	case job.IsGang():
		l.queues.returnToPending(task, now.Add(pause))
		if !job.IsComplete() {
			l.abortGangAttempt(now, job, reason)
		}
	case preemptedBackup:
		// its primary keeps its place; the backup waits again until it has
		// been preempted too often (the paper's drop threshold, section V)
		if task.backupPreemptions >= l.Settings.DropThreshold {
			l.queues.withdrawBackup(task)
		}
	default:
		l.queues.returnToPending(task, now.Add(pause))
	}
	l.jobs.removeIfUnassigned(job)
}

// abortGangAttempt ends a gang's attempt: all of its tasks have to leave their
// machines before the next one.
func (l *taskLifecycle) abortGangAttempt(now time.Time, job *Job, reason string) {
	job.aborting = false
	for _, member := range job.tasksByIndex() {
		switch member.phase {
		case Unassigned:
			l.queues.returnToPending(member, now)
		case Dispatched, Active:
			job.aborting = true
			l.stop(now, member, 0, "gang attempt aborted: "+reason)
		case Stopping:
			job.aborting = true
		}
	}
}

// completeTask records a task's completion.
func (l *taskLifecycle) completeTask(now time.Time, task *Task) {
	job := task.Job
	if task.phase.onMachine() {
		if task.isBackup {
			l.Counters.BackupsCompleted++
		}
		job.succeededOn[task.machine.Host] = true
		l.runTimes.record(now, task)
		l.setPhase(now, task, Completed, "completed")
	} else {
		task.phase = Completed
	}
	l.queues.unschedule(task)
	l.markCompleted(now, job, task.Index)
	l.jobs.removeIfUnassigned(job)
}

// markCompleted enters a task among its job's completed ones.
func (l *taskLifecycle) markCompleted(now time.Time, job *Job, index int) {
	if job.completed.add(index) && !job.closed {
		l.onTaskCompleted(now, job)
	}
}

// completeGang completes a gang: once one of its tasks has completed, all
// have. Those whose own exit has not been reported stay on their machines
// until it is, but never start again, even when they are lost instead.
func (l *taskLifecycle) completeGang(now time.Time, job *Job) {
	for _, task := range job.tasksByIndex() {
		if task.phase == Unassigned {
			l.queues.unschedule(task)
		}
	}
	for n := range job.Spec.Tasks {
		job.completed.add(n)
	}
	if !job.closed {
		l.onTaskCompleted(now, job)
	}
}

// releaseMachine releases everything on a machine on which nothing can run any
// more: its lease has expired, its worker has a new incarnation, or its
// deletion was confirmed.
func (l *taskLifecycle) releaseMachine(now time.Time, machine *worker.Machine, reason string) {
	for info := l.capacity.info(machine); len(info.assigned) > 0; {
		l.releaseTask(now, info.assigned[0], 0, reason)
	}
	machine.HasUnknownTasks = false
}
