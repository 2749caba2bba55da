package controller

import (
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/tuning"
)

// CallCloud implements Effects. It may lose, delay or repeat the call.
func (e *simulatedEffects) CallCloud(c cloud.Call, done func(now time.Time, r cloud.Result)) {
	kind := cloudEffect
	if c.Operation == cloud.DeleteMachines {
		kind = deleteEffect
	}
	if e.deferIfFrozen(kind, func() { e.CallCloud(c, done) }) {
		return
	}
	sim := e.node.sim
	sim.recordCloudCall(e.node.name, c)
	finished := false
	finish := func(r cloud.Result) {
		if !finished && e.current() {
			finished = true
			e.node.whenRunning(func() { done(sim.clock.Now(), r) })
		}
	}
	if !sim.clock.Now().Before(c.Deadline) {
		sim.clock.Schedule(0, func() { finish(cloud.Result{}) })
		return
	}
	if c.Operation == cloud.DeleteMachines {
		e.checkLeaseValid("deletes machines")
	}
	sim.clock.Schedule(tuning.CloudTimeout, func() { finish(cloud.Result{}) })
	arrive := func() {
		r := sim.cloud.Call(c)
		sim.clock.Schedule(sim.networkDelay(), func() { finish(r) })
	}
	roll := sim.rng.IntN(100)
	if e.node.cloudPartitioned || sim.randomMessageFaults && roll < 2 { // lost or executed late
		if sim.rng.IntN(2) == 0 {
			sim.clock.Schedule(time.Duration(5+sim.rng.IntN(60))*time.Second, arrive)
		}
		return
	}
	sim.clock.Schedule(100*time.Millisecond, arrive)
	if sim.randomMessageFaults && roll < 6 { // executed, and repeated late
		sim.clock.Schedule(time.Duration(1+sim.rng.IntN(60))*time.Second, func() { sim.cloud.Call(c) })
	}
}
