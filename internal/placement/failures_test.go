package placement

import (
	"testing"
	"time"

	"juniperchute/internal/tuning"
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

// Guards against a job that avoids a machine for good after a failure there, and waits beside its room: the machine
// may be well again.
func TestAvoidanceOfMachineEnds(t *testing.T) {
	for _, shape := range []string{wire.ShapeBatch, wire.ShapeGang, wire.ShapeService} {
		h := newHarness(t, 1)
		machine := h.registry.All()[0]
		h.addJob("blue", shape, "low", 1, 1)
		h.heartbeatAll(2)
		for failures, seconds := range []time.Duration{15, 30, 60, 60} {
			h.heartbeat(machine, exitedAll(h.assigned(machine), wire.ExitError)...)
			failedAt := h.now
			for len(h.assigned(machine)) == 0 && h.now.Sub(failedAt) < 2*time.Minute {
				h.now = h.now.Add(tuning.PassInterval)
				h.heartbeat(machine)
			}
			want := seconds * time.Second
			if got := h.now.Sub(failedAt).Round(time.Second); got != want {
				t.Errorf("%s: starts %v after failure %d, want %v", shape, got, failures+1, want)
			}
			h.heartbeat(machine)
		}
	}
}

// Guards against a machine that is quarantined for good: it may be well again, and a task that runs on all the while
// keeps it from being deprovisioned.
func TestQuarantineEnds(t *testing.T) {
	h := newHarness(t, 1)
	machine := h.registry.All()[0]
	job, other := h.addJob("blue", wire.ShapeBatch, "low", 1, 1), h.addJob("blue", wire.ShapeBatch, "low", 1, 1)
	for _, failed := range []*Job{job, other} {
		h.scheduler.failures.record(h.now, machine, &Task{Job: failed})
	}
	ends := h.now.Add(tuning.QuarantineDuration)
	h.now = ends.Add(-time.Second)
	h.heartbeatAll(2)
	if !machine.Quarantined || machine.AssignedCopies != 0 {
		t.Fatalf("quarantined: %t, %d tasks, want true and 0", machine.Quarantined, machine.AssignedCopies)
	}
	h.now = ends
	h.heartbeatAll(2)
	if machine.Quarantined || machine.AssignedCopies != 2 {
		t.Errorf("quarantined: %t, %d tasks, want false and 2", machine.Quarantined, machine.AssignedCopies)
	}
	h.scheduler.failures.record(h.now, machine, &Task{Job: job})
	if machine.Quarantined {
		t.Error("quarantined after one failure: the earlier ones still count")
	}
}
