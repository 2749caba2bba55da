package placement

import (
	"testing"
	"time"

	"juniperchute/internal/wire"
)

// Guards against a large array that delays small jobs, and against its starvation by them.
func TestFairShareOrder(t *testing.T) {
	h := newHarness(t, 1)
	large := h.addJob("blue", wire.ShapeBatch, "low", 20, 1)
	h.now = h.now.Add(time.Minute)
	small := h.addJob("blue", wire.ShapeBatch, "low", 1, 1)
	gang := h.addJob("blue", wire.ShapeGang, "low", 1, 1)
	queue := h.scheduler.jobQueue
	if got := queue.fairShareOrder(queue.open); got[0] != gang || got[1] != small || got[2] != large {
		t.Error("order is not gang, small array, large array")
	}
	h.now = h.now.Add(time.Hour)
	late := h.addJob("blue", wire.ShapeBatch, "low", 1, 1)
	if got := queue.fairShareOrder(queue.open); got[2] != large || got[3] != late {
		t.Error("the large array does not precede an array submitted an hour later")
	}
}
