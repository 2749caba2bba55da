package placement

import (
	"testing"
	"time"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// reportSequence is the number of the heartbeat in the tests of reconciliation.
const reportSequence = 5

// assignedCase is what is known of an assigned task with attempt 1, and what
// its machine reports of it.
type assignedCase struct {
	name     string
	phase    Phase
	delivery commandDelivery
	reported *wire.TaskStatus // nil: nothing under the task's name
	source   worker.StatusSource
	want     assignedFinding
}

var assignedCases = []assignedCase{
	{
		name:     "it runs",
		phase:    Dispatched,
		delivery: commandDelivery{commandSent: true, commandSeq: 4},
		reported: &wire.TaskStatus{Attempt: 1, State: wire.TaskRunning},
		source:   worker.FromHeartbeat,
		want:     assignedPresent,
	},
	{
		name:     "it has exited",
		phase:    Active,
		delivery: commandDelivery{reported: true, commandSent: true},
		reported: &wire.TaskStatus{Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitDone},
		source:   worker.FromHeartbeat,
		want:     assignedExited,
	},
	{
		name:     "it was reported, and is not any more",
		phase:    Active,
		delivery: commandDelivery{reported: true, commandSent: true},
		source:   worker.FromHeartbeat,
		want:     assignedLost,
	},
	{
		name:     "another attempt is reported in its place",
		phase:    Active,
		delivery: commandDelivery{reported: true, commandSent: true},
		reported: &wire.TaskStatus{Attempt: 2, State: wire.TaskRunning},
		source:   worker.FromHeartbeat,
		want:     assignedLost,
	},
	{
		name:     "it is still to start",
		phase:    Dispatched,
		delivery: commandDelivery{commandSent: true, commandSeq: 4},
		source:   worker.FromHeartbeat,
		want:     assignedInFlight,
	},
	{
		name:   "stopped before the command to run it was sent",
		phase:  Stopping,
		source: worker.FromCommandReply,
		want:   assignedNeverStarted,
	},
	{
		name:     "stopped, and a later heartbeat than the one with the command does not show it",
		phase:    Stopping,
		delivery: commandDelivery{commandSent: true, commandSeq: reportSequence - 1},
		source:   worker.FromHeartbeat,
		want:     assignedNeverStarted,
	},
	{
		name:     "stopped, and the command went out in the reply to this heartbeat",
		phase:    Stopping,
		delivery: commandDelivery{commandSent: true, commandSeq: reportSequence},
		source:   worker.FromHeartbeat,
		want:     assignedInFlight,
	},
	{
		name:     "stopped, and only the response to another command does not show it",
		phase:    Stopping,
		delivery: commandDelivery{commandSent: true, commandSeq: reportSequence - 1},
		source:   worker.FromCommandReply,
		want:     assignedInFlight,
	},
	{
		name:     "stopped, and a direct command to run it was not answered",
		phase:    Stopping,
		delivery: commandDelivery{commandSent: true, unansweredCommands: 1},
		source:   worker.FromHeartbeat,
		want:     assignedInFlight,
	},
	{
		name:     "stopped, and the direct command to run it was settled",
		phase:    Stopping,
		delivery: commandDelivery{commandSent: true},
		source:   worker.FromHeartbeat,
		want:     assignedNeverStarted,
	},
}

func TestReconcileAssigned(t *testing.T) {
	for _, c := range assignedCases {
		t.Run(c.name, func(t *testing.T) {
			machine := &worker.Machine{Liveness: worker.Liveness{Sequence: reportSequence}}
			task := &Task{phase: c.phase}
			task.assignment = assignment{machine: machine, attempt: 1, commandDelivery: c.delivery}
			got := reconcileAssigned(task, c.reported, statusUpdate{machine: machine, source: c.source})
			if got != c.want {
				t.Errorf("finding %d, want %d", got, c.want)
			}
		})
	}
}

// reportedCase is what a machine reports of the first task of a job, and what
// is known of it.
type reportedCase struct {
	name       string
	shape      string
	unknownJob bool
	closed     bool
	completed  bool
	phase      Phase // Unassigned: nothing is known to be on a machine
	elsewhere  bool  // the known copy is on another machine
	state      string
	exitReason string
	want       reportedFinding
}

var reportedCases = []reportedCase{
	{
		name:  "the assigned attempt runs",
		phase: Active,
		state: wire.TaskRunning,
		want:  reportedExpected,
	},
	{
		name:  "it runs while nothing is assigned",
		state: wire.TaskRunning,
		want:  reportedAdoptable,
	},
	{
		name:      "it runs while another copy is assigned elsewhere",
		phase:     Active,
		elsewhere: true,
		state:     wire.TaskRunning,
		want:      reportedStray,
	},
	{
		name:      "it runs although it has completed",
		completed: true,
		state:     wire.TaskRunning,
		want:      reportedStray,
	},
	{
		name:   "it runs although its job is closed",
		closed: true,
		state:  wire.TaskRunning,
		want:   reportedStray,
	},
	{
		name:       "it runs and belongs to no job",
		unknownJob: true,
		state:      wire.TaskRunning,
		want:       reportedUnknown,
	},
	{
		name:       "it has exited and belongs to no job",
		unknownJob: true,
		state:      wire.TaskExited,
		exitReason: wire.ExitDone,
		want:       reportedOver,
	},
	{
		name:       "it has completed, which is not recorded",
		state:      wire.TaskExited,
		exitReason: wire.ExitDone,
		want:       reportedCompleted,
	},
	{
		name:       "it has completed while another copy is assigned elsewhere",
		phase:      Active,
		elsewhere:  true,
		state:      wire.TaskExited,
		exitReason: wire.ExitDone,
		want:       reportedCompleted,
	},
	{
		name:       "it has completed, which is recorded",
		completed:  true,
		state:      wire.TaskExited,
		exitReason: wire.ExitDone,
		want:       reportedOver,
	},
	{
		name:       "it has failed while nothing is assigned",
		state:      wire.TaskExited,
		exitReason: wire.ExitError,
		want:       reportedOver,
	},
	{
		name:       "a replica has ended while nothing is assigned",
		shape:      wire.ShapeService,
		state:      wire.TaskExited,
		exitReason: wire.ExitDone,
		want:       reportedOver,
	},
}

func TestReconcileReported(t *testing.T) {
	for _, c := range reportedCases {
		t.Run(c.name, func(t *testing.T) {
			machine := &worker.Machine{Identity: worker.Identity{Host: "reporting"}}
			reported := &wire.TaskStatus{Attempt: 1, State: c.state, ExitReason: c.exitReason}
			if got := reconcileReported(c.job(machine), 0, machine, reported); got != c.want {
				t.Errorf("finding %d, want %d", got, c.want)
			}
		})
	}
}

// job returns the job of which the machine reports the first task.
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

// A task that its machine no longer reports is pending again.
func TestLostTaskIsPendingAgain(t *testing.T) {
	h := newHarness(t, 1)
	machine := h.registry.All()[0]
	job := h.addJob("blue", wire.ShapeBatch, "low", 1, 1)
	h.scheduler.Schedule(h.now)
	h.heartbeats(2)
	if job.RunningTasks() != 1 {
		t.Fatal("not running")
	}
	attempt := job.tasks[0].attempt
	h.applyHeartbeat(machine, h.newHeartbeat(machine), worker.FromHeartbeat)
	if job.assigned != 0 || job.pendingTasks() != 1 {
		t.Fatalf("%d assigned, %d pending", job.assigned, job.pendingTasks())
	}
	h.heartbeats(1)
	if job.assigned != 1 || job.tasks[0].attempt <= attempt {
		t.Errorf("%d assigned again", job.assigned)
	}
}
