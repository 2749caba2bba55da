package placement

import (
	"testing"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// boundedPassMachines is more than the tasks of one pass need.
const boundedPassMachines = 3 * tuning.MaxTasksPerPass

var boundedPassCases = []struct {
	name  string
	jobs  int
	shape string
	tasks int // of each job
	most  int // tasks queued in one pass
}{
	{
		name:  "a large array",
		jobs:  1,
		shape: wire.ShapeBatch,
		tasks: 2 * boundedPassMachines,
		most:  tuning.MaxTasksPerPass,
	},
	{
		name:  "many arrays",
		jobs:  boundedPassMachines,
		shape: wire.ShapeBatch,
		tasks: 2,
		most:  tuning.MaxTasksPerPass,
	},
	{
		name:  "many gangs",
		jobs:  3 * tuning.MaxGangsPerPass,
		shape: wire.ShapeGang,
		tasks: 2,
		most:  2 * tuning.MaxGangsPerPass,
	},
}

// A burst is placed in several passes, each of them short, and the next ones go
// on although nothing has changed in between: a pass that placed all of a burst
// kept a lease holder with little CPU time from renewing its lease for a second.
func TestPassesAreBounded(t *testing.T) {
	for _, c := range boundedPassCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, boundedPassMachines)
			var jobs []*Job
			for range c.jobs {
				jobs = append(jobs, h.addJob("blue", c.shape, "normal", c.tasks, 0))
			}
			h.now = h.now.Add(time.Second)
			total := c.jobs * c.tasks
			for pass := 0; scheduledCount(jobs) < total; pass++ {
				before := scheduledCount(jobs)
				h.scheduler.Schedule(h.now)
				if n := scheduledCount(jobs) - before; n == 0 || n > c.most {
					t.Fatalf("pass %d placed %d tasks, %d of %d before; want 1 to %d", pass, n, before, total, c.most)
				}
			}
		})
	}
}

// scheduledCount counts the jobs' tasks that are queued or on machines.
func scheduledCount(jobs []*Job) (n int) {
	for _, job := range jobs {
		n += len(job.tasks)
	}
	return n
}
