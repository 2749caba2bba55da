package placement

import (
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// setPhase is the one place that changes a task's phase, and with it the
// accounts of its machine and team.
func (s *Scheduler) setPhase(now time.Time, task *Task, phase Phase, reason string) {
	previous := task.phase
	if previous == phase {
		return
	}
	wasAssigned, isAssigned := previous >= Dispatched && previous <= Stopping, phase >= Dispatched && phase <= Stopping
	machine := task.machine
	var info *machineInfo
	if wasAssigned || isAssigned {
		info = s.machineInfo(machine)
		s.markDirty(info)
	}
	switch {
	case !wasAssigned && isAssigned:
		machine.Allocated = machine.Allocated.Add(task.Job.need)
		if task.isBackup {
			machine.BackupAllocated = machine.BackupAllocated.Add(task.Job.need)
		}
		machine.ActiveCopies++
		s.ledger.AddUsed(task.Job.Spec.Team, task.Job.need)
		task.Job.assigned++
		info.assigned = append(info.assigned, task)
		task.dispatchedAt, task.runningSince, task.stage = now, time.Time{}, ""
	case wasAssigned && !isAssigned:
		machine.Allocated = machine.Allocated.Sub(task.Job.need)
		if task.isBackup {
			machine.BackupAllocated = machine.BackupAllocated.Sub(task.Job.need)
		}
		machine.ActiveCopies--
		if machine.ActiveCopies == 0 {
			machine.IdleSince = now
			machine.Allocated, machine.BackupAllocated = quota.Resources{}, quota.Resources{}
		}
		s.ledger.RemoveUsed(task.Job.Spec.Team, task.Job.need)
		task.Job.assigned--
		if i := slices.Index(info.assigned, task); i >= 0 {
			info.assigned = slices.Delete(info.assigned, i, i+1)
		}
		task.machine = nil
	}
	task.phase = phase
	s.log.Debug("task", "task", task.Name(), "attempt", task.attempt, "host", machine.Host, "from", previous.String(), "to", phase.String(), "spare", task.isBackup, "why", reason)
}

// dispatch puts a task's copy on a machine: the order goes out next.
func (s *Scheduler) dispatch(now time.Time, task *Task, machine *worker.Machine, attempt uint64, isBackup bool, reason string) {
	task.machine, task.attempt, task.isBackup = machine, attempt, isBackup
	task.reported, task.commandSent, task.unansweredCommands, task.commandSeq, task.incarnation, task.stopPending, task.stopGrace = false, false, 0, 0, 0, false, 0
	s.setPhase(now, task, Dispatched, reason)
	if task.Job.IsGang() || task.Job.IsService() {
		s.markUrgent(machine) // its mates, or its users, wait for it
	}
}

// nextAttemptID makes an attempt number that no earlier attempt of the job has: the
// tenure's token is in the high bits, so it grows without a write.
func (s *Scheduler) nextAttemptID(job *Job) uint64 {
	job.attemptSequence++
	if job.attemptSequence >= 1<<tuning.AttemptBits-tuning.AttemptReserve {
		s.AttemptNumbersExhausted = true
	}
	return s.token<<tuning.AttemptBits | job.attemptSequence&(1<<tuning.AttemptBits-1)
}

// stop tells a task on a machine to stop.
func (s *Scheduler) stop(now time.Time, task *Task, grace float64, reason string) {
	if task.phase == Stopping && grace >= task.stopGrace {
		return
	}
	task.stopGrace, task.stopPending = grace, true
	s.setPhase(now, task, Stopping, reason)
	s.markUrgent(task.machine)
}

// stopGrace is how long a job's running task is given to save.
func (j *Job) stopGrace() float64 {
	if j.Spec.CheckpointIntervalS <= 0 {
		return 0
	}
	return j.Spec.CheckpointSaveTimeS + tuning.CheckpointGrace.Seconds()
}

// preempt stops a task so that it can go on later; a gang stops as a whole.
func (s *Scheduler) preempt(now time.Time, task *Task, reason string) {
	if !task.Job.IsGang() {
		s.stop(now, task, task.Job.stopGrace(), reason)
		return
	}
	task.Job.aborting = true
	for _, member := range task.Job.tasksByIndex() {
		if member.phase == Dispatched || member.phase == Active {
			s.stop(now, member, task.Job.stopGrace(), reason)
		}
	}
}

// releaseTask takes a task off its machine; it may start again elsewhere.
func (s *Scheduler) releaseTask(now time.Time, task *Task, pause time.Duration, reason string) {
	job := task.Job
	wasBackup := task.isBackup
	wasStopping := task.phase == Stopping
	s.setPhase(now, task, Unassigned, reason)
	task.attempt = 0
	switch {
	case job.closed:
		s.withdrawCopies(task)
		delete(job.tasks, task.Index)
	case job.IsGang():
		s.withdrawCopies(task)
		delete(job.tasks, task.Index)
		job.returnToPending(task.Index, now.Add(pause))
		if !job.IsComplete() {
			s.abortGangAttempt(now, job, reason)
		}
	case wasBackup && task.primary != nil && wasStopping:
		// a spare that gave way: its main keeps its place, the spare waits
		// again until it has been stopped too often
		if task.backup == nil || task.backupStops >= s.Settings.DropThreshold {
			s.withdrawBackup(task)
		}
	default:
		s.withdrawCopies(task)
		delete(job.tasks, task.Index)
		job.returnToPending(task.Index, now.Add(pause))
	}
	s.removeIfUnassigned(job)
}

// abortGangAttempt ends a gang's attempt: whatever is left of it has to go before
// the next one.
func (s *Scheduler) abortGangAttempt(now time.Time, job *Job, reason string) {
	job.aborting = false
	for _, member := range job.tasksByIndex() {
		switch member.phase {
		case Unassigned:
			s.withdrawCopies(member)
			delete(job.tasks, member.Index)
			job.returnToPending(member.Index, now)
		case Dispatched, Active:
			job.aborting = true
			s.stop(now, member, 0, "attempt over: "+reason)
		case Stopping:
			job.aborting = true
		}
	}
}

// completeTask records a task's completion.
func (s *Scheduler) completeTask(now time.Time, task *Task) {
	job := task.Job
	if task.phase >= Dispatched && task.phase <= Stopping {
		if task.isBackup {
			s.Counters.BackupsCompleted++
		}
		job.succeededOn[task.machine.Host] = true
		if !task.runningSince.IsZero() && job.Spec.EstimatedRunTimeS > 0 && !job.IsGang() {
			ratio := now.Sub(task.runningSince).Seconds() / job.Spec.EstimatedRunTimeS
			previous, ok := s.runTimeRatio[job.Spec.Class]
			if !ok {
				previous = 1
			}
			s.runTimeRatio[job.Spec.Class] = previous + (ratio-previous)*tuning.RunTimeAverageWeight
		}
		s.setPhase(now, task, Completed, "done")
	} else {
		task.phase = Completed
	}
	s.withdrawCopies(task)
	delete(job.tasks, task.Index)
	if job.completed.add(task.Index) && !job.closed {
		s.onTaskCompleted(now, job)
	}
	s.removeIfUnassigned(job)
}

// ReleaseMachine gives up everything on a machine: its lease is surely over, its
// session is a new one, or its deletion was answered.
func (s *Scheduler) ReleaseMachine(now time.Time, machine *worker.Machine, reason string) {
	for info := s.machineInfo(machine); len(info.assigned) > 0; {
		s.releaseTask(now, info.assigned[0], 0, reason)
	}
	delete(s.strayTasks, machine)
	machine.HasUnknownTasks = false
}

// RemoveMachine drops a machine that is gone.
func (s *Scheduler) RemoveMachine(now time.Time, machine *worker.Machine) {
	s.ReleaseMachine(now, machine, "machine gone")
	s.clearQueues(now, machine)
	s.capacity.removeMachine(s.machineInfo(machine))
	delete(s.machines, machine)
}
