package placement

import (
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// jobProfile is what a job of the tests is like.
type jobProfile struct {
	shape, priority string
	tasks           int
	gpus            float64
}

func (h *testHarness) addProfile(p jobProfile) *Job {
	return h.addJob("blue", p.shape, p.priority, p.tasks, p.gpus)
}

var starvationCases = []struct {
	name  string
	burst jobProfile // arrives every two seconds
	large jobProfile
}{
	{
		name:  "an array under many small ones",
		burst: jobProfile{shape: wire.ShapeBatch, priority: "normal", tasks: 2, gpus: 1},
		large: jobProfile{shape: wire.ShapeBatch, priority: "normal", tasks: 60, gpus: 1},
	},
	{
		name:  "an array under a higher priority",
		burst: jobProfile{shape: wire.ShapeBatch, priority: "high", tasks: 3, gpus: 1},
		large: jobProfile{shape: wire.ShapeBatch, priority: "low", tasks: 60, gpus: 1},
	},
	{
		name:  "an array under gangs of its priority",
		burst: jobProfile{shape: wire.ShapeGang, priority: "normal", tasks: 2, gpus: 1},
		large: jobProfile{shape: wire.ShapeBatch, priority: "normal", tasks: 60, gpus: 1},
	},
	{
		name:  "an array under gangs of a higher priority",
		burst: jobProfile{shape: wire.ShapeGang, priority: "high", tasks: 2, gpus: 1},
		large: jobProfile{shape: wire.ShapeBatch, priority: "low", tasks: 60, gpus: 1},
	},
	{
		name:  "a gang under small gangs",
		burst: jobProfile{shape: wire.ShapeGang, priority: "normal", tasks: 1, gpus: 1},
		large: jobProfile{shape: wire.ShapeGang, priority: "normal", tasks: 4, gpus: 2},
	},
	{
		name:  "a gang under small gangs of a higher priority",
		burst: jobProfile{shape: wire.ShapeGang, priority: "high", tasks: 1, gpus: 1},
		large: jobProfile{shape: wire.ShapeGang, priority: "low", tasks: 4, gpus: 2},
	},
}

// However long a burst of others lasts, nobody starves: the largest array and
// the largest gang start within four minutes.
func TestNoStarvation(t *testing.T) {
	for _, c := range starvationCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.scheduler.ledger = quota.NewLedger([]config.Team{{Name: "blue"}}, 1)
			for range 8 {
				h.addProfile(c.burst)
			}
			h.scheduler.Schedule(h.now)
			large := h.addProfile(c.large)
			start := h.now
			for second := 0; large.assigned == 0 && large.completed.count == 0; second++ {
				if h.now.Sub(start) > 4*time.Minute {
					t.Fatalf("nothing of %s has started", large.Spec.ID)
				}
				h.now = h.now.Add(time.Second)
				if second%2 == 0 {
					h.addProfile(c.burst)
				}
				h.endTasks(10 * time.Second)
			}
		})
	}
}

// endTasks lets the machines report that tasks have ended: those that were told
// to stop, and those that have completed after a run time.
func (h *testHarness) endTasks(runTime time.Duration) {
	for _, machine := range h.registry.All() {
		var statuses []wire.TaskStatus
		for _, task := range h.assigned(machine) {
			if task.phase == Stopping {
				statuses = append(statuses, exited(task.Name(), wire.ExitStopped))
			} else if h.now.Sub(task.dispatchedAt) > runTime {
				statuses = append(statuses, exited(task.Name(), wire.ExitDone))
			}
		}
		h.heartbeat(machine, statuses...)
	}
}
