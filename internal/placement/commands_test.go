package placement

import (
	"testing"
	"time"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

var unreportedCommandCases = []struct {
	name     string
	channel  Channel             // by which the run command was sent
	resolved bool                // the direct command was answered
	source   worker.StatusSource // of the status without the task
	ended    bool
}{
	{
		name:    "missing from a later heartbeat: ended",
		channel: HeartbeatReply,
		source:  worker.FromHeartbeat,
		ended:   true,
	},
	{
		name:    "missing from the reply to another command: not ended",
		channel: HeartbeatReply,
		source:  worker.FromCommandReply,
	},
	{
		name:    "unanswered direct command: not ended",
		channel: DirectCommand,
		source:  worker.FromHeartbeat,
	},
	{
		name:     "answered direct command: ended",
		channel:  DirectCommand,
		resolved: true,
		source:   worker.FromHeartbeat,
		ended:    true,
	},
}

// Guards against releasing a task whose run command may still be executed: only
// a heartbeat after the one whose reply carried the command proves otherwise.
func TestUnreportedCommand(t *testing.T) {
	for _, c := range unreportedCommandCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1)
			machine := h.registry.All()[0]
			job := h.addJob("blue", wire.ShapeBatch, "low", 1, 1)
			h.scheduler.Schedule(h.now)
			commands := h.scheduler.Commands(h.now, machine, c.channel)
			if c.resolved {
				h.scheduler.ResolveDirectCommands(machine, commands)
			}
			h.scheduler.CloseJob(h.now, job.Spec.ID, h.now.Add(time.Minute))
			h.applyHeartbeat(machine, h.newHeartbeat(machine), c.source)
			if got := machine.AssignedCopies == 0; got != c.ended {
				t.Errorf("ended: %t, want %t", got, c.ended)
			}
			// Only a new incarnation of the worker resolves the remaining stops.
			if !h.scheduler.OnlyUnconfirmedStops(machine) {
				t.Error("the machine has tasks other than unconfirmed stops")
			}
		})
	}
}

// Guards against a gang that waits for as long as other tasks run on a machine: a task that is stopped after its run
// command got no reply must end with the next heartbeats, so that a late copy of the command has no effect.
func TestStopAfterUnansweredRunCommand(t *testing.T) {
	h := newHarness(t, 1)
	machine := h.registry.All()[0]
	gang := h.addJob("blue", wire.ShapeGang, "low", 1, 1)
	h.scheduler.Schedule(h.now)
	h.scheduler.RecordUnansweredCommands(machine, h.scheduler.Commands(h.now, machine, DirectCommand))
	task := gang.tasks[0]
	h.scheduler.tasks.stop(h.now, task, 0, "test")
	h.applyHeartbeat(machine, h.newHeartbeat(machine), worker.FromHeartbeat)
	if got := describe(h.scheduler.Commands(h.now, machine, HeartbeatReply)); got != "run job-1/0;stop job-1/0;" {
		t.Fatalf("commands %s, want the run and the stop of the task", got)
	}
	heartbeat := h.newHeartbeat(machine)
	listed := exited(task.Name(), wire.ExitStopped)
	listed.Attempt = task.attempt
	heartbeat.Tasks = []wire.TaskStatus{listed}
	h.applyHeartbeat(machine, heartbeat, worker.FromHeartbeat)
	if machine.AssignedCopies != 0 || h.scheduler.HasUnansweredStart(machine) {
		t.Error("the task has not ended")
	}
	if got := describe(h.scheduler.Commands(h.now, machine, HeartbeatReply)); got != "" {
		t.Errorf("commands %s, want none: a reap would let a late copy start the task", got)
	}
}

// Guards against reaping a completed task before its outcome is durable.
func TestReapRequiresDurableOutcome(t *testing.T) {
	h := newHarness(t, 1)
	machine := h.registry.All()[0]
	job := h.addJob("blue", wire.ShapeBatch, "low", 2, 1)
	h.scheduler.Schedule(h.now)
	h.heartbeat(machine)
	for _, command := range h.heartbeat(machine, exited(job.tasks[0].Name(), wire.ExitDone)) {
		if command.Verb == wire.VerbReap {
			t.Error("reaped before the outcome is durable")
		}
	}
	job.MarkDurable(0)
	if got := describe(h.scheduler.Commands(h.now, machine, HeartbeatReply)); got != "reap job-1/0;" {
		t.Errorf("commands %s, want the reap", got)
	}
}
