package placement

import (
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// statusUpdate identifies a machine with a new status and the kind of message that
// carried the status.
type statusUpdate struct {
	machine *worker.Machine
	source  worker.StatusSource
}

// assignedTaskClass classifies a task that is assigned to a machine, by the machine's
// newest status.
type assignedTaskClass int

const (
	// assignedInFlight means that the task is not reported, but its run command may still be executed.
	assignedInFlight assignedTaskClass = iota
	// assignedPresent means that the task is reported and has not exited.
	assignedPresent
	// assignedExited means that the task is reported as exited.
	assignedExited
	// assignedLost means that the task was reported before and is no longer.
	assignedLost
	// assignedNeverStarted means that the task is stopping and its run command can no longer be executed.
	assignedNeverStarted
)

// reconcileAssigned compares an assigned task with the status that its machine reports
// under the task's name, nil if there is none.
func reconcileAssigned(known *Task, reported *wire.TaskStatus, update statusUpdate) assignedTaskClass {
	if reported != nil && reported.Attempt == known.attempt {
		if reported.State == wire.TaskExited {
			return assignedExited
		}
		return assignedPresent
	}
	switch {
	case known.reported:
		return assignedLost
	case known.phase == Stopping && !known.runCommandInFlight(update):
		return assignedNeverStarted
	}
	return assignedInFlight
}

// runCommandInFlight reports whether the run command of a copy that was never reported
// may still be executed. The run command is in flight in an unanswered direct command, or
// in the reply to a heartbeat until a later heartbeat shows that the worker did not
// execute it.
func (d *commandDelivery) runCommandInFlight(update statusUpdate) bool {
	switch {
	case d.unansweredCommands > 0:
		return true
	case !d.commandSent:
		return false
	}
	ruledOut := update.source == worker.FromHeartbeat &&
		(d.commandSeq == 0 || update.machine.Sequence > d.commandSeq)
	return !ruledOut
}

// reportedTaskClass classifies a task that a machine reports, by the scheduler's state
// of its job and of the task with that index.
type reportedTaskClass int

const (
	// reportedExpected means that the attempt is the one assigned to the machine.
	reportedExpected reportedTaskClass = iota
	// reportedFinished means that the task has exited and requires no action.
	reportedFinished
	// reportedCompleted means that the task has completed, which is not recorded yet.
	reportedCompleted
	// reportedAdoptable means that the task runs, an earlier term started it, and no copy is dispatched.
	reportedAdoptable
	// reportedObsolete means that the task runs although its job is closed, it has completed, or
	// another copy is assigned.
	reportedObsolete
	// reportedUnknownJob means that the task runs, but its job is unknown.
	reportedUnknownJob
)

// reconcileReported compares a reported task with the scheduler's state of its job, nil
// if the job is unknown, and of the task with that index.
func reconcileReported(job *Job, index int, machine *worker.Machine, reported *wire.TaskStatus) reportedTaskClass {
	exited := reported.State == wire.TaskExited
	if job == nil {
		if exited {
			return reportedFinished
		}
		return reportedUnknownJob
	}
	task := job.tasks[index]
	completed := job.completed.has(index)
	switch {
	case task.isAttemptOn(machine, reported.Attempt):
		return reportedExpected
	case exited && reported.ExitReason == wire.ExitDone && !job.IsService() && !completed:
		return reportedCompleted
	case exited:
		return reportedFinished
	case !job.closed && !completed && (task == nil || task.phase == Unassigned):
		return reportedAdoptable
	}
	return reportedObsolete
}
