package placement

import (
	"slices"
	"time"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// MarkMachineChanged notes a change of a machine that the scheduler did not
// make itself, such as one of its state or its registration.
func (s *Scheduler) MarkMachineChanged(machine *worker.Machine) {
	s.capacity.markDirty(s.capacity.info(machine))
}

// ReleaseMachine releases everything on a machine on which nothing can run any
// more: its lease has expired, its worker has a new incarnation, or its
// deletion was confirmed.
func (s *Scheduler) ReleaseMachine(now time.Time, machine *worker.Machine, reason string) {
	s.tasks.releaseMachine(now, machine, reason)
}

// RemoveMachine removes a machine whose deletion was confirmed.
func (s *Scheduler) RemoveMachine(now time.Time, machine *worker.Machine) {
	s.tasks.releaseMachine(now, machine, "machine deleted")
	s.queues.clearQueues(now, machine)
	s.capacity.removeMachine(s.capacity.info(machine))
}

// UrgentMachines lists the machines that should get commands directly, rather
// than in the reply to their next heartbeat.
func (s *Scheduler) UrgentMachines() []*worker.Machine { return s.urgent.ready() }

// ReconcileHeartbeat brings the scheduler up to date with the status that a
// machine's worker has newly sent, and that the registry has applied.
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

// Commands dispatches what is at the heads of a machine's queues and returns
// the commands that the machine should get now, for sending by a channel.
func (s *Scheduler) Commands(now time.Time, machine *worker.Machine, channel Channel) []wire.Command {
	s.dispatcher.dispatchQueueHeads(now, machine)
	return s.commands.forMachine(machine, channel)
}

// StopCommandsForClosedJobs returns the stops for those of a machine's tasks
// whose jobs are closed. They may be given at any time, by any controller that
// knows of the closure.
func (s *Scheduler) StopCommandsForClosedJobs(tasks []wire.TaskStatus) []wire.Command {
	return s.commands.stopsForClosedJobs(tasks)
}

// SettleDirectCommands records that direct commands have been executed or
// surely will not be.
func (s *Scheduler) SettleDirectCommands(machine *worker.Machine, commands []wire.Command) {
	for _, task := range s.capacity.info(machine).assigned {
		for _, command := range commands {
			if command.Verb == wire.VerbRun && command.Attempt == task.attempt && command.Task == task.Name() &&
				task.unansweredCommands > 0 {
				task.unansweredCommands--
			}
		}
	}
}

// MayStartAfterClose reports whether a command to run a task of a closed job
// may still be executed on a machine after the time by which none of the job's
// tasks may be left, if the machine's lease lasts until then. A direct command
// that was not answered may be executed minutes later.
func (s *Scheduler) MayStartAfterClose(machine *worker.Machine, until time.Time) bool {
	return slices.ContainsFunc(s.capacity.info(machine).assigned, func(task *Task) bool {
		inFlight := task.unansweredCommands > 0 && !task.reported
		return task.Job.closed && inFlight && until.After(task.Job.tasksGoneBy)
	})
}

// OnlyUnconfirmedStops reports whether all tasks that may be on a machine are
// being stopped and were never reported.
func (s *Scheduler) OnlyUnconfirmedStops(machine *worker.Machine) bool {
	return !slices.ContainsFunc(s.capacity.info(machine).assigned, func(task *Task) bool {
		return task.phase != Stopping || task.reported
	})
}
