package placement

import (
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// ReconcileHeartbeat brings the scheduler up to date with what a machine has
// newly reported. The report came in a heartbeat, or else in the response to a
// direct command.
func (s *Scheduler) ReconcileHeartbeat(
	now time.Time, machine *worker.Machine, result worker.HeartbeatResult, fromHeartbeat bool,
) {
	info := s.capacity.info(machine)
	s.capacity.markDirty(info)
	if result == worker.HeartbeatNewIncarnation {
		s.tasks.releaseMachine(now, machine, "worker has a new incarnation")
		info.directAttempts = nil // commands to an earlier incarnation are void
		machine.Images = map[string]time.Time{}
	}
	reported := make(map[string]*wire.TaskStatus, len(machine.Tasks))
	for i := range machine.Tasks {
		status := &machine.Tasks[i]
		reported[status.Name] = status
	}
	from := report{machine: machine, heartbeat: fromHeartbeat}
	for _, task := range slices.Clone(info.assigned) {
		if task.machine == machine { // an earlier one may have taken its whole gang along
			s.applyAssigned(now, task, reported[task.Name()], from)
		}
	}
	s.applyReported(now, machine)
}

// applyAssigned acts on what a report shows of an assigned task.
func (s *Scheduler) applyAssigned(now time.Time, task *Task, reported *wire.TaskStatus, from report) {
	switch reconcileAssigned(task, reported, from) {
	case assignedInFlight:
	case assignedPresent:
		task.reported = true
		s.recordStage(now, task, reported)
	case assignedExited:
		task.reported = true
		s.handleExit(now, task, reported)
	case assignedLost:
		s.tasks.releaseTask(now, task, 0, "no longer reported")
	case assignedNeverStarted:
		s.tasks.releaseTask(now, task, 0, "never started")
	}
}

// recordStage records the state of a task that has not exited.
func (s *Scheduler) recordStage(now time.Time, task *Task, reported *wire.TaskStatus) {
	machine := task.machine
	if reported.State != wire.TaskFetching {
		machine.Images[task.Job.Spec.Image] = now
	}
	if reported.State == wire.TaskRunning && task.runningSince.IsZero() {
		task.runningSince = now
	}
	if task.stage != reported.State {
		s.log.Debug("task stage changed", "task", reported.Name, "attempt", reported.Attempt,
			"worker", machine.Host, "stage", reported.State)
	}
	task.stage = reported.State
	task.Job.recordHealthyRun(now, task)
	if task.phase == Dispatched {
		s.tasks.setPhase(now, task, Active, reported.State)
	}
}

// handleExit acts on a task's exit.
func (s *Scheduler) handleExit(now time.Time, task *Task, reported *wire.TaskStatus) {
	job, machine := task.Job, task.machine
	s.log.Debug("task exited", "task", reported.Name, "attempt", reported.Attempt, "worker", machine.Host,
		"reason", reported.ExitReason, "checkpoint_saved", reported.CheckpointSaved)
	switch reported.ExitReason {
	case wire.ExitDone:
		if job.IsService() {
			s.tasks.releaseTask(now, task, job.restartPause(now, task), "replica ended")
			return
		}
		s.tasks.completeTask(now, task)
		if job.IsGang() {
			s.tasks.completeGang(now, job)
		}
	case wire.ExitError:
		s.failures.record(now, machine, task)
		s.tasks.releaseTask(now, task, tuning.RetryInitial, reported.ExitReason)
	case wire.ExitInsufficientResources, wire.ExitOtherAttemptPresent, wire.ExitUnknownTask:
		s.log.Info("task start refused", "task", reported.Name, "attempt", reported.Attempt,
			"worker", machine.Host, "reason", reported.ExitReason)
		s.tasks.releaseTask(now, task, tuning.RefusedStartPause, reported.ExitReason)
	default:
		s.tasks.releaseTask(now, task, 0, reported.ExitReason)
	}
}

// applyReported acts on the tasks that a machine reports and that are not
// assigned to it: those that an earlier term started, and the remains of closed jobs.
func (s *Scheduler) applyReported(now time.Time, machine *worker.Machine) {
	machine.HasUnknownTasks = false
	for i := range machine.Tasks {
		reported := &machine.Tasks[i]
		job, index := s.jobs.ofTask(reported.Name)
		finding := reconcileReported(job, index, machine, reported)
		switch finding {
		case reportedExpected, reportedOver:
		case reportedCompleted:
			s.recordEarlierCompletion(now, job, index)
		case reportedAdoptable:
			s.adopt(now, job, index, machine, reported)
		case reportedStray, reportedUnknown:
			// commandsForReported has it stopped
			s.log.Info("unexpected task reported", "task", reported.Name, "attempt", reported.Attempt,
				"worker", machine.Host)
			machine.HasUnknownTasks = machine.HasUnknownTasks || finding == reportedUnknown
		}
	}
}

// recordEarlierCompletion records a completion that an earlier term did not.
func (s *Scheduler) recordEarlierCompletion(now time.Time, job *Job, index int) {
	task := job.tasks[index]
	if task != nil && task.phase.onMachine() {
		// a second copy of the completed task: it ends as a stray
		s.tasks.stop(now, task, 0, "completed elsewhere")
		s.tasks.markCompleted(now, job, index)
		return
	}
	if task == nil {
		task = &Task{Job: job, Index: index}
	}
	s.tasks.completeTask(now, task)
	if job.IsGang() {
		s.tasks.completeGang(now, job)
	}
}

// adopt takes over a task that an earlier term started.
func (s *Scheduler) adopt(now time.Time, job *Job, index int, machine *worker.Machine, reported *wire.TaskStatus) {
	task := job.tasks[index]
	if task == nil {
		task = job.addTask(index)
	}
	s.queues.withdrawCopies(task)
	s.tasks.dispatch(now, task, assignment{machine: machine, attempt: reported.Attempt}, "adopted")
	task.commandSent, task.reported = true, true
	s.recordStage(now, task, reported)
	if !job.IsGang() {
		return
	}
	switch {
	case job.attempt == 0 || job.assigned == 1:
		job.attempt = reported.Attempt
	case job.attempt != reported.Attempt:
		s.tasks.abortGangAttempt(now, job, "two attempts found")
	}
}
