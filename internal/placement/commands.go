package placement

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// preemptBackups stops running spares on a machine until what lacks is covered.
func (s *Scheduler) preemptBackups(now time.Time, machine *worker.Machine, missing quota.Resources) {
	for _, task := range slices.Clone(s.machineInfo(machine).assigned) {
		if missing.CPUs <= 0 && missing.GPUs <= 0 && missing.MemGB <= 0 {
			return
		}
		if task.isBackup {
			if task.phase != Stopping {
				task.backupStops++
				s.Counters.BackupsPreempted++
				if task.backupStops >= s.Settings.DropThreshold {
					s.Counters.BackupsWithdrawn++
				}
				s.stop(now, task, task.Job.stopGrace(), "spare gives way")
			}
			missing = missing.Sub(task.Job.need)
		}
	}
}

// dispatchQueueHeads hands out what is at the head of a machine's queues: mains first, and
// spares only while no main waits.
func (s *Scheduler) dispatchQueueHeads(now time.Time, machine *worker.Machine) {
	info := s.machineInfo(machine)
	if len(info.primaryQueue)+len(info.backupQueue) == 0 || !machine.Schedulable(now) {
		return
	}
	free := machine.Available()
	for _, task := range slices.Clone(info.primaryQueue) {
		job := task.Job
		if task.primary != machine {
			continue
		}
		if job.IsGang() {
			free = free.Sub(job.need) // startGang hands these out
			continue
		}
		switch {
		case task.phase != Unassigned:
			// its own spare runs: that has to stop and be reported first
			if task.phase == Dispatched || task.phase == Active {
				task.backupStops++
				s.Counters.BackupsPreempted++
				s.stop(now, task, job.stopGrace(), "its main is at the head")
			}
		case !s.ledger.AdmitsStart(job.Spec.Team, job.need) || !job.zoneAllowed(machine.Zone, job.tasksByZone(false)):
		case free.Fits(job.need):
			s.Counters.PrimariesStarted++
			s.withdrawCopies(task)
			s.dispatch(now, task, machine, s.nextAttemptID(job), false, "main at the head")
		default:
			s.preemptBackups(now, machine, job.need.Sub(free))
		}
		free = free.Sub(job.need)
	}
	if len(info.primaryQueue) > 0 {
		return
	}
	stuckAfter := config.Seconds(s.platform.Workers.HeartbeatS * tuning.BackupStartHeartbeats)
	for _, task := range slices.Clone(info.backupQueue) {
		job := task.Job
		if task.backup != machine || task.phase != Unassigned || task.primary == nil || now.Sub(task.primaryQueuedAt) < stuckAfter || !free.Fits(job.need) ||
			// a main that can start at its next report would stop it at once
			task.primary.Schedulable(now) && task.primary.Available().Fits(job.need) ||
			!s.ledger.AdmitsReservation(job.Spec.Team, job.need) || !job.zoneAllowed(machine.Zone, job.tasksByZone(false)) {
			continue
		}
		s.Counters.BackupsStarted++
		s.dispatch(now, task, machine, s.nextAttemptID(job), true, "spare while no main waits")
		free = free.Sub(job.need)
	}
}

// Channel is the way by which commands reach a machine.
type Channel int

// The ways to a machine.
const (
	HeartbeatReply Channel = iota // in the answer to its report
	DirectCommand                 // as a direct command
)

// Commands lists what a machine is to be told now.
func (s *Scheduler) Commands(now time.Time, machine *worker.Machine, channel Channel) []wire.Command {
	s.dispatchQueueHeads(now, machine)
	var commands []wire.Command
	for i := range machine.Tasks {
		if len(commands) == tuning.MaxCommandsPerReply {
			return commands
		}
		commands = append(commands, s.commandsForReported(machine, &machine.Tasks[i])...)
	}
	for _, task := range s.machineInfo(machine).assigned {
		if len(commands) == tuning.MaxCommandsPerReply {
			return commands
		}
		commands = append(commands, s.commandsForDispatched(machine, task, channel)...)
	}
	return commands
}

// commandsForReported are the commands, at most one, for a task that its machine reports: one
// that is not expected there stops, one that has ended is taken off its reports.
func (s *Scheduler) commandsForReported(machine *worker.Machine, reported *wire.TaskStatus) []wire.Command {
	id, index, ok := wire.ParseTask(reported.Name)
	if s.unreadableJobs[id] {
		return nil
	}
	var job *Job
	if ok {
		if job = s.jobs[id]; job != nil && index >= job.Spec.Tasks {
			job = nil
		}
	}
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
	case task == nil || task.machine != machine || task.attempt != reported.Attempt:
		return []wire.Command{stopCommand(reported.Name, reported.Attempt, 0)}
	case task.phase == Stopping && (reported.State != wire.TaskSaving || task.stopGrace == 0):
		task.stopPending = false
		return []wire.Command{stopCommand(reported.Name, reported.Attempt, task.stopGrace)}
	}
	return nil
}

