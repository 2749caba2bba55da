package placement

import (
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Channel is the way by which commands reach a machine.
type Channel int

// The channels to a machine.
const (
	HeartbeatReply Channel = iota // in the reply to its heartbeat
	DirectCommand                 // in a direct request
)

// Commands dispatches what is at the heads of a machine's queues and returns
// the commands that the machine should get now, for sending by a channel.
func (s *Scheduler) Commands(now time.Time, machine *worker.Machine, channel Channel) []wire.Command {
	s.dispatchQueueHeads(now, machine)
	var commands []wire.Command
	for i := range machine.Tasks {
		if len(commands) == tuning.MaxCommandsPerReply {
			return commands
		}
		commands = append(commands, s.commandsForReported(machine, &machine.Tasks[i])...)
	}
	for _, task := range s.capacity.info(machine).assigned {
		if len(commands) == tuning.MaxCommandsPerReply {
			return commands
		}
		commands = append(commands, s.commandsForAssigned(task, channel)...)
	}
	return commands
}

// commandsForReported returns the commands, at most one, for a task that its
// machine reports: one that should not be there is stopped, one that has exited
// is reaped.
func (s *Scheduler) commandsForReported(machine *worker.Machine, reported *wire.TaskStatus) []wire.Command {
	id, _, _ := wire.ParseTask(reported.Name)
	if s.jobs.unreadable[id] {
		return nil
	}
	job, index := s.jobs.ofTask(reported.Name)
	if reported.State == wire.TaskExited {
		if s.reapable(machine, job, index, reported) {
			return []wire.Command{{Verb: wire.VerbReap, Task: reported.Name, Attempt: reported.Attempt}}
		}
		return nil
	}
	var task *Task
	if job != nil {
		task = job.tasks[index]
	}
	switch {
	case !task.isAttemptOn(machine, reported.Attempt):
		return []wire.Command{stopCommand(reported.Name, reported.Attempt, 0)}
	case task.phase == Stopping && (reported.State != wire.TaskSaving || task.stopGrace == 0):
		task.stopPending = false
		return []wire.Command{stopCommand(reported.Name, reported.Attempt, task.stopGrace)}
	}
	return nil
}

// isAttemptOn reports whether an attempt of the task is expected on a machine.
// No attempt of a nil task is.
func (t *Task) isAttemptOn(machine *worker.Machine, attempt uint64) bool {
	return t != nil && t.machine == machine && t.attempt == attempt
}

// reapable reports whether a machine may forget an exited task: a completion
// stays in its heartbeats until the outcome is durable.
func (s *Scheduler) reapable(machine *worker.Machine, job *Job, index int, reported *wire.TaskStatus) bool {
	completion := job != nil && !job.closed && !job.IsService() && reported.ExitReason == wire.ExitDone
	if completion && !job.durablyCompleted.has(index) {
		return false
	}
	return !s.capacity.info(machine).directAttempts[attemptKey{reported.Name, reported.Attempt}]
}

// commandsForAssigned returns the commands, at most one, for a task that is
// assigned to a machine and that the machine has not reported yet.
func (s *Scheduler) commandsForAssigned(task *Task, channel Channel) []wire.Command {
	info := s.capacity.info(task.machine)
	switch {
	case task.phase == Dispatched && channel == DirectCommand && len(info.directAttempts) >= tuning.MaxDirectStarts:
		return nil // goes out in the reply to the next heartbeat
	case task.phase == Dispatched:
		task.commandSent = true
		if channel == DirectCommand {
			info.recordDirectStart(attemptKey{task.Name(), task.attempt})
			task.unansweredCommands++
		} else {
			task.commandSeq = info.machine.Sequence
		}
		return []wire.Command{{Verb: wire.VerbRun, Task: task.Name(), Attempt: task.attempt}}
	case task.phase == Stopping && !task.reported && task.commandSent:
		// the command to run it may be on its way: the stop follows it
		task.stopPending = false
		return []wire.Command{stopCommand(task.Name(), task.attempt, task.stopGrace)}
	}
	return nil
}

// stopCommand stops an attempt, with so many seconds to save.
func stopCommand(task string, attempt uint64, grace float64) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: task, Attempt: attempt, GracePeriodS: &grace}
}

// StopCommandsForClosedJobs returns the stops for those of a machine's tasks
// whose jobs are closed. They may be given at any time, by any controller that
// knows of the closure.
func (s *Scheduler) StopCommandsForClosedJobs(tasks []wire.TaskStatus) []wire.Command {
	var commands []wire.Command
	for _, reported := range tasks {
		id, _, ok := wire.ParseTask(reported.Name)
		if !ok || reported.State == wire.TaskExited || s.jobs.unreadable[id] {
			continue
		}
		if len(commands) == tuning.MaxCommandsPerReply {
			break
		}
		if job := s.jobs.byID[id]; job == nil || job.closed {
			commands = append(commands, stopCommand(reported.Name, reported.Attempt, 0))
		}
	}
	return commands
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
