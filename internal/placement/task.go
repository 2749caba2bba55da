package placement

import (
	"time"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Phase is the lifecycle state of a task. At most one copy of a task is assigned to
// a machine at any time. Queueing a copy does not change the phase: a backup may run
// while the primary of its task is queued.
type Phase int

// The phases of a task.
const (
	// Unassigned means that no copy of the task is assigned to a machine. Copies may be queued.
	Unassigned Phase = iota
	// Dispatched means that a copy is assigned to a machine that has not reported it yet.
	Dispatched
	// Active means that the machine has reported the assigned copy.
	Active
	// Stopping means that the assigned copy is being stopped and its exit is not confirmed yet.
	Stopping
	// Completed means that the task has completed. It is the final phase.
	Completed
)

func (p Phase) String() string {
	return [...]string{"unassigned", "dispatched", "active", "stopping", "completed"}[p]
}

// onMachine reports whether a copy may be on a machine, and so holds resources there.
func (p Phase) onMachine() bool { return p == Dispatched || p == Active || p == Stopping }

// stoppable reports whether a copy may be on a machine and is not being stopped yet.
func (p Phase) stoppable() bool { return p == Dispatched || p == Active }

// Task is a scheduled task: copies of it are queued, one copy is assigned to a machine, or both.
type Task struct {
	Job   *Job
	Index int // within the job, from 0
	phase Phase
	assignment
	queuedCopies
	positions      [listKinds]int // in the lists of machines
	countedRunning bool           // the job counts the task as running
}

// assignment describes the copy of a task that is assigned to a machine, and its last known
// state there.
type assignment struct {
	machine           *worker.Machine // nil while no copy is on a machine
	zone              string          // zone of machine when the copy was assigned
	attempt           uint64
	isBackup          bool
	dispatchedAt      time.Time
	runningSince      time.Time // time of the first report that the copy runs; zero before that
	lastReportedState string    // wire state in the last report of the machine; "" before the first
	commandDelivery
	gracePeriodS float64 // seconds that the stop leaves for saving a checkpoint
	stopPending  bool    // a stop command has to be sent
}

// commandDelivery tracks the delivery of the run command of a copy.
type commandDelivery struct {
	reported           bool   // the machine has reported the attempt
	commandSent        bool   // the run command has been sent at least once, by any channel
	commandSeq         uint64 // sequence number of the last heartbeat whose reply carried the run command
	unansweredCommands int    // direct commands that carried the run command and whose outcome is unknown
	startTimedOut      bool   // one of unansweredCommands got no reply in time; it may be executed later
}

// queuedCopies records the machines at which a task's copies are queued.
type queuedCopies struct {
	primary           *worker.Machine // nil if the primary is not queued
	primaryZone       string          // zone of primary when the copy was queued
	primaryQueuedAt   time.Time
	backup            *worker.Machine // nil if the backup is not queued
	backupPreemptions int
}

// Name returns the task's name in the worker protocol.
func (t *Task) Name() string { return wire.TaskName(t.Job.Spec.ID, t.Index) }
