package placement

import (
	"testing"

	"juniperchute/internal/wire"
)

var failureCases = []struct {
	name        string
	jobs        int   // that fail
	machines    []int // on which, one after the other
	quarantined bool  // the first machine
	backedOff   bool  // the first job
}{
	{name: "one failure", jobs: 1, machines: []int{0}},
	{name: "two jobs on one machine", jobs: 2, machines: []int{0}, quarantined: true},
	{name: "one job on three machines", jobs: 1, machines: []int{0, 1, 2}, backedOff: true},
}

// Failures are attributed to a machine on which several jobs fail, or to a job
// that fails everywhere.
func TestFailureAttribution(t *testing.T) {
	for _, c := range failureCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 3)
			var jobs []*Job
			for range c.jobs {
				jobs = append(jobs, h.addJob("blue", wire.ShapeBatch, "low", 3, 1))
			}
			for _, i := range c.machines {
				for _, job := range jobs {
					h.scheduler.failures.record(h.now, h.registry.All()[i], &Task{Job: job})
				}
			}
			if got := h.registry.All()[0].Quarantined; got != c.quarantined {
				t.Errorf("quarantined: %t, want %t", got, c.quarantined)
			}
			if got := jobs[0].backoffUntil.After(h.now); got != c.backedOff {
				t.Errorf("backed off: %t, want %t", got, c.backedOff)
			}
		})
	}
}