// reapable tells whether an exited task may be taken off its machine's reports: a
// completion stays there until it is kept elsewhere.
func (s *Scheduler) reapable(machine *worker.Machine, job *Job, index int, reported *wire.TaskStatus) bool {
	settled := job == nil || job.closed || reported.ExitReason != wire.ExitDone || job.IsService() || job.durablyCompleted.has(index)
	return settled && !s.machineInfo(machine).directAttempts[attemptKey{reported.Name, reported.Attempt}]
}

// commandsForDispatched are the commands, at most one, for a task that was handed out to a
// machine and that it has not reported yet.
func (s *Scheduler) commandsForDispatched(machine *worker.Machine, task *Task, channel Channel) []wire.Command {
	info := s.machineInfo(machine)
	switch {
	case task.phase == Dispatched && channel == DirectCommand && len(info.directAttempts) >= tuning.MaxDirectStarts:
		// goes out with the answer to the next report
	case task.phase == Dispatched:
		task.commandSent, task.incarnation = true, machine.Incarnation
		if channel == DirectCommand {
			if info.directAttempts == nil {
				info.directAttempts = map[attemptKey]bool{}
			}
			info.directAttempts[attemptKey{task.Name(), task.attempt}] = true
			task.unansweredCommands++
		} else {
			task.commandSeq = machine.Sequence
		}
		return []wire.Command{{Verb: wire.VerbRun, Task: task.Name(), Attempt: task.attempt}}
	case task.phase == Stopping && !task.reported && task.commandSent:
		// perhaps on its way: the stop follows it
		task.stopPending = false
		return []wire.Command{stopCommand(task.Name(), task.attempt, task.stopGrace)}
	}
	return nil
}

func stopCommand(task string, attempt uint64, grace float64) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: task, Attempt: attempt, GracePeriodS: &grace}
}

// StopCommandsForClosedJobs are the stops for those of a machine's tasks whose jobs are over. They may be
// given at any time, by whoever knows of the end.
func (s *Scheduler) StopCommandsForClosedJobs(tasks []wire.TaskStatus) []wire.Command {
	var commands []wire.Command
	for _, reported := range tasks {
		id, _, ok := wire.ParseTask(reported.Name)
		if !ok || reported.State == wire.TaskExited || s.unreadableJobs[id] || len(commands) == tuning.MaxCommandsPerReply {
			continue
		}
		if job := s.jobs[id]; job == nil || job.closed {
			commands = append(commands, stopCommand(reported.Name, reported.Attempt, 0))
		}
	}
	return commands
}

// MayStartAfterClose tells whether a closed job's start may still reach a machine when none of
// its tasks may be left any more, if the machine's lease lasts until then. Direct
// commands that were not answered may be carried out minutes later.
func (s *Scheduler) MayStartAfterClose(machine *worker.Machine, until time.Time) bool {
	return slices.ContainsFunc(s.machineInfo(machine).assigned, func(task *Task) bool {
		return task.Job.closed && task.unansweredCommands > 0 && !task.reported && until.After(task.Job.tasksGoneBy)
	})
}

// SettleDirectCommands settles a direct command: executed or surely not.
func (s *Scheduler) SettleDirectCommands(machine *worker.Machine, commands []wire.Command) {
	for _, task := range s.machineInfo(machine).assigned {
		for _, command := range commands {
			if command.Verb == wire.VerbRun && command.Attempt == task.attempt && command.Task == task.Name() && task.unansweredCommands > 0 {
				task.unansweredCommands--
			}
		}
	}
}

// OnlyUnconfirmedStops tells whether all that may be on a machine are tasks to be stopped
// that it has never reported.
func (s *Scheduler) OnlyUnconfirmedStops(machine *worker.Machine) bool {
	for _, task := range s.machineInfo(machine).assigned {
		if task.phase != Stopping || task.reported {
			return false
		}
	}
	return true
}

// UrgentMachines lists the machines that should be told at once rather than with the
// answer to their next report.
func (s *Scheduler) UrgentMachines(now time.Time) []*worker.Machine {
	var machines []*worker.Machine
	s.urgentMachines = slices.DeleteFunc(s.urgentMachines, func(info *machineInfo) bool {
		pending, ready := false, false
		for _, task := range info.assigned {
			switch {
			case task.phase == Dispatched && !task.commandSent && (task.Job.IsGang() || task.Job.IsService()) && len(info.directAttempts) < tuning.MaxDirectStarts:
				pending, ready = true, true
			case task.phase == Stopping && task.stopPending && !task.Job.closed:
				pending, ready = true, ready || task.commandSent
			}
		}
		if info.urgent = pending; ready && info.machine.State == worker.Up && !info.machine.CommandInFlight && info.machine.Registered {
			machines = append(machines, info.machine)
		}
		return !pending
	})
	return machines
}
