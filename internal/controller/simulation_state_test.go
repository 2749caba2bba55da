package controller

import (
	"time"

	"juniperchute/internal/store"
)

// CallState implements Effects. It may lose, delay or repeat the call or lose the response.
func (e *simulatedEffects) CallState(c store.Call, then func(now time.Time, r store.Result)) {
	if e.deferIfFrozen(stateEffect, func() { e.CallState(c, then) }) {
		return
	}
	sim := e.node.sim
	sim.recordStateCall(e.node.name, c)
	e.checkStoredSizes(c)
	sent := sim.clock.Now()
	finished := false
	finish := func(r store.Result) {
		if finished || !e.current() {
			return
		}
		finished = true
		r.SentAt = sent
		e.node.whenRunning(func() { then(sim.clock.Now(), r) })
	}
	sim.clock.Schedule(c.Timeout(), func() { finish(store.Result{Err: store.ErrNoResponse}) })
	arrive := func() { e.executeStateCall(c, finish) }
	if sim.rates.maxStateDelay > 0 {
		execute, delay := arrive, time.Duration(sim.rng.Int64N(int64(sim.rates.maxStateDelay)))
		arrive = func() { sim.clock.Schedule(delay, execute) }
	}
	e.deliverStateCall(c, arrive)
}

// checkStoredSizes checks that the transactions of the new version fit the announced limits of the
// state service, also before these apply. Transactions of the old version need not fit.
func (e *simulatedEffects) checkStoredSizes(c store.Call) {
	sim := e.node.sim
	if !sim.startsOnOldVersion || !e.node.upgraded {
		return
	}
	limits := e.node.controller.config.Platform.State.RecordLimits()
	writes := c.Transaction.Writes
	for _, write := range writes {
		if len(write.Value) > int(limits.ValueKB*1024) || len(writes) > limits.TxnOps {
			sim.addViolation("%s writes %s with %d bytes in a transaction of %d writes, above the announced limits",
				e.node.name, write.PutKey, len(write.Value), len(writes))
		}
	}
}

// executeStateCall lets the state service execute a call and passes the result to finish, unless the
// service refuses the node or the result is lost.
func (e *simulatedEffects) executeStateCall(c store.Call, finish func(store.Result)) {
	sim, n := e.node.sim, e.node
	if n.stateRefused && (c.Op != store.OpWatch || c.WatchWaitMs == 0) {
		sim.clock.Schedule(sim.networkDelay(), func() { finish(store.Result{Err: store.ErrUnavailable}) })
		return
	}
	if c.Op == store.OpWatch && n.silentWatches != "" && c.Prefix == n.silentWatches {
		return
	}
	sim.state.Call(c, func(r store.Result) {
		// The watches of a refused node get no result, as in an outage.
		if n.stateUnreachable() || n.stateRefused && c.Op == store.OpWatch {
			return
		}
		delay := sim.networkDelay()
		if sim.rates.maxStateDelay > 0 {
			delay += time.Duration(sim.rng.Int64N(int64(sim.rates.maxStateDelay)))
		}
		sim.clock.Schedule(delay, func() {
			if !n.statePartitioned {
				finish(r)
			}
		})
	})
}

// deliverStateCall delivers a call by calling arrive, subject to the faults of the simulation.
func (e *simulatedEffects) deliverStateCall(c store.Call, arrive func()) {
	sim, n := e.node.sim, e.node
	roll := sim.rng.IntN(1000)
	fault := sim.rng.Float64()
	hasWrites := c.Op == store.OpTransaction && len(c.Transaction.Writes) > 0
	execute := func() { sim.state.Call(c, func(store.Result) {}) } // drops the result
	upTo := func(limit time.Duration) time.Duration { return time.Duration(sim.rng.Int64N(int64(limit))) }
	switch {
	case hasWrites && fault < sim.rates.delayedWrites:
		sim.clock.Schedule(2*time.Second+upTo(10*time.Second), execute)
	case hasWrites && fault < sim.rates.delayedWrites+sim.rates.lostReplies && !n.statePartitioned && !n.stateRefused:
		sim.clock.Schedule(sim.networkDelay(), execute)
	case n.stateUnreachable():
		if sim.rng.IntN(2) == 0 {
			n.heldStateCalls = append(n.heldStateCalls, arrive) // delivered even if the process has ended
		}
	case sim.randomMessageFaults && roll < 4 && c.Op == store.OpTransaction:
		sim.clock.Schedule(upTo(30*time.Second), arrive)
	case sim.randomMessageFaults && roll < 8:
		sim.clock.Schedule(sim.networkDelay(), execute)
	case sim.randomMessageFaults && roll < 16 && c.Op == store.OpTransaction: // executed, and repeated late
		sim.clock.Schedule(sim.networkDelay(), arrive)
		sim.clock.Schedule(upTo(30*time.Second), execute)
	default:
		sim.clock.Schedule(sim.networkDelay(), arrive)
	}
}
