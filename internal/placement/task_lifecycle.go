package placement

import (
	"time"

	"juniperchute/internal/worker"
)

// taskLifecycle changes the phases of tasks and keeps the resource accounting of
// machines, jobs and teams consistent with them. It also marks the machines that
// need commands urgently.
type taskLifecycle struct {
	*sharedState
	capacity        *capacityIndex
	copyQueues      *copyQueues
	jobs            *jobTable
	urgent          *urgentMachines
	runTimes        *runTimeEstimator
	onTaskCompleted func(now time.Time, job *Job)
}

// setPhase changes the phase of a task and updates the accounting of its
// machine, job and team. No other function may assign a task to a machine or release it.
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
		task.zone = machine.Zone
		job.zones.addAssigned(task)
		l.capacity.info(machine).addAssigned(task)
		l.ledger.AddUsed(job.Spec.Team, job.need)
		job.assigned++
		task.dispatchedAt, task.runningSince, task.lastReportedState = now, time.Time{}, ""
	case previous.onMachine() && !phase.onMachine():
		l.capacity.info(machine).removeAssigned(task)
		job.zones.removeAssigned(task)
		if machine.AssignedCopies == 0 {
			machine.IdleSince = now
		}
		l.ledger.RemoveUsed(job.Spec.Team, job.need)
		job.assigned--
		task.machine = nil
	}
	task.phase = phase
	job.countStoppable(previous, phase)
	job.countRunning(task)
	l.log.Debug("task phase changed", "task", task.Name(), "attempt", task.attempt, "worker", machine.Host,
		"from", previous.String(), "to", phase.String(), "backup", task.isBackup, "reason", reason)
}

// dispatch assigns a copy of a task to a machine. The next message to the
// machine carries the run command of the copy.
func (l *taskLifecycle) dispatch(now time.Time, task *Task, target assignment, reason string) {
	task.assignment = target
	l.setPhase(now, task, Dispatched, reason)
	if !task.Job.isArray() {
		l.urgent.mark(l.capacity.info(task.machine)) // the gang's other tasks or the service's users wait for it
	}
}

// stop stops a task on a machine after at most gracePeriodS seconds for saving
// a checkpoint. It can shorten the grace period of an earlier stop, but not extend it.
func (l *taskLifecycle) stop(now time.Time, task *Task, gracePeriodS float64, reason string) {
	if task.phase == Stopping && gracePeriodS >= task.gracePeriodS {
		return
	}
	task.gracePeriodS, task.stopPending = gracePeriodS, true
	l.setPhase(now, task, Stopping, reason)
	l.urgent.mark(l.capacity.info(task.machine))
}

// preempt stops a task, or all tasks of its gang, with the grace period for
// saving a checkpoint.
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

// releaseTask records that a task's copy has ended without completing the task.
// The task may start again after the backoff.
func (l *taskLifecycle) releaseTask(now time.Time, task *Task, backoff time.Duration, reason string) {
	job := task.Job
	preemptedBackup := task.isBackup && task.phase == Stopping && task.primary != nil
	l.setPhase(now, task, Unassigned, reason)
	task.attempt = 0
	switch {
	case job.closed:
		l.copyQueues.unschedule(task)
	case job.IsGang():
		l.copyQueues.returnToPending(task, now.Add(backoff))
		if !job.IsComplete() {
			l.abortGangAttempt(now, job, reason)
		}
	case preemptedBackup:
		// The primary is still queued, and so is the backup until it reaches the
		// withdraw threshold.
		if task.backupPreemptions >= l.Settings.BackupWithdrawThreshold {
			l.copyQueues.withdrawBackup(task)
		}
	default:
		l.copyQueues.returnToPending(task, now.Add(backoff))
	}
	l.jobs.removeIfUnassigned(job)
}

// abortGangAttempt aborts a gang's attempt and stops its tasks. The next attempt
// cannot begin before all of them have left their machines. It goes through the gang's
// tasks only if some are neither stopping nor pending: the tasks of an aborted attempt
// leave their machines one by one, and each calls it.
func (l *taskLifecycle) abortGangAttempt(now time.Time, job *Job, reason string) {
	if job.stoppable > 0 || len(job.tasks) > job.assigned {
		l.stopGang(now, job, reason)
	}
	job.aborting = job.assigned > 0
}

// stopGang stops the gang's tasks on machines, and makes its queued tasks pending again.
func (l *taskLifecycle) stopGang(now time.Time, job *Job, reason string) {
	for _, member := range job.tasksByIndex() {
		switch {
		case member.phase == Unassigned:
			l.copyQueues.returnToPending(member, now)
		case member.phase.stoppable():
			l.stop(now, member, 0, "gang attempt aborted: "+reason)
		}
	}
}

// completeTask records the completion of a task and withdraws its queued copies.
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
	l.copyQueues.unschedule(task)
	l.markCompleted(now, job, task.Index)
	l.jobs.removeIfUnassigned(job)
}

// markCompleted marks a task as completed in its job. If it was not marked
// before and the job is open, markCompleted calls onTaskCompleted.
func (l *taskLifecycle) markCompleted(now time.Time, job *Job, index int) {
	if job.completed.add(index) && !job.closed {
		l.onTaskCompleted(now, job)
	}
}

// completeGang marks all tasks of a gang as completed; it is called when one of
// them completes, and has no effect after the first. Tasks on machines stay assigned
// until their exit is reported, and never start again, even if they are lost.
func (l *taskLifecycle) completeGang(now time.Time, job *Job) {
	if job.IsComplete() && len(job.tasks) == job.assigned {
		return
	}
	for _, task := range job.tasksByIndex() {
		if task.phase == Unassigned {
			l.copyQueues.unschedule(task)
		}
	}
	for n := range job.Spec.Tasks {
		job.completed.add(n)
	}
	if !job.closed {
		l.onTaskCompleted(now, job)
	}
}

// releaseMachine releases all tasks assigned to a machine on which none of them
// can still run. See Scheduler.ReleaseMachine.
func (l *taskLifecycle) releaseMachine(now time.Time, machine *worker.Machine, reason string) {
	for info := l.capacity.info(machine); info.assigned.len() > 0; {
		l.releaseTask(now, info.assigned.first(), 0, reason)
	}
	machine.HasUnknownTasks = false
}
