package placement

import (
	"testing"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// A burst is drawn in several goes, each of them short, and the next ones go on
// although nothing has changed in between: a draw that placed all of a burst kept a
// starved holder from its lease for a second.
func TestPassesAreBounded(t *testing.T) {
	const machines = 3 * tuning.MaxTasksPerPass
	for _, c := range []struct {
		name  string
		jobs  int
		shape string
		tasks int
		gpus  float64
		most  int // tasks in one go
	}{
		{"a large array", 1, wire.ShapeBatch, 2 * machines, 0, tuning.MaxTasksPerPass},
		{"many arrays", machines, wire.ShapeBatch, 2, 0, tuning.MaxTasksPerPass},
		{"many gangs", 3 * tuning.MaxGangsPerPass, wire.ShapeGang, 2, 0, 2 * tuning.MaxGangsPerPass},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, machines)
			var jobs []*Job
			for range c.jobs {
				job := h.addJob("blue", c.shape, "normal", c.tasks, c.gpus)
				jobs = append(jobs, job)
			}
			h.now = h.now.Add(time.Second)
			queued := func() (n int) {
				for _, job := range jobs {
					n += len(job.tasks)
				}
				return n
			}
			total := c.jobs * c.tasks
			for pass := 0; queued() < total; pass++ {
				before := queued()
				h.scheduler.Schedule(h.now)
				if n := queued() - before; n == 0 || n > c.most {
					t.Fatalf("go %d drew %d tasks, %d of %d before; want 1 to %d", pass, n, before, total, c.most)
				}
			}
		})
	}
}

// The choice is among the machines of the lowest tier, and each of them may be it.
func TestPickLowestRank(t *testing.T) {
	arrays := newHarness(t, 0).scheduler.arrays
	for _, c := range []struct {
		name  string
		tiers []int
		want  []int
	}{
		{"none", nil, []int{-1}},
		{"one", []int{5}, []int{0}},
		{"the lowest, wherever it is", []int{3, 1, 2}, []int{1}},
		{"any of the lowest", []int{2, 1, 4, 1, 1}, []int{1, 3, 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var candidates []candidate
			for _, rank := range c.tiers {
				candidates = append(candidates, candidate{rank: rank})
			}
			got := map[int]bool{}
			for range 200 {
				got[arrays.pickLowestRank(candidates)] = true
			}
			for _, i := range c.want {
				if !got[i] {
					t.Errorf("%d was never chosen, only %v", i, got)
				}
			}
			if len(got) != len(c.want) {
				t.Errorf("chosen: %v, want %v", got, c.want)
			}
		})
	}
}
