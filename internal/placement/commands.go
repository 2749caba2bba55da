package placement

import (
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

// commandBuilder makes the commands for machines.
type commandBuilder struct {
	capacity *capacityIndex
	jobs     *jobTable
}

// forMachine returns the commands that a machine should get now, for sending by a channel.
func (b *commandBuilder) forMachine(machine *worker.Machine, channel Channel) []wire.Command {
	var commands []wire.Command
	for i := range machine.Tasks {
		if len(commands) == tuning.MaxCommandsPerReply {
			return commands
		}
		commands = append(commands, b.forReported(machine, &machine.Tasks[i])...)
	}
	for _, task := range b.capacity.info(machine).assigned {
		if len(commands) == tuning.MaxCommandsPerReply {
			return commands
		}
		commands = append(commands, b.forAssigned(task, channel)...)
	}
	return commands
}

// forReported returns the commands, at most one, for a task that its
// machine reports: one that should not be there is stopped, one that has exited
// is reaped.
func (b *commandBuilder) forReported(machine *worker.Machine, reported *wire.TaskStatus) []wire.Command {
	id, _, _ := wire.ParseTask(reported.Name)
	if b.jobs.unreadable[id] {
		return nil
	}
	job, index := b.jobs.findTask(reported.Name)
	if reported.State == wire.TaskExited {
		if b.reapable(machine, job, index, reported) {
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
	case task.phase == Stopping && (reported.State != wire.TaskSaving || task.gracePeriodS == 0):
		task.stopPending = false
		return []wire.Command{stopCommand(reported.Name, reported.Attempt, task.gracePeriodS)}
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
func (b *commandBuilder) reapable(machine *worker.Machine, job *Job, index int, reported *wire.TaskStatus) bool {
	completion := job != nil && !job.closed && !job.IsService() && reported.ExitReason == wire.ExitDone
	if completion && !job.durablyCompleted.has(index) {
		return false
	}
	return !b.capacity.info(machine).directAttempts[attemptKey{reported.Name, reported.Attempt}]
}

// forAssigned returns the commands, at most one, for a task that is
// assigned to a machine and that the machine has not reported yet.
func (b *commandBuilder) forAssigned(task *Task, channel Channel) []wire.Command {
	info := b.capacity.info(task.machine)
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
		return []wire.Command{stopCommand(task.Name(), task.attempt, task.gracePeriodS)}
	}
	return nil
}

// stopCommand stops an attempt, with so many seconds to save.
func stopCommand(task string, attempt uint64, grace float64) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: task, Attempt: attempt, GracePeriodS: &grace}
}

// stopsForClosedJobs returns the stops for those of the given tasks whose jobs are closed.
func (b *commandBuilder) stopsForClosedJobs(tasks []wire.TaskStatus) []wire.Command {
	var commands []wire.Command
	for _, reported := range tasks {
		id, _, ok := wire.ParseTask(reported.Name)
		if !ok || reported.State == wire.TaskExited || b.jobs.unreadable[id] {
			continue
		}
		if len(commands) == tuning.MaxCommandsPerReply {
			break
		}
		if job := b.jobs.byID[id]; job == nil || job.closed {
			commands = append(commands, stopCommand(reported.Name, reported.Attempt, 0))
		}
	}
	return commands
}
