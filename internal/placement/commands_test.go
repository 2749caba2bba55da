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
