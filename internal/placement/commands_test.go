package placement

import (
	"testing"
	"time"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

var unreportedCommandCases = []struct {
	name    string
	channel Channel             // by which the command went out
	settled bool                // the direct command was answered
	source  worker.StatusSource // where the task is missing
	ended   bool
}{
	{
		name:    "a later heartbeat",
		channel: HeartbeatReply,
		source:  worker.FromHeartbeat,
		ended:   true,
	},
	{
		name:    "only another command's reply",
		channel: HeartbeatReply,
		source:  worker.FromCommandReply,
	},
	{
		name:    "an unanswered direct command",
		channel: DirectCommand,
		source:  worker.FromHeartbeat,
	},
	{
		name:    "an answered direct command",
		channel: DirectCommand,
		settled: true,
		source:  worker.FromHeartbeat,
		ended:   true,
	},
}

// A command to run a task that was never reported: only a heartbeat after the
// one whose reply carried it shows that it was not executed.
func TestUnreportedCommand(t *testing.T) {
	for _, c := range unreportedCommandCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1)
			machine := h.registry.All()[0]
			job := h.addJob("blue", wire.ShapeBatch, "low", 1, 1)
			h.scheduler.Schedule(h.now)
			commands := h.scheduler.Commands(h.now, machine, c.channel)
			if c.settled {
				h.scheduler.ResolveDirectCommands(machine, commands)
			}
			h.scheduler.CloseJob(h.now, job.Spec.ID, h.now.Add(time.Minute))
			h.applyHeartbeat(machine, h.newHeartbeat(machine), c.source)
			if got := machine.ActiveCopies == 0; got != c.ended {
				t.Errorf("ended: %t, want %t", got, c.ended)
			}
			// a new incarnation of the worker settles what this did not
			if !h.scheduler.OnlyUnconfirmedStops(machine) {
				t.Error("the machine is thought to have work")
			}
		})
	}
}

// A completion stays in its machine's heartbeats until its outcome is durable.
func TestReapOnlyDurable(t *testing.T) {
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
