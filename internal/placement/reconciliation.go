package placement

import (
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// report is what a machine has reported, and the message in which it did.
type statusUpdate struct {
	machine *worker.Machine
	source  worker.StatusSource
}

// assignedFinding is what a report shows of a task that is assigned to the machine.
type assignedFinding int

const (
	// assignedInFlight: not reported, but the command to run it may still arrive.
	assignedInFlight assignedFinding = iota
	// assignedPresent: reported, and has not exited.
	assignedPresent
	// assignedExited: reported as exited.
	assignedExited
	// assignedLost: reported earlier, and not any more.
	assignedLost
	// assignedNeverStarted: was to be stopped, and surely was never started.
	assignedNeverStarted
)

// reconcileAssigned compares what is known of a task that is assigned to a
// machine with what the machine reports under the task's name; nil if nothing.
func reconcileAssigned(known *Task, reported *wire.TaskStatus, from statusUpdate) assignedFinding {
	if reported != nil && reported.Attempt == known.attempt {
		if reported.State == wire.TaskExited {
			return assignedExited
		}
		return assignedPresent
	}
	switch {
	case known.reported:
		return assignedLost
	case known.phase == Stopping && !known.mayArrive(from):
		return assignedNeverStarted
	}
	return assignedInFlight
}

// mayArrive reports whether the command to run a copy that the machine has
// never reported may still be executed there: it may be in a direct request
// that nobody answered, or in the reply to the newest heartbeat. A later
// heartbeat shows that the worker did not act on that reply.
func (d *commandDelivery) mayArrive(from statusUpdate) bool {
	switch {
	case d.unansweredCommands > 0:
		return true
	case !d.commandSent:
		return false
	}
	seenSince := from.source == worker.FromHeartbeat && (d.commandSeq == 0 || from.machine.Sequence > d.commandSeq)
	return !seenSince
}

// reportedFinding is what is known of a task that a machine reports.
type reportedFinding int

const (
	// reportedExpected: the attempt that is assigned to the machine.
	reportedExpected reportedFinding = iota
	// reportedOver: has exited, and nothing follows from it.
	reportedOver
	// reportedCompleted: a completion that is not recorded yet.
	reportedCompleted
	// reportedAdoptable: runs, as an earlier term started it, while no copy is dispatched.
	reportedAdoptable
	// reportedStray: runs although its job, or another copy, rules that out.
	reportedStray
	// reportedUnknown: runs, and belongs to no known job.
	reportedUnknown
)

// reconcileReported compares a task that a machine reports with what is known
// of it: its job, nil if there is none, and its index there.
func reconcileReported(job *Job, index int, machine *worker.Machine, reported *wire.TaskStatus) reportedFinding {
	exited := reported.State == wire.TaskExited
	if job == nil {
		if exited {
			return reportedOver
		}
		return reportedUnknown
	}
	task := job.tasks[index]
	completed := job.completed.has(index)
	switch {
	case task.isAttemptOn(machine, reported.Attempt):
		return reportedExpected
	case exited && reported.ExitReason == wire.ExitDone && !job.IsService() && !completed:
		return reportedCompleted
	case exited:
		return reportedOver
	case !job.closed && !completed && (task == nil || task.phase == Unassigned):
		return reportedAdoptable
	}
	return reportedStray
}
