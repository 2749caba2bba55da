// Package wire holds the messages of the service's outside interfaces: to users, workers, the
// cloud and the state service.
//
// It is the edge where the protocol's words are mapped to the standard ones: Go names are the
// field's (token, incarnation, task, zone, spot), and the protocol's words stand in the JSON tags
// and in the values of constants only. Code outside this package uses the Go names. Tags and values
// are fixed: other programs and earlier versions read them. Receivers ignore fields they do not
// know; a field that may be null may also be omitted.
//
// Units: names that end in S are seconds, in Ms milliseconds, in Gb gigabytes. Vcpus, Gpus and
// amounts of memory need not be whole numbers. Prices are per hour of a machine.
package wire

// Shapes of a job.
const (
	ShapeBatch = "batch" // independent tasks, each runs to completion (a job array)
	ShapeGang  = "gang"  // all tasks run at the same time, or none does
	// ShapeService is a service: its tasks run until its user cancels it.
	// The protocol's pages do not list it, but its users submit it.
	ShapeService = "standing"
)

// KnownShape reports whether a shape is one of those that this version knows.
func KnownShape(shape string) bool {
	return shape == ShapeBatch || shape == ShapeGang || shape == ShapeService
}

// States of a job as its user sees them.
const (
	JobPending   = "pending" // no task runs
	JobRunning   = "running"
	JobDone      = "done" // all tasks have completed; final
	JobCancelled = "withdrawn"
)

// States of a task as its worker reports them.
const (
	TaskFetching = "fetching" // waits for its image
	TaskWaiting  = "waiting"  // of a gang: waits for the other tasks of its attempt
	TaskRunning  = "running"  // also while a gang that lost a task or is being stopped ends
	TaskSaving   = "saving"   // saves a checkpoint after a stop command
	TaskExited   = "exited"   // with an exit reason
)

// Exit reasons of a task. The last three refuse the start of a task.
const (
	ExitDone                  = "done"
	ExitStopped               = "halted"     // by command
	ExitGangMemberLost        = "mates_gone" // another task of the gang ended
	ExitGangWaitTimeout       = "alone"      // the gang was not complete in time
	ExitError                 = "error"      // failed, mostly as the machine is faulty
	ExitInsufficientResources = "no_room"    // not enough free resources on the machine
	ExitOtherAttemptPresent   = "in_use"     // the task is on this machine with another attempt
	ExitUnknownTask           = "unknown"    // no such job or task, or the job is not submitted
)

// Verbs of a command to a worker. Commands can be repeated, with one exception: after VerbReap
// the worker has forgotten the attempt, and VerbRun would start it again.
const (
	VerbRun  = "run"  // no effect if the worker has the task and attempt, in whatever state
	VerbStop = "stop" // saves a checkpoint first if the grace period is long enough
	VerbReap = "reap" // removes an exited task from the worker's heartbeats
)

// States of a machine in the cloud's list.
const (
	MachineBooting = "booting" // charged; a few machines never come up
	MachineRunning = "running"
	MachineFailed  = "failed" // not charged any more, listed until it is deleted
)
