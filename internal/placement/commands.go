package placement

import (
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Channel identifies the path by which commands are sent to a machine.
type Channel int

// The channels to a machine.
const (
	HeartbeatReply Channel = iota // reply to a heartbeat of the machine
	DirectCommand                 // request that the controller sends to the machine
)

// commandBuilder builds the commands for machines from the state of their tasks.
type commandBuilder struct {
	capacity *capacityIndex
	jobs     *jobTable
}

// forMachine returns the commands to send to a machine now by the given channel.
func (b *commandBuilder) forMachine(machine *worker.Machine, channel Channel) []wire.Command {
	var commands []wire.Command
	for i := range machine.Tasks {
		if len(commands) >= tuning.MaxCommandsPerReply {
			return commands
		}
		commands = append(commands, b.forReported(machine, &machine.Tasks[i])...)
	}
	for task := range b.capacity.info(machine).assigned.all() {
		if len(commands) >= tuning.MaxCommandsPerReply {
			return commands
		}
		commands = append(commands, b.forAssigned(task, channel)...)
	}
	return commands
}

// forReported returns at most one command for a task that a machine reports: a
// stop for an unexpected or stopping attempt, a reap for an exited one.
func (b *commandBuilder) forReported(machine *worker.Machine, reported *wire.TaskStatus) []wire.Command {
	id, _, _ := wire.ParseTaskName(reported.Name)
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
// It returns false for a nil task.
func (t *Task) isAttemptOn(machine *worker.Machine, attempt uint64) bool {
	return t != nil && t.machine == machine && t.attempt == attempt
}

// reapable reports whether a machine may discard an exited task. A completion
// must stay in the machine's heartbeats until its outcome is durable.
func (b *commandBuilder) reapable(machine *worker.Machine, job *Job, index int, reported *wire.TaskStatus) bool {
	completion := job != nil && !job.closed && !job.IsService() && reported.ExitReason == wire.ExitDone
	if completion && !job.durablyCompleted.has(index) {
		return false
	}
	return !b.capacity.info(machine).directAttempts[attemptKey{reported.Name, reported.Attempt}]
}

// forAssigned returns the commands for a task that is assigned to a machine: a
// run if it is dispatched, a stop if it is stopping and was never reported.
func (b *commandBuilder) forAssigned(task *Task, channel Channel) []wire.Command {
	info := b.capacity.info(task.machine)
	switch {
	case task.phase == Dispatched && channel == DirectCommand && len(info.directAttempts) >= tuning.MaxDirectStarts:
		return nil // sent in the reply to the next heartbeat
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
		// The run command may still be in flight, so the stop is sent after it.
		task.stopPending = false
		if task.startTimedOut && !task.Job.closed && channel == HeartbeatReply {
			return startAndStop(task)
		}
		return []wire.Command{stopCommand(task.Name(), task.attempt, task.gracePeriodS)}
	}
	return nil
}

// startAndStop returns commands that make a machine list an attempt as exited. The machine ignores a run command
// for an attempt that it lists, so that the attempt has ended even if an earlier run command, which got no
// reply, is executed later. Such an attempt is not reaped; see directCommandState.
func startAndStop(task *Task) []wire.Command {
	return []wire.Command{
		{Verb: wire.VerbRun, Task: task.Name(), Attempt: task.attempt},
		stopCommand(task.Name(), task.attempt, 0),
	}
}

// stopCommand returns a command that stops an attempt after at most
// gracePeriodS seconds for saving a checkpoint.
func stopCommand(task string, attempt uint64, gracePeriodS float64) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: task, Attempt: attempt, GracePeriodS: &gracePeriodS}
}

// stopsForClosedJobs returns stop commands for the given tasks whose jobs are
// closed or unknown.
func (b *commandBuilder) stopsForClosedJobs(tasks []wire.TaskStatus) []wire.Command {
	var commands []wire.Command
	for _, reported := range tasks {
		id, _, ok := wire.ParseTaskName(reported.Name)
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
