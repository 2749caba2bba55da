package controller

import (
	"time"

	"juniperchute/internal/fleet"
	"juniperchute/internal/tuning"
)

// CallCloud is part of Effects.
func (e *simulatedEffects) CallCloud(c fleet.Call, then func(now time.Time, r fleet.Result)) {
	at := cloudEffect
	if c.Op == fleet.OpDelete {
		at = deleteEffect
	}
	if e.deferIfFrozen(at, func() { e.CallCloud(c, then) }) {
		return
	}
	sim := e.node.sim
	sim.recordCloudCall(e.node.name, c)
	over := false
	finish := func(r fleet.Result) {
		if !over && e.current() {
			over = true
			e.node.whenRunning(func() { then(sim.clock.Now(), r) })
		}
	}
	if !sim.clock.Now().Before(c.By) {
		sim.clock.In(0, func() { finish(fleet.Result{}) })
		return
	}
	if c.Op == fleet.OpDelete {
		e.checkLeaseValid("machines returned")
	}
	sim.clock.In(tuning.CloudTimeout, func() { finish(fleet.Result{}) })
	arrive := func() {
		r := sim.cloud.Call(c)
		sim.clock.In(sim.lag(), func() { finish(r) })
	}
	roll := sim.rng.IntN(100)
	if e.node.cloudCut || sim.randomMessageFaults && roll < 2 { // lost, or executed late
		if sim.rng.IntN(2) == 0 {
			sim.clock.In(time.Duration(5+sim.rng.IntN(60))*time.Second, arrive)
		}
		return
	}
	sim.clock.In(100*time.Millisecond, arrive)
	if sim.randomMessageFaults && roll < 6 { // carried out, and repeated late
		sim.clock.In(time.Duration(1+sim.rng.IntN(60))*time.Second, func() { sim.cloud.Call(c) })
	}
}
