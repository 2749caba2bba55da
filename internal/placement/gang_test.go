package placement

import (
	"testing"

	"juniperchute/internal/wire"
)

// All tasks of a gang start under one attempt and end together. The gang does not restart
// while any task of the attempt is left, nor after its completion.
func TestGang(t *testing.T) {
	h := newHarness(t, 3)
	gang := h.addJob("blue", wire.ShapeGang, "high", 3, 2)
	h.scheduler.Schedule(h.now)
	if gang.assigned != 3 || gang.tasks[0].attempt != gang.tasks[2].attempt {
		t.Fatalf("%d tasks dispatched, want 3 under one attempt", gang.assigned)
	}
	if urgent := h.scheduler.UrgentMachines(); len(urgent) != 3 {
		t.Fatalf("%d machines get direct commands, want 3", len(urgent))
	}
	for _, machine := range h.registry.All() {
		h.heartbeat(machine)
		h.heartbeat(machine)
	}
	first := gang.attempt
	h.scheduler.ReleaseMachine(h.now, gang.tasks[1].machine, "test")
	h.scheduler.Schedule(h.now)
	if gang.assigned != 2 || !gang.aborting {
		t.Fatalf("%d tasks assigned, aborting %t, want 2 of an aborting gang", gang.assigned, gang.aborting)
	}
	h.endAbortedGang()
	h.scheduler.Schedule(h.now)
	if gang.assigned != 3 || gang.attempt == first {
		t.Fatalf("second attempt: %d tasks, attempt %d", gang.assigned, gang.attempt)
	}
	h.heartbeatAll(1)
	// The completion of one task completes the gang. Losing a machine afterwards must not
	// restart any task.
	h.heartbeat(gang.tasks[0].machine, exited(gang.tasks[0].Name(), wire.ExitDone))
	if !gang.IsComplete() {
		t.Fatal("gang not complete after the completion of one task")
	}
	h.scheduler.ReleaseMachine(h.now, gang.tasks[1].machine, "test")
	h.scheduler.Schedule(h.now)
	if len(h.scheduler.UrgentMachines()) != 0 || gang.pendingTasks() > 0 {
		t.Error("completed gang restarts")
	}
}

// endAbortedGang checks that all assigned tasks are stopping, and lets the machines
// report their exit.
func (h *testHarness) endAbortedGang() {
	h.t.Helper()
	for _, machine := range h.registry.All() {
		for _, task := range h.assigned(machine) {
			if task.phase != Stopping {
				h.t.Errorf("task %s is %v, want stopping", task.Name(), task.phase)
			}
		}
		if tasks := h.assigned(machine); len(tasks) > 0 {
			h.heartbeat(machine, exited(tasks[0].Name(), wire.ExitGangMemberLost))
		}
	}
}

// A gang that lost a machine restarts as a whole, under a new attempt, once capacity for all
// its tasks is available. It preempts work of lower priority that started in the meantime.
func TestGangMachineLost(t *testing.T) {
	h := newHarness(t, 2)
	gang := h.addJob("blue", wire.ShapeGang, "normal", 2, 2)
	h.scheduler.Schedule(h.now)
	lost, kept := h.registry.All()[0], h.registry.All()[1]
	h.heartbeat(lost)
	h.heartbeat(kept)
	before := gang.attempt
	low := h.addJob("blue", wire.ShapeBatch, "low", 8, 1)
	h.expireLease(lost)
	member := h.assigned(kept)[0]
	if got := describe(h.heartbeat(kept)); got != "stop "+member.Name()+";" {
		t.Fatalf("commands for the other task of the gang: %s", got)
	}
	h.heartbeat(kept, exited(member.Name(), wire.ExitGangMemberLost))
	h.heartbeat(kept)
	if gang.assigned != 0 || low.assigned != 2 {
		t.Fatalf("%d tasks of the gang and %d of the array assigned, want 0 and 2", gang.assigned, low.assigned)
	}
	h.addMachine("i-2")
	if len(gang.tasks) != 2 || gang.assigned != 0 || low.assigned != 2 {
		t.Fatalf("gang has %d tasks placed, %d assigned beside %d of the array, want 2, 0 and 2",
			len(gang.tasks), gang.assigned, low.assigned)
	}
	h.heartbeat(kept, exitedAll(h.assigned(kept), wire.ExitStopped)...)
	if gang.assigned != 2 || low.assigned != 0 {
		t.Errorf("%d tasks of the gang and %d of the array assigned, want 2 and 0", gang.assigned, low.assigned)
	}
	if gang.attempt <= before || gang.tasks[0].attempt != gang.tasks[1].attempt {
		t.Errorf("attempt %d, want one attempt above %d for all tasks", gang.attempt, before)
	}
}
