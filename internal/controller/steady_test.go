package controller

import (
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

// newLoadedSimulation returns a deployment under a constant load, after 45 s of simulated time.
func newLoadedSimulation(load fakes.Workload) *simulation {
	cfg := &config.Config{Member: "x", Zone: "a", Platform: load.Config()}
	sim := newSimulation(nil, 5, cfg, 1, []wire.MachineType{fakes.LargeMachineType()})
	sim.state.PageSize, sim.state.MaxHistory, sim.cloud.PageSize = 1000, 10000, 500
	sim.cloud.Available[fakes.CapacityKey(fakes.LargeMachineType().Name, "a", false)] = load.Machines
	jobs := 0
	array := func() { sim.submitJob(load.Array(jobs), load.RunTime); jobs++ }
	gang := func() { sim.submitJob(load.Gang(jobs), load.RunTime); jobs++ }
	for range load.Machines / 4 {
		gang()
		array()
	}
	const interval = 100 * time.Millisecond
	dueArrays, dueGangs := 0.0, 0.0
	var submitDue func()
	submitDue = func() {
		dueArrays += load.ArraysPerS * interval.Seconds()
		dueGangs += load.GangsPerS * interval.Seconds()
		for ; dueArrays >= 1; dueArrays-- {
			array()
		}
		for ; dueGangs >= 1; dueGangs-- {
			gang()
		}
		sim.clock.Schedule(interval, submitDue)
	}
	submitDue()
	sim.clock.RunUntil(fakes.Epoch.Add(45 * time.Second))
	return sim
}

// BenchmarkSteadyState measures the real time that all controllers of a deployment take for a second
// of simulated time under a constant load, without real I/O. It includes the time of the fakes.
func BenchmarkSteadyState(b *testing.B) {
	for _, load := range append(fakes.SmallWorkloads(), fakes.LargestWorkload()) {
		b.Run(load.Name, func(b *testing.B) {
			sim := newLoadedSimulation(load)
			longestAtStart := sim.longestEvent
			sim.longestEvent = 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				sim.clock.RunUntil(sim.clock.Now().Add(time.Second))
			}
			b.StopTimer()
			b.ReportMetric(float64(len(sim.machines)), "machines")
			b.ReportMetric(float64(sim.longestEvent.Microseconds()), "us/longest-turn")
			b.ReportMetric(float64(longestAtStart.Microseconds()), "us/longest-turn-at-first")
			if sim.leaseHolder() == nil {
				b.Fatal("no lease holder at the end")
			}
		})
	}
}
