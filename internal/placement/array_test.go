package placement

import (
	"testing"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Primaries are queued only where there is room, backups at the other machine.
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
			t.Errorf("%d commands to %s, want its two primaries", got, machine.Host)
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
	want  []int // indexes, each of which has to be picked
}{
	{name: "none", want: []int{-1}},
	{name: "one", ranks: []int{5}, want: []int{0}},
	{name: "the lowest, wherever it is", ranks: []int{3, 1, 2}, want: []int{1}},
	{name: "any of the lowest", ranks: []int{2, 1, 4, 1, 1}, want: []int{1, 3, 4}},
}

// The choice is among the machines of the lowest rank, and each of them may be it.
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
					t.Errorf("%d was never picked, only %v", i, got)
				}
			}
			if len(got) != len(c.want) {
				t.Errorf("picked: %v, want %v", got, c.want)
			}
		})
	}
}
