package placement

import (
	"time"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// MarkMachineChanged must be called after a change of a machine that did not
// come from the scheduler, such as a change of its state or its registration.
func (s *Scheduler) MarkMachineChanged(machine *worker.Machine) {
	s.capacity.markDirty(s.capacity.info(machine))
}

// ReleaseMachine releases all tasks assigned to a machine. The caller must have
// established that none of them can still run: the machine's lease has expired,
// its worker has a new incarnation, or its deletion is confirmed.
func (s *Scheduler) ReleaseMachine(now time.Time, machine *worker.Machine, reason string) {
	s.tasks.releaseMachine(now, machine, reason)
}

// RemoveMachine removes a machine whose deletion is confirmed. It releases the
// tasks assigned to the machine and clears its queues.
func (s *Scheduler) RemoveMachine(now time.Time, machine *worker.Machine) {
	s.tasks.releaseMachine(now, machine, "machine deleted")
	s.copyQueues.clearQueues(now, machine)
	s.capacity.removeMachine(s.capacity.info(machine))
}

// UrgentMachines returns the machines whose commands should be sent as direct commands
// instead of in the reply to their next heartbeat.
func (s *Scheduler) UrgentMachines() []*worker.Machine { return s.urgent.ready() }

// ReconcileHeartbeat reconciles the scheduler's state with a new status from a
// machine's worker. The registry must have applied the status before.
func (s *Scheduler) ReconcileHeartbeat(
	now time.Time, machine *worker.Machine, result worker.HeartbeatResult, source worker.StatusSource,
) {
	info := s.capacity.info(machine)
	s.capacity.markDirty(info)
	if result == worker.HeartbeatNewIncarnation {
		s.reconciler.releasePreviousIncarnation(now, info)
	}
	s.reconciler.applyStatus(now, info, statusUpdate{machine: machine, source: source})
}

// Commands dispatches queued copies that fit a machine and returns the commands
// to send to it now by the given channel.
func (s *Scheduler) Commands(now time.Time, machine *worker.Machine, channel Channel) []wire.Command {
	s.dispatcher.dispatchQueueHeads(now, machine)
	return s.commands.forMachine(machine, channel)
}

// StopCommandsForClosedJobs returns stop commands for the given tasks whose jobs
// are closed or unknown. Any controller that knows of the closure may send them
// at any time.
func (s *Scheduler) StopCommandsForClosedJobs(tasks []wire.TaskStatus) []wire.Command {
	return s.commands.stopsForClosedJobs(tasks)
}

// ResolveDirectCommands records that each of the given direct commands has
// either been executed or will never be.
func (s *Scheduler) ResolveDirectCommands(machine *worker.Machine, commands []wire.Command) {
	for _, command := range commands {
		job, index := s.jobs.findTask(command.Task)
		if command.Verb != wire.VerbRun || job == nil {
			continue
		}
		if task := job.tasks[index]; task.isAttemptOn(machine, command.Attempt) && task.unansweredCommands > 0 {
			task.unansweredCommands--
		}
	}
}

// RecordUnansweredCommands records that the given direct commands got no reply in time. The worker may execute
// them later, while its incarnation lasts.
func (s *Scheduler) RecordUnansweredCommands(machine *worker.Machine, commands []wire.Command) {
	for _, command := range commands {
		job, index := s.jobs.findTask(command.Task)
		if command.Verb != wire.VerbRun || job == nil {
			continue
		}
		if task := job.tasks[index]; task.isAttemptOn(machine, command.Attempt) {
			task.startTimedOut = task.unansweredCommands > 0
		}
	}
}

// HasUnansweredStart reports whether a machine was sent a run command that got no reply in time and whose attempt
// it has not reported.
func (s *Scheduler) HasUnansweredStart(machine *worker.Machine) bool {
	return s.capacity.info(machine).assigned.contains(func(task *Task) bool {
		return task.startTimedOut && !task.reported
	})
}

// MayStartAfterClose reports whether a machine whose lease lasts until the given
// time may execute a run command for a closed job after the job's termination
// deadline. An unanswered direct command may be executed minutes later.
func (s *Scheduler) MayStartAfterClose(machine *worker.Machine, until time.Time) bool {
	return s.capacity.info(machine).assigned.contains(func(task *Task) bool {
		inFlight := task.unansweredCommands > 0 && !task.reported
		return task.Job.closed && inFlight && until.After(task.Job.terminationDeadline)
	})
}

// OnlyUnconfirmedStops reports whether all tasks assigned to a machine are being
// stopped and were never reported by it.
func (s *Scheduler) OnlyUnconfirmedStops(machine *worker.Machine) bool {
	return !s.capacity.info(machine).assigned.contains(func(task *Task) bool {
		return task.phase != Stopping || task.reported
	})
}
