package placement

import (
	"testing"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Guards against primaries queued beyond a machine's capacity and against
// backups queued at the machine of their primary.
func TestArrayDispatch(t *testing.T) {
	h := newHarness(t, 2)
	job := h.addJob("blue", wire.ShapeBatch, "normal", 6, 1)
	h.scheduler.Schedule(h.now)
	for n := range 4 {
		task := job.tasks[n]
		if task == nil || task.primary == nil || task.backup == nil || task.backup == task.primary ||
			task.phase != Unassigned {
			t.Fatalf("task %d: %+v", n, task)
		}
	}
	if len(job.tasks) != 4 || job.pendingTasks() != 2 {
		t.Fatalf("%d queued, %d pending", len(job.tasks), job.pendingTasks())
	}
	for _, machine := range h.registry.All() {
		if got := len(h.heartbeat(machine)); got != 2 {
			t.Errorf("%d commands to %s, want 2 run commands for its primaries", got, machine.Host)
		}
		h.heartbeat(machine)
	}
	for n := range 4 {
		task := job.tasks[n]
		if task.phase != Active || task.backup != nil || task.attempt>>tuning.AttemptBits != testToken {
			t.Errorf("task %d: phase %v, backup %v, attempt %d", n, task.phase, task.backup, task.attempt)
		}
	}
}

var lowestRankCases = []struct {
	name  string
	ranks []int
	want  []int // indexes that must be picked, and no others
}{
	{name: "no candidates", want: []int{-1}},
	{name: "single candidate", ranks: []int{5}, want: []int{0}},
	{name: "lowest rank is not first", ranks: []int{3, 1, 2}, want: []int{1}},
	{name: "ties are picked at random", ranks: []int{2, 1, 4, 1, 1}, want: []int{1, 3, 4}},
}

// Guards against a pick of a higher rank and against a bias among ties.
func TestPickLowestRank(t *testing.T) {
	arrays := newHarness(t, 0).scheduler.arrays
	for _, c := range lowestRankCases {
		t.Run(c.name, func(t *testing.T) {
			var candidates []candidate
			for _, rank := range c.ranks {
				candidates = append(candidates, candidate{rank: rank})
			}
			got := map[int]bool{}
			for range 200 {
				got[arrays.pickLowestRank(candidates)] = true
			}
			for _, i := range c.want {
				if !got[i] {
					t.Errorf("index %d was never picked, only %v", i, got)
				}
			}
			if len(got) != len(c.want) {
				t.Errorf("picked indexes %v, want %v", got, c.want)
			}
		})
	}
}
