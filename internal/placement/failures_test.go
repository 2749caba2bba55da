package placement

import (
	"testing"

	"juniperchute/internal/wire"
)

var failureCases = []struct {
	name        string
	jobs        int   // number of failing jobs
	machines    []int // machines on which each job fails, in order
	quarantined bool  // the first machine is quarantined
	backedOff   bool  // the first job is backed off
}{
	{name: "one failure: no effect", jobs: 1, machines: []int{0}},
	{name: "two jobs fail on one machine: quarantined", jobs: 2, machines: []int{0}, quarantined: true},
	{name: "one job fails on three machines: backed off", jobs: 1, machines: []int{0, 1, 2}, backedOff: true},
}

// Guards against failures attributed to the wrong side: to a machine if one job
// fails everywhere, or to a job if several fail on one machine.
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
