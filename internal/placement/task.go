package placement

import (
	"time"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Phase is the state of a task's dispatched copy. At most one copy of a task
// is dispatched at any time; copies that wait in queues have no phase.
type Phase int

// The phases of a task.
const (
	// Unassigned: on no machine.
	Unassigned Phase = iota
	// Dispatched: assigned to a machine that has not reported it yet.
	Dispatched
	// Active: reported by its machine.
	Active
	// Stopping: being stopped; its end has not been confirmed yet.
	Stopping
	// Completed: has completed.
	Completed
)

func (p Phase) String() string {
	return [...]string{"unassigned", "dispatched", "active", "stopping", "completed"}[p]
}

// onMachine reports whether a copy may be on a machine.
func (p Phase) onMachine() bool { return p == Dispatched || p == Active || p == Stopping }

// stoppable reports whether a copy may be on a machine and has not been told to stop.
func (p Phase) stoppable() bool { return p == Dispatched || p == Active }

// Task is a task of which copies are queued or one is on a machine.
type Task struct {
	Job   *Job
	Index int // within the job
	phase Phase
	assignment
	queuedCopies
}

// assignment is the dispatched copy of a task: where it is, and what is known of it there.
type assignment struct {
	machine       *worker.Machine // nil while the task is on no machine
	attempt       uint64
	isBackup      bool
	dispatchedAt  time.Time
	runningSince  time.Time // when it was first reported running; zero: not yet
	reportedState string    // the state reported last
	commandDelivery
	gracePeriodS float64 // seconds that the stop gives it to save
	stopPending  bool    // a stop is to be sent directly
}

// commandDelivery tells how far the command to run a copy has come.
type commandDelivery struct {
	reported           bool   // a heartbeat has shown this attempt
	commandSent        bool   // the command has been sent at least once
	commandSeq         uint64 // the newest heartbeat whose reply carried the command
	unansweredCommands int    // direct requests with the command that were not answered
}

// queuedCopies is where a task's copies wait, and the history of its backup.
type queuedCopies struct {
	primary           *worker.Machine // nil: not queued
	primaryQueuedAt   time.Time
	backup            *worker.Machine // nil: not queued
	backupPreemptions int             // how often the backup was preempted
}

// Name returns the task's name on the wire.
func (t *Task) Name() string { return wire.TaskName(t.Job.Spec.ID, t.Index) }
