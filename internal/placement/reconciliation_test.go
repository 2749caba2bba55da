package placement

import (
	"testing"
	"time"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// statusSequence is the sequence number of the newest heartbeat in TestReconcileAssigned.
const statusSequence = 5

// assignedCase pairs the scheduler's state of an assigned task, attempt 1, with the
// status that its machine reports.
type assignedCase struct {
	name     string
	phase    Phase
	delivery commandDelivery
	reported *wire.TaskStatus // nil: the machine does not report the task
	source   worker.StatusSource
	want     assignedTaskClass
}

var assignedCases = []assignedCase{
	{
		name:     "reported running: present",
		phase:    Dispatched,
		delivery: commandDelivery{commandSent: true, commandSeq: 4},
		reported: &wire.TaskStatus{Attempt: 1, State: wire.TaskRunning},
		source:   worker.FromHeartbeat,
		want:     assignedPresent,
	},
	{
		name:     "reported exited: exited",
		phase:    Active,
		delivery: commandDelivery{reported: true, commandSent: true},
		reported: &wire.TaskStatus{Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitDone},
		source:   worker.FromHeartbeat,
		want:     assignedExited,
	},
	{
		name:     "no longer reported: lost",
		phase:    Active,
		delivery: commandDelivery{reported: true, commandSent: true},
		source:   worker.FromHeartbeat,
		want:     assignedLost,
	},
	{
		name:     "another attempt reported instead: lost",
		phase:    Active,
		delivery: commandDelivery{reported: true, commandSent: true},
		reported: &wire.TaskStatus{Attempt: 2, State: wire.TaskRunning},
		source:   worker.FromHeartbeat,
		want:     assignedLost,
	},
	{
		name:     "dispatched and not reported yet: in flight",
		phase:    Dispatched,
		delivery: commandDelivery{commandSent: true, commandSeq: 4},
		source:   worker.FromHeartbeat,
		want:     assignedInFlight,
	},
	{
		name:   "stopping, run command never sent: never started",
		phase:  Stopping,
		source: worker.FromCommandReply,
		want:   assignedNeverStarted,
	},
	{
		name:     "stopping, missing in a heartbeat after the one whose reply had the command: never started",
		phase:    Stopping,
		delivery: commandDelivery{commandSent: true, commandSeq: statusSequence - 1},
		source:   worker.FromHeartbeat,
		want:     assignedNeverStarted,
	},
	{
		name:     "stopping, run command in the reply to this heartbeat: in flight",
		phase:    Stopping,
		delivery: commandDelivery{commandSent: true, commandSeq: statusSequence},
		source:   worker.FromHeartbeat,
		want:     assignedInFlight,
	},
	{
		name:     "stopping, missing only in the reply to another command: in flight",
		phase:    Stopping,
		delivery: commandDelivery{commandSent: true, commandSeq: statusSequence - 1},
		source:   worker.FromCommandReply,
		want:     assignedInFlight,
	},
	{
		name:     "stopping, direct run command unanswered: in flight",
		phase:    Stopping,
		delivery: commandDelivery{commandSent: true, unansweredCommands: 1},
		source:   worker.FromHeartbeat,
		want:     assignedInFlight,
	},
	{
		name:     "stopping, direct run command settled: never started",
		phase:    Stopping,
		delivery: commandDelivery{commandSent: true},
		source:   worker.FromHeartbeat,
		want:     assignedNeverStarted,
	},
}

// A task that may still start counted as never started would be started twice; one that
// is gone counted as in flight would never be rescheduled.
func TestReconcileAssigned(t *testing.T) {
	for _, c := range assignedCases {
		t.Run(c.name, func(t *testing.T) {
			machine := &worker.Machine{Liveness: worker.Liveness{Sequence: statusSequence}}
			task := &Task{phase: c.phase}
			task.assignment = assignment{machine: machine, attempt: 1, commandDelivery: c.delivery}
			got := reconcileAssigned(task, c.reported, statusUpdate{machine: machine, source: c.source})
			if got != c.want {
				t.Errorf("state %d, want %d", got, c.want)
			}
		})
	}
}

// reportedCase pairs the status that a machine reports of a job's first task with the
// scheduler's state of the task.
type reportedCase struct {
	name       string
	shape      string
	unknownJob bool
	closed     bool
	completed  bool
	phase      Phase // Unassigned: no copy is assigned
	elsewhere  bool  // the assigned copy is on another machine
	state      string
	exitReason string
	want       reportedTaskClass
}

var reportedCases = []reportedCase{
	{
		name:  "assigned attempt running: expected",
		phase: Active,
		state: wire.TaskRunning,
		want:  reportedExpected,
	},
	{
		name:  "running and unassigned: adoptable",
		state: wire.TaskRunning,
		want:  reportedAdoptable,
	},
	{
		name:      "running while another copy is assigned: obsolete",
		phase:     Active,
		elsewhere: true,
		state:     wire.TaskRunning,
		want:      reportedObsolete,
	},
	{
		name:      "running after its completion: obsolete",
		completed: true,
		state:     wire.TaskRunning,
		want:      reportedObsolete,
	},
	{
		name:   "running for a closed job: obsolete",
		closed: true,
		state:  wire.TaskRunning,
		want:   reportedObsolete,
	},
	{
		name:       "running for an unknown job: unknown job",
		unknownJob: true,
		state:      wire.TaskRunning,
		want:       reportedUnknownJob,
	},
	{
		name:       "exited for an unknown job: finished",
		unknownJob: true,
		state:      wire.TaskExited,
		exitReason: wire.ExitDone,
		want:       reportedFinished,
	},
	{
		name:       "completed and not recorded: completed",
		state:      wire.TaskExited,
		exitReason: wire.ExitDone,
		want:       reportedCompleted,
	},
	{
		name:       "completed while another copy is assigned: completed",
		phase:      Active,
		elsewhere:  true,
		state:      wire.TaskExited,
		exitReason: wire.ExitDone,
		want:       reportedCompleted,
	},
	{
		name:       "completed and recorded: finished",
		completed:  true,
		state:      wire.TaskExited,
		exitReason: wire.ExitDone,
		want:       reportedFinished,
	},
	{
		name:       "failed and unassigned: finished",
		state:      wire.TaskExited,
		exitReason: wire.ExitError,
		want:       reportedFinished,
	},
	{
		name:       "replica exited and unassigned: finished",
		shape:      wire.ShapeService,
		state:      wire.TaskExited,
		exitReason: wire.ExitDone,
		want:       reportedFinished,
	},
}

// A wrong state would stop a task that should run, keep one that should not, or lose a
// completion.
func TestReconcileReported(t *testing.T) {
	for _, c := range reportedCases {
		t.Run(c.name, func(t *testing.T) {
			machine := &worker.Machine{Identity: worker.Identity{Host: "reporting"}}
			reported := &wire.TaskStatus{Attempt: 1, State: c.state, ExitReason: c.exitReason}
			if got := reconcileReported(c.job(machine), 0, machine, reported); got != c.want {
				t.Errorf("state %d, want %d", got, c.want)
			}
		})
	}
}

// job returns the job whose first task the machine reports, nil if the job is unknown.
func (c *reportedCase) job(machine *worker.Machine) *Job {
	if c.unknownJob {
		return nil
	}
	job := newJob(time.Time{}, wire.JobSpec{ID: "job-1", Shape: c.shape, Tasks: 1}, time.Time{}, 1)
	job.closed = c.closed
	if c.completed {
		job.completed.add(0)
	}
	if c.phase != Unassigned {
		task := job.addTask(0)
		task.phase, task.machine, task.attempt = c.phase, machine, 1
		if c.elsewhere {
			task.machine, task.attempt = &worker.Machine{Identity: worker.Identity{Host: "other"}}, 2
		}
	}
	return job
}

// A task that its machine no longer reports becomes pending again and restarts under a
// new attempt.
func TestLostTaskIsPendingAgain(t *testing.T) {
	h := newHarness(t, 1)
	machine := h.registry.All()[0]
	job := h.addJob("blue", wire.ShapeBatch, "low", 1, 1)
	h.scheduler.Schedule(h.now)
	h.heartbeatAll(2)
	if job.RunningTasks() != 1 {
		t.Fatal("the task is not running")
	}
	attempt := job.tasks[0].attempt
	h.applyHeartbeat(machine, h.newHeartbeat(machine), worker.FromHeartbeat)
	if job.assigned != 0 || job.pendingTasks() != 1 {
		t.Fatalf("%d tasks assigned, %d pending, want 0 and 1", job.assigned, job.pendingTasks())
	}
	h.heartbeatAll(1)
	if job.assigned != 1 || job.tasks[0].attempt <= attempt {
		t.Errorf("%d tasks assigned, want 1 under a new attempt", job.assigned)
	}
}
