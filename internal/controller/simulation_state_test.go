package controller

import (
	"time"

	"juniperchute/internal/store"
)

// CallState is part of Effects.
func (e *simulatedEffects) CallState(c store.Call, then func(now time.Time, r store.Result)) {
	if e.deferIfFrozen(stateEffect, func() { e.CallState(c, then) }) {
		return
	}
	sim := e.node.sim
	sim.recordStateCall(e.node.name, c)
	e.checkStoredSizes(c)
	sent := sim.clock.Now()
	over := false
	finish := func(r store.Result) {
		if over || !e.current() {
			return
		}
		over = true
		r.SentAt = sent
		e.node.whenRunning(func() { then(sim.clock.Now(), r) })
	}
	sim.clock.Schedule(c.Timeout(), func() { finish(store.Result{Err: store.ErrNoResponse}) })
	arrive := func() { e.executeStateCall(c, finish) }
	if sim.rates.slowState > 0 {
		sooner, lag := arrive, time.Duration(sim.rng.Int64N(int64(sim.rates.slowState)))
		arrive = func() { sim.clock.Schedule(lag, sooner) }
	}
	e.deliverStateCall(c, arrive)
}

// checkStoredSizes checks that what the new version writes fits the limits to come from the
// start, whenever they come; an old process's late transaction may not.
func (e *simulatedEffects) checkStoredSizes(c store.Call) {
	sim := e.node.sim
	if !sim.startsOld || !e.node.upgraded {
		return
	}
	limits := e.node.controller.config.Platform.State.StoredLimits()
	writes := c.Transaction.Writes
	for _, write := range writes {
		if len(write.Value) > int(limits.ValueKB*1024) || len(writes) > limits.TxnOps {
			sim.addViolation("%s writes %s with %d bytes, %d changes at once",
				e.node.name, write.Put, len(write.Value), len(writes))
		}
	}
}

// executeStateCall executes a call that has reached the state service.
func (e *simulatedEffects) executeStateCall(c store.Call, finish func(store.Result)) {
	sim, n := e.node.sim, e.node
	if n.stateRefused && (c.Op != store.OpWatch || c.WatchWaitMs == 0) {
		sim.clock.Schedule(sim.lag(), func() { finish(store.Result{Err: store.ErrUnavailable}) })
		return
	}
	if c.Op == store.OpWatch && n.silentWatches != "" && c.Prefix == n.silentWatches {
		return
	}
	sim.state.Call(c, func(r store.Result) {
		// a refused node's watches wait as in an outage, those opened before too
		if n.stateUnreachable() || n.stateRefused && c.Op == store.OpWatch {
			return
		}
		lag := sim.lag()
		if sim.rates.slowState > 0 {
			lag += time.Duration(sim.rng.Int64N(int64(sim.rates.slowState)))
		}
		sim.clock.Schedule(lag, func() {
			if !n.stateCut {
				finish(r)
			}
		})
	})
}

// deliverStateCall lets a call arrive, with whatever faults happen to it on its way.
func (e *simulatedEffects) deliverStateCall(c store.Call, arrive func()) {
	sim, n := e.node.sim, e.node
	roll := sim.rng.IntN(1000)
	fault := sim.rng.Float64()
	multi := c.Op == store.OpTransaction && len(c.Transaction.Writes) > 0
	execute := func() { sim.state.Call(c, func(store.Result) {}) } // its answer is lost
	upTo := func(most time.Duration) time.Duration { return time.Duration(sim.rng.Int64N(int64(most))) }
	switch {
	case multi && fault < sim.rates.lateWrites:
		sim.clock.Schedule(2*time.Second+upTo(10*time.Second), execute)
	case multi && fault < sim.rates.lateWrites+sim.rates.lostAnswers && !n.stateCut && !n.stateRefused:
		sim.clock.Schedule(sim.lag(), execute)
	case n.stateUnreachable():
		if sim.rng.IntN(2) == 0 {
			n.heldCalls = append(n.heldCalls, arrive) // comes late, even from a process that has ended
		}
	case sim.randomMessageFaults && roll < 4 && c.Op == store.OpTransaction:
		sim.clock.Schedule(upTo(30*time.Second), arrive)
	case sim.randomMessageFaults && roll < 8:
		sim.clock.Schedule(sim.lag(), execute)
	case sim.randomMessageFaults && roll < 16 && c.Op == store.OpTransaction: // carried out, and repeated late
		sim.clock.Schedule(sim.lag(), arrive)
		sim.clock.Schedule(upTo(30*time.Second), execute)
	default:
		sim.clock.Schedule(sim.lag(), arrive)
	}
}
