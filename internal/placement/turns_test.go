package placement

import (
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// In overload small jobs go before an older large one, but not for ever.
func TestTurn(t *testing.T) {
	x := newBench(t, 1)
	large := x.job("blue", wire.ShapeBatch, "low", 20, 1)
	x.now = x.now.Add(time.Minute)
	small := x.job("blue", wire.ShapeBatch, "low", 1, 1)
	gang := x.job("blue", wire.ShapeGang, "low", 1, 1)
	if got := x.b.byTurn(x.b.order); got[0] != gang || got[1] != small || got[2] != large {
		t.Error("order is not gang, small, large")
	}
	x.now = x.now.Add(time.Hour)
	late := x.job("blue", wire.ShapeBatch, "low", 1, 1)
	if got := x.b.byTurn(x.b.order); got[2] != large || got[3] != late {
		t.Error("the large job never gets its turn")
	}
}

// However long a burst of others lasts, nobody starves: the largest array and
// the largest gang begin within four minutes.
func TestNobodyStarves(t *testing.T) {
	for _, c := range []struct {
		name  string
		burst func(x *bench) // every two seconds
		large func(x *bench) *Job
	}{
		{"an array under many small ones", func(x *bench) { x.job("blue", wire.ShapeBatch, "normal", 2, 1) },
			func(x *bench) *Job { return x.job("blue", wire.ShapeBatch, "normal", 60, 1) }},
		{"an array under a higher rank", func(x *bench) { x.job("blue", wire.ShapeBatch, "high", 3, 1) },
			func(x *bench) *Job { return x.job("blue", wire.ShapeBatch, "low", 60, 1) }},
		{"an array under gangs of its rank", func(x *bench) { x.job("blue", wire.ShapeGang, "normal", 2, 1) },
			func(x *bench) *Job { return x.job("blue", wire.ShapeBatch, "normal", 60, 1) }},
		{"an array under gangs of a higher rank", func(x *bench) { x.job("blue", wire.ShapeGang, "high", 2, 1) },
			func(x *bench) *Job { return x.job("blue", wire.ShapeBatch, "low", 60, 1) }},
		{"a gang under small gangs", func(x *bench) { x.job("blue", wire.ShapeGang, "normal", 1, 1) },
			func(x *bench) *Job { return x.job("blue", wire.ShapeGang, "normal", 4, 2) }},
		{"a gang under small gangs of a higher rank", func(x *bench) { x.job("blue", wire.ShapeGang, "high", 1, 1) },
			func(x *bench) *Job { return x.job("blue", wire.ShapeGang, "low", 4, 2) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newBench(t, 4)
			x.b.book = quota.NewBook([]config.Team{{Name: "blue"}}, 0, 1)
			for range 8 {
				c.burst(x)
			}
			x.b.Draw(x.now)
			large := c.large(x)
			start := x.now
			for i := 0; large.located == 0 && large.done.count == 0; i++ {
				if x.now.Sub(start) > 4*time.Minute {
					t.Fatalf("nothing of %s has started", large.Spec.ID)
				}
				x.now = x.now.Add(time.Second)
				if i%2 == 0 {
					c.burst(x)
				}
				for _, m := range x.reg.All() {
					// tasks end after ten seconds, or as soon as they are told
					var ends []wire.TaskStatus
					for _, task := range x.b.host(m).on {
						if task.phase == Stopping {
							ends = append(ends, wire.TaskStatus{Name: task.Name(), State: wire.TaskExited, ExitReason: wire.ExitStopped})
						} else if x.now.Sub(task.sentAt) > 10*time.Second {
							ends = append(ends, wire.TaskStatus{Name: task.Name(), State: wire.TaskExited, ExitReason: wire.ExitDone})
						}
					}
					x.report(m, ends...)
				}
			}
		})
	}
}
