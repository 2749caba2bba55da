package controller

import (
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

// leanSimulation is a deployment of the size of a lean one in simulated time, loaded and
// steady.
func leanSimulation(load fakes.Workload) *simulation {
	cfg := &config.Config{Member: "x", Area: "a", Platform: load.Config()}
	sim := newSimulation(nil, 5, cfg, 1, []wire.MachineType{fakes.LargeMachineType()})
	sim.state.PageSize, sim.state.MaxHistory, sim.cloud.PageSize = 1000, 10000, 500
	sim.cloud.Available[fakes.CapacityKey(fakes.LargeMachineType().Name, "a", false)] = load.Machines
	jobs := 0
	array := func() { sim.add(load.Array(jobs), load.RunTime); jobs++ }
	gang := func() { sim.add(load.Gang(jobs), load.RunTime); jobs++ }
	for range load.Machines / 4 {
		gang()
		array()
	}
	const every = 100 * time.Millisecond
	owedArrays, owedGangs := 0.0, 0.0
	var more func()
	more = func() {
		owedArrays += load.ArraysPerS * every.Seconds()
		owedGangs += load.GangsPerS * every.Seconds()
		for ; owedArrays >= 1; owedArrays-- {
			array()
		}
		for ; owedGangs >= 1; owedGangs-- {
			gang()
		}
		sim.clock.Schedule(every, more)
	}
	more()
	sim.clock.RunUntil(fakes.Epoch.Add(45 * time.Second))
	return sim
}

// BenchmarkSteady measures a second of a lean deployment's decisions, at all its
// controllers, without what carries them out. The fakes' time is in it.
func BenchmarkSteady(b *testing.B) {
	for _, load := range append(fakes.SmallWorkloads(), fakes.LargestWorkload()) {
		b.Run(load.Name, func(b *testing.B) {
			sim := leanSimulation(load)
			first := sim.longestEvent
			sim.longestEvent = 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				sim.clock.RunUntil(sim.clock.Now().Add(time.Second))
			}
			b.StopTimer()
			b.ReportMetric(float64(len(sim.machines)), "machines")
			b.ReportMetric(float64(sim.longestEvent.Microseconds()), "us/longest-turn")
			b.ReportMetric(float64(first.Microseconds()), "us/longest-turn-at-first")
			if sim.leaseHolder() == nil {
				b.Fatal("no holder")
			}
		})
	}
}
