// Package wire defines the messages of the external interfaces: to users, workers, the cloud and the
// state service.
//
// JSON tags and values of constants are the names of the protocol. They are fixed, as other programs
// and earlier versions read them. Go names are the usual terms of cluster scheduling. Receivers ignore
// unknown fields. A field that may be null may also be omitted.
//
// A suffix gives the unit: S is seconds, Ms milliseconds, GB gigabytes. Vcpus, Gpus and amounts of
// memory may be fractional. Prices are per machine and hour.
package wire

// Job shapes.
const (
	ShapeBatch   = "batch"    // job array: independent tasks that run to completion
	ShapeGang    = "gang"     // gang scheduling: all tasks run at the same time, or none does
	ShapeService = "standing" // service: its tasks run until a user cancels the job
)

// KnownShape reports whether this version supports a shape.
func KnownShape(shape string) bool {
	return shape == ShapeBatch || shape == ShapeGang || shape == ShapeService
}

// Job states as reported to users.
const (
	JobPending   = "pending" // no task is running
	JobRunning   = "running"
	JobDone      = "done" // all tasks have completed; terminal
	JobCancelled = "withdrawn"
)

// Task states as reported by workers.
const (
	TaskFetching = "fetching" // waits for the pull of its image
	TaskWaiting  = "waiting"  // task of a gang that waits for the other tasks of its attempt
	TaskRunning  = "running"  // includes a gang's task that is being terminated
	TaskSaving   = "saving"   // saving a checkpoint after a stop command
	TaskExited   = "exited"   // has an exit reason
)

// Exit reasons of a task. The last three are rejections of a start command.
const (
	ExitDone                  = "done"
	ExitStopped               = "halted"     // stopped by a command
	ExitGangMemberLost        = "mates_gone" // another task of the gang exited
	ExitGangWaitTimeout       = "alone"      // the gang was incomplete after the gang wait timeout
	ExitError                 = "error"      // task failure, mostly due to a faulty machine
	ExitInsufficientResources = "no_room"    // the machine lacks free resources
	ExitOtherAttemptPresent   = "in_use"     // another attempt of the task is on the machine
	ExitUnknownTask           = "unknown"    // the job or task does not exist or was not submitted
)

// Verbs of a command to a worker. Commands are idempotent, with one exception: a VerbRun after VerbReap
// starts the attempt again, as VerbReap makes the worker forget it.
const (
	VerbRun  = "run"  // no effect if the worker has the attempt, in any state
	VerbStop = "stop" // lets the task save a checkpoint if the grace period allows
	VerbReap = "reap" // removes an exited task from later heartbeats
)

// Machine states in the cloud's list.
const (
	MachineBooting = "booting" // charged; may never finish booting
	MachineRunning = "running"
	MachineFailed  = "failed" // not charged; listed until deletion
)
