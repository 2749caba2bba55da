package placement

import (
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// jobProfile holds the parameters of a job in a starvation test.
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
	burst jobProfile // one such job arrives every two seconds
	large jobProfile // must start despite the burst
}{
	{
		name:  "large array behind small arrays",
		burst: jobProfile{shape: wire.ShapeBatch, priority: "normal", tasks: 2, gpus: 1},
		large: jobProfile{shape: wire.ShapeBatch, priority: "normal", tasks: 60, gpus: 1},
	},
	{
		name:  "large array behind arrays of a higher priority",
		burst: jobProfile{shape: wire.ShapeBatch, priority: "high", tasks: 3, gpus: 1},
		large: jobProfile{shape: wire.ShapeBatch, priority: "low", tasks: 60, gpus: 1},
	},
	{
		name:  "large array behind gangs of the same priority",
		burst: jobProfile{shape: wire.ShapeGang, priority: "normal", tasks: 2, gpus: 1},
		large: jobProfile{shape: wire.ShapeBatch, priority: "normal", tasks: 60, gpus: 1},
	},
	{
		name:  "large array behind gangs of a higher priority",
		burst: jobProfile{shape: wire.ShapeGang, priority: "high", tasks: 2, gpus: 1},
		large: jobProfile{shape: wire.ShapeBatch, priority: "low", tasks: 60, gpus: 1},
	},
	{
		name:  "large gang behind small gangs",
		burst: jobProfile{shape: wire.ShapeGang, priority: "normal", tasks: 1, gpus: 1},
		large: jobProfile{shape: wire.ShapeGang, priority: "normal", tasks: 4, gpus: 2},
	},
	{
		name:  "large gang behind small gangs of a higher priority",
		burst: jobProfile{shape: wire.ShapeGang, priority: "high", tasks: 1, gpus: 1},
		large: jobProfile{shape: wire.ShapeGang, priority: "low", tasks: 4, gpus: 2},
	},
}

// Guards against starvation: a large array or gang must start within four
// minutes under a continuous load of other jobs.
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
					t.Fatalf("no task of %s has started within 4 minutes", large.Spec.ID)
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

// endTasks applies heartbeats of all machines in which stopping tasks have
// exited and those dispatched more than runTime ago have completed.
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
