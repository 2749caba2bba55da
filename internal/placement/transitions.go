package placement

import (
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// setPhase is the only place that changes the phase of a task that is or was
// on a machine, and with it the accounts of the machine, the job and the team.
func (s *Scheduler) setPhase(now time.Time, task *Task, phase Phase, reason string) {
	previous := task.phase
	if previous == phase {
		return
	}
	machine, job := task.machine, task.Job
	if previous.onMachine() || phase.onMachine() {
		s.markDirty(s.machineInfo(machine))
	}
	switch {
	case !previous.onMachine() && phase.onMachine():
		s.machineInfo(machine).addAssigned(task)
		s.ledger.AddUsed(job.Spec.Team, job.need)
		job.assigned++
		task.dispatchedAt, task.runningSince, task.stage = now, time.Time{}, ""
	case previous.onMachine() && !phase.onMachine():
		s.machineInfo(machine).removeAssigned(task)
		if machine.ActiveCopies == 0 {
			machine.IdleSince = now
		}
		s.ledger.RemoveUsed(job.Spec.Team, job.need)
		job.assigned--
		task.machine = nil
	}
	task.phase = phase
	s.log.Debug("task phase changed", "task", task.Name(), "attempt", task.attempt, "worker", machine.Host,
		"from", previous.String(), "to", phase.String(), "backup", task.isBackup, "reason", reason)
}

// dispatch assigns a task's copy to a machine. The command to run it goes out
// with the next message to the machine.
func (s *Scheduler) dispatch(now time.Time, task *Task, copied assignment, reason string) {
	task.assignment = copied
	s.setPhase(now, task, Dispatched, reason)
	if !task.Job.isArray() {
		s.markUrgent(task.machine) // the rest of the gang, or the service's users, wait for it
	}
}

// nextAttempt returns an attempt number that no earlier attempt of the job
// has: the term's token is in the high bits, so that numbers grow from term to
// term without any being stored.
func (s *Scheduler) nextAttempt(job *Job) uint64 {
	job.attemptSequence++
	if job.attemptSequence >= 1<<tuning.AttemptBits-tuning.AttemptReserve {
		s.AttemptNumbersExhausted = true
	}
	return s.token<<tuning.AttemptBits | job.attemptSequence&(1<<tuning.AttemptBits-1)
}

// stop has a task on a machine stopped, after at most grace seconds to save.
// An earlier stop can be shortened, but not extended.
func (s *Scheduler) stop(now time.Time, task *Task, grace float64, reason string) {
	if task.phase == Stopping && grace >= task.stopGrace {
		return
	}
	task.stopGrace, task.stopPending = grace, true
	s.setPhase(now, task, Stopping, reason)
	s.markUrgent(task.machine)
}

// preempt stops a task so that it can go on later from its checkpoint. A gang stops as a whole.
func (s *Scheduler) preempt(now time.Time, task *Task, reason string) {
	job := task.Job
	if !job.IsGang() {
		s.stop(now, task, job.stopGrace(), reason)
		return
	}
	job.aborting = true
	for _, member := range job.tasksByIndex() {
		if member.phase.stoppable() {
			s.stop(now, member, job.stopGrace(), reason)
		}
	}
}

// releaseTask records that a task's copy has ended without completing it. The
// task may start again after the pause.
func (s *Scheduler) releaseTask(now time.Time, task *Task, pause time.Duration, reason string) {
	job := task.Job
	preemptedBackup := task.isBackup && task.phase == Stopping && task.primary != nil
	s.setPhase(now, task, Unassigned, reason)
	task.attempt = 0
	switch {
	case job.closed:
		s.unschedule(task)
	case job.IsGang():
		s.returnToPending(task, now.Add(pause))
		if !job.IsComplete() {
			s.abortGangAttempt(now, job, reason)
		}
	case preemptedBackup:
		// its primary keeps its place; the backup waits again until it has
		// been preempted too often (the paper's drop threshold, section V)
		if task.backupStops >= s.Settings.DropThreshold {
			s.withdrawBackup(task)
		}
	default:
		s.returnToPending(task, now.Add(pause))
	}
	s.removeIfUnassigned(job)
}

// abortGangAttempt ends a gang's attempt: all of its tasks have to leave their
// machines before the next one.
func (s *Scheduler) abortGangAttempt(now time.Time, job *Job, reason string) {
	job.aborting = false
	for _, member := range job.tasksByIndex() {
		switch member.phase {
		case Unassigned:
			s.returnToPending(member, now)
		case Dispatched, Active:
			job.aborting = true
			s.stop(now, member, 0, "gang attempt aborted: "+reason)
		case Stopping:
			job.aborting = true
		}
	}
}

// completeTask records a task's completion.
func (s *Scheduler) completeTask(now time.Time, task *Task) {
	job := task.Job
	if task.phase.onMachine() {
		if task.isBackup {
			s.Counters.BackupsCompleted++
		}
		job.succeededOn[task.machine.Host] = true
		s.recordRunTime(now, task)
		s.setPhase(now, task, Completed, "completed")
	} else {
		task.phase = Completed
	}
	s.unschedule(task)
	s.markCompleted(now, job, task.Index)
	s.removeIfUnassigned(job)
}

// markCompleted enters a task among its job's completed ones.
func (s *Scheduler) markCompleted(now time.Time, job *Job, index int) {
	if job.completed.add(index) && !job.closed {
		s.onTaskCompleted(now, job)
	}
}

// completeGang completes a gang: once one of its tasks has completed, all
// have. Those whose own exit has not been reported stay on their machines
// until it is, but never start again, even when they are lost instead.
func (s *Scheduler) completeGang(now time.Time, job *Job) {
	for _, task := range job.tasksByIndex() {
		if task.phase == Unassigned {
			s.unschedule(task)
		}
	}
	for n := range job.Spec.Tasks {
		job.completed.add(n)
	}
	if !job.closed {
		s.onTaskCompleted(now, job)
	}
}

// ReleaseMachine releases everything on a machine on which nothing can run any
// more: its lease has expired, its worker has a new incarnation, or its
// deletion was confirmed.
func (s *Scheduler) ReleaseMachine(now time.Time, machine *worker.Machine, reason string) {
	for info := s.machineInfo(machine); len(info.assigned) > 0; {
		s.releaseTask(now, info.assigned[0], 0, reason)
	}
	machine.HasUnknownTasks = false
}

// RemoveMachine removes a machine whose deletion was confirmed.
func (s *Scheduler) RemoveMachine(now time.Time, machine *worker.Machine) {
	s.ReleaseMachine(now, machine, "machine deleted")
	s.clearQueues(now, machine)
	s.capacity.removeMachine(s.machineInfo(machine))
	delete(s.machines, machine)
}
