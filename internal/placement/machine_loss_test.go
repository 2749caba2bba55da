package placement

import (
	"testing"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Who is to blame for failures: a machine that fails several jobs, or a job
// that fails everywhere.
func TestFailureAttribution(t *testing.T) {
	for _, c := range []struct {
		name     string
		jobs     int   // that fail
		machines []int // on which, one after the other
		faulty   bool  // the first machine
		waits    bool  // the first job is kept back
	}{
		{"one failure", 1, []int{0}, false, false},
		{"two jobs on one machine", 2, []int{0}, true, false},
		{"one job on three machines", 1, []int{0, 1, 2}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 3)
			var jobs []*Job
			for range c.jobs {
				jobs = append(jobs, h.addJob("blue", wire.ShapeBatch, "low", 3, 1))
			}
			for _, i := range c.machines {
				for _, job := range jobs {
					h.scheduler.failures.record(h.now, h.registry.All()[i], &Task{Job: job})
				}
			}
			if h.registry.All()[0].Quarantined != c.faulty {
				t.Errorf("faulty: %t", h.registry.All()[0].Quarantined)
			}
			if got := jobs[0].notBefore.After(h.now); got != c.waits {
				t.Errorf("kept back: %t", got)
			}
		})
	}
}

// A machine is lost under a gang while work of lower priority waits: the gang goes on
// whole, under a new attempt, as soon as there is room for all of it, and what the
// other work took meanwhile gives way.
func TestGangMachineLost(t *testing.T) {
	h := newHarness(t, 2)
	g := h.addJob("blue", wire.ShapeGang, "normal", 2, 2)
	h.scheduler.Schedule(h.now)
	m0, m1 := h.registry.All()[0], h.registry.All()[1]
	h.heartbeat(m0)
	h.heartbeat(m1)
	before := g.attempt
	low := h.addJob("blue", wire.ShapeBatch, "low", 8, 1)
	h.scheduler.ReleaseMachine(h.now, m0, "lease surely over")
	h.registry.SetState(h.now, m0, worker.LeaseExpired, "test")
	member := h.scheduler.capacity.info(m1).assigned[0]
	if o := h.describe(h.heartbeat(m1)); o != "stop "+member.Name()+";" {
		t.Fatalf("its mate is told: %s", o)
	}
	h.heartbeat(m1, wire.TaskStatus{Name: member.Name(), State: wire.TaskExited, ExitReason: wire.ExitGangMemberLost})
	h.heartbeat(m1)
	if g.assigned != 0 || low.assigned != 2 {
		t.Fatalf("%d of the gang and %d of the rest run on the machine left", g.assigned, low.assigned)
	}
	m2 := h.registry.Add(h.now, "i-2", worker.Booting)
	m2.Capacity, m2.Registered, m2.Type, m2.Zone = m0.Capacity, true, "g2", "a"
	h.heartbeat(m2)
	if len(g.tasks) != 2 || g.assigned != 0 || low.assigned != 2 {
		t.Fatalf("the gang has %d places, %d of it run beside %d", len(g.tasks), g.assigned, low.assigned)
	}
	var exited []wire.TaskStatus
	for _, other := range h.scheduler.capacity.info(m1).assigned {
		exited = append(exited, wire.TaskStatus{Name: other.Name(), State: wire.TaskExited, ExitReason: wire.ExitStopped})
	}
	h.heartbeat(m1, exited...)
	if g.assigned != 2 || low.assigned != 0 || g.attempt <= before || g.tasks[0].attempt != g.tasks[1].attempt {
		t.Errorf("%d of the gang under %d (before: %d), %d of the rest", g.assigned, g.attempt, before, low.assigned)
	}
}
