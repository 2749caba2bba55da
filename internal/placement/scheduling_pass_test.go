package placement

import (
	"testing"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// boundedPassMachines exceeds the number of machines that the tasks of one pass need.
const boundedPassMachines = 3 * tuning.MaxTasksPerPass

var boundedPassCases = []struct {
	name  string
	jobs  int
	shape string
	tasks int // of each job
	limit int // of the tasks queued in one pass
}{
	{
		name:  "one large array",
		jobs:  1,
		shape: wire.ShapeBatch,
		tasks: 2 * boundedPassMachines,
		limit: tuning.MaxTasksPerPass,
	},
	{
		name:  "many arrays",
		jobs:  boundedPassMachines,
		shape: wire.ShapeBatch,
		tasks: 2,
		limit: tuning.MaxTasksPerPass,
	},
	{
		name:  "many gangs",
		jobs:  3 * tuning.MaxGangsPerPass,
		shape: wire.ShapeGang,
		tasks: 2,
		limit: 2 * tuning.MaxGangsPerPass,
	},
}

// Guards against a pass that places a whole burst and so delays the renewal of
// the lease, and against a burst that is left pending after the first pass.
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
				if n := scheduledCount(jobs) - before; n == 0 || n > c.limit {
					t.Fatalf("pass %d placed %d tasks after %d of %d; want 1 to %d", pass, n, before, total, c.limit)
				}
			}
		})
	}
}

// scheduledCount returns the number of the jobs' tasks that are queued or on machines.
func scheduledCount(jobs []*Job) (n int) {
	for _, job := range jobs {
		n += len(job.tasks)
	}
	return n
}
