package placement

import (
	"testing"

	"juniperchute/internal/wire"
)

// A gang of several tasks starts as a whole under one attempt, ends as a whole,
// and does not start again while anything of it is left.
func TestGang(t *testing.T) {
	h := newHarness(t, 3)
	gang := h.addJob("blue", wire.ShapeGang, "high", 3, 2)
	h.scheduler.Schedule(h.now)
	if gang.assigned != 3 || gang.tasks[0].attempt != gang.tasks[2].attempt {
		t.Fatalf("%d tasks dispatched", gang.assigned)
	}
	if urgent := h.scheduler.UrgentMachines(); len(urgent) != 3 {
		t.Fatalf("%d machines get direct commands, want all", len(urgent))
	}
	for _, machine := range h.registry.All() {
		h.heartbeat(machine)
		h.heartbeat(machine)
	}
	first := gang.attempt
	h.scheduler.ReleaseMachine(h.now, gang.tasks[1].machine, "test")
	h.scheduler.Schedule(h.now)
	if gang.assigned != 2 || !gang.aborting {
		t.Fatalf("%d left, aborting %t", gang.assigned, gang.aborting)
	}
	h.endAbortedGang()
	h.scheduler.Schedule(h.now)
	if gang.assigned != 3 || gang.attempt == first {
		t.Fatalf("second attempt: %d tasks, attempt %d", gang.assigned, gang.attempt)
	}
	h.heartbeatAll(1)
	// one has completed, so all have; a machine lost now must not bring one back
	h.heartbeat(gang.tasks[0].machine, exited(gang.tasks[0].Name(), wire.ExitDone))
	if !gang.IsComplete() {
		t.Fatal("one task has completed, the gang has not")
	}
	h.scheduler.ReleaseMachine(h.now, gang.tasks[1].machine, "test")
	h.scheduler.Schedule(h.now)
	if len(h.scheduler.UrgentMachines()) != 0 || gang.pendingTasks() > 0 {
		t.Error("a completed gang starts again")
	}
}

// endAbortedGang checks that all tasks on machines are being stopped, and lets
// the machines report their exit.
func (h *testHarness) endAbortedGang() {
	h.t.Helper()
	for _, machine := range h.registry.All() {
		for _, task := range h.assigned(machine) {
			if task.phase != Stopping {
				h.t.Errorf("%s is %v", task.Name(), task.phase)
			}
		}
		if tasks := h.assigned(machine); len(tasks) > 0 {
			h.heartbeat(machine, exited(tasks[0].Name(), wire.ExitGangMemberLost))
		}
	}
}

// A machine is lost under a gang while work of lower priority is pending: the
// gang goes on whole, under a new attempt, as soon as there is room for all of
// it, and what the other work took meanwhile is preempted.
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
		t.Fatalf("commands for the rest of the gang: %s", got)
	}
	h.heartbeat(kept, exited(member.Name(), wire.ExitGangMemberLost))
	h.heartbeat(kept)
	if gang.assigned != 0 || low.assigned != 2 {
		t.Fatalf("%d of the gang and %d of the rest run on the machine left", gang.assigned, low.assigned)
	}
	h.addMachine("i-2")
	if len(gang.tasks) != 2 || gang.assigned != 0 || low.assigned != 2 {
		t.Fatalf("the gang has %d places, %d of it run beside %d", len(gang.tasks), gang.assigned, low.assigned)
	}
	h.heartbeat(kept, exitedAll(h.assigned(kept), wire.ExitStopped)...)
	if gang.assigned != 2 || low.assigned != 0 {
		t.Errorf("%d of the gang, %d of the rest", gang.assigned, low.assigned)
	}
	if gang.attempt <= before || gang.tasks[0].attempt != gang.tasks[1].attempt {
		t.Errorf("attempt %d, %d before", gang.attempt, before)
	}
}
