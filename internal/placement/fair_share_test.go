package placement

import (
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// In overload small jobs go before an older large one, but not for ever.
func TestFairShareOrder(t *testing.T) {
	h := newHarness(t, 1)
	large := h.addJob("blue", wire.ShapeBatch, "low", 20, 1)
	h.now = h.now.Add(time.Minute)
	small := h.addJob("blue", wire.ShapeBatch, "low", 1, 1)
	gang := h.addJob("blue", wire.ShapeGang, "low", 1, 1)
	if got := h.scheduler.queue.fairShareOrder(h.scheduler.queue.open); got[0] != gang || got[1] != small || got[2] != large {
		t.Error("order is not gang, small, large")
	}
	h.now = h.now.Add(time.Hour)
	late := h.addJob("blue", wire.ShapeBatch, "low", 1, 1)
	if got := h.scheduler.queue.fairShareOrder(h.scheduler.queue.open); got[2] != large || got[3] != late {
		t.Error("the large job never gets its turn")
	}
}

// However long a burst of others lasts, nobody starves: the largest array and
// the largest gang begin within four minutes.
func TestNoStarvation(t *testing.T) {
	for _, c := range []struct {
		name  string
		burst func(h *testHarness) // every two seconds
		large func(h *testHarness) *Job
	}{
		{"an array under many small ones", func(h *testHarness) { h.addJob("blue", wire.ShapeBatch, "normal", 2, 1) },
			func(h *testHarness) *Job { return h.addJob("blue", wire.ShapeBatch, "normal", 60, 1) }},
		{"an array under a higher rank", func(h *testHarness) { h.addJob("blue", wire.ShapeBatch, "high", 3, 1) },
			func(h *testHarness) *Job { return h.addJob("blue", wire.ShapeBatch, "low", 60, 1) }},
		{"an array under gangs of its rank", func(h *testHarness) { h.addJob("blue", wire.ShapeGang, "normal", 2, 1) },
			func(h *testHarness) *Job { return h.addJob("blue", wire.ShapeBatch, "normal", 60, 1) }},
		{"an array under gangs of a higher rank", func(h *testHarness) { h.addJob("blue", wire.ShapeGang, "high", 2, 1) },
			func(h *testHarness) *Job { return h.addJob("blue", wire.ShapeBatch, "low", 60, 1) }},
		{"a gang under small gangs", func(h *testHarness) { h.addJob("blue", wire.ShapeGang, "normal", 1, 1) },
			func(h *testHarness) *Job { return h.addJob("blue", wire.ShapeGang, "normal", 4, 2) }},
		{"a gang under small gangs of a higher rank", func(h *testHarness) { h.addJob("blue", wire.ShapeGang, "high", 1, 1) },
			func(h *testHarness) *Job { return h.addJob("blue", wire.ShapeGang, "low", 4, 2) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.scheduler.ledger = quota.NewLedger([]config.Team{{Name: "blue"}}, 1)
			for range 8 {
				c.burst(h)
			}
			h.scheduler.Schedule(h.now)
			large := c.large(h)
			start := h.now
			for i := 0; large.assigned == 0 && large.completed.count == 0; i++ {
				if h.now.Sub(start) > 4*time.Minute {
					t.Fatalf("nothing of %s has started", large.Spec.ID)
				}
				h.now = h.now.Add(time.Second)
				if i%2 == 0 {
					c.burst(h)
				}
				for _, machine := range h.registry.All() {
					// tasks end after ten seconds, or as soon as they are told
					var exited []wire.TaskStatus
					for _, task := range h.scheduler.capacity.info(machine).assigned {
						if task.phase == Stopping {
							exited = append(exited, wire.TaskStatus{Name: task.Name(), State: wire.TaskExited, ExitReason: wire.ExitStopped})
						} else if h.now.Sub(task.dispatchedAt) > 10*time.Second {
							exited = append(exited, wire.TaskStatus{Name: task.Name(), State: wire.TaskExited, ExitReason: wire.ExitDone})
						}
					}
					h.heartbeat(machine, exited...)
				}
			}
		})
	}
}
