package controller

import (
	"math/rand/v2"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// simulatedNode simulates the member of the deployment that runs one controller. Its process may
// crash and restart, each time with a new controller.
type simulatedNode struct {
	sim           *simulation
	name          string
	zone          string
	controller    *Controller
	alive         bool
	processNumber int  // changes at each crash and start; results and timers of earlier numbers are dropped
	upgraded      bool // runs the new version if the simulation starts on the old one

	statePartitioned   bool     // calls to the state service are held or lost
	workersPartitioned bool     // messages from and to workers are held or lost
	peersPartitioned   bool     // calls from and to other controllers fail
	cloudPartitioned   bool     // calls to the cloud are lost or executed late
	stateRefused       bool     // the state service returns 503 to this node only
	silentWatches      string   // prefix of the watches that get no response; "" for none
	heldStateCalls     []func() // calls to the state service to deliver after the partition

	freezeFor   time.Duration // duration of the next freeze; 0 if none is set
	freezeAt    effect        // kind of effect before which the next freeze starts
	frozenUntil time.Time     // end of the current freeze, during which the clock advances
}

// start starts a new process with a new controller, which runs its first tick within 100 ms.
func (n *simulatedNode) start() {
	n.processNumber++
	n.alive = true
	processNumber := n.processNumber
	cfg := *n.sim.cfg
	cfg.Member = n.name
	cfg.Peers = nil
	for _, o := range n.sim.nodes {
		if o != n {
			cfg.Peers = append(cfg.Peers, config.Peer{Member: o.name, Address: "127.0.0.1:1"})
		}
	}
	if n.sim.startsOnOldVersion && !n.upgraded {
		cfg.Platform.State.Next = nil // the old version writes pages up to the current limits
	}
	rng := rand.New(rand.NewPCG(n.sim.rng.Uint64(), 1))
	effects := &simulatedEffects{node: n, processNumber: processNumber}
	n.controller = NewController(&cfg, n.options(), Environment{
		Effects: effects, Rand: rng, WallClock: n.sim.clock.Now, Log: n.sim.logger(n.name),
	})
	var tick func()
	tick = func() {
		if n.alive && n.processNumber == processNumber {
			n.whenRunning(func() {
				n.controller.Tick(n.sim.clock.Now())
				n.sim.clock.Schedule(tuning.TickInterval, tick)
			})
		}
	}
	n.sim.clock.Schedule(time.Duration(n.sim.rng.IntN(100))*time.Millisecond, tick)
}

// restartTerm replaces the term of the first shard by a new one with the same token, which is loading
// until the state service responds.
func (n *simulatedNode) restartTerm() {
	c := n.controller
	c.terms[0] = c.startTerm(n.sim.clock.Now(), c.terms[0].Assignment)
}

// options returns the options of the node's next process.
func (n *simulatedNode) options() Options {
	options := Options{Shards: n.sim.shards}
	options.Features.IntentLog = n.sim.intentLog && (n.upgraded || !n.sim.startsOnOldVersion)
	return options
}

// crash ends the process and starts a new one after a delay. It has no effect on a node that is down.
func (n *simulatedNode) crash(restartAfter time.Duration) {
	if !n.alive {
		return
	}
	n.alive = false
	n.processNumber++
	n.freezeFor, n.frozenUntil = 0, time.Time{}
	n.sim.clock.Schedule(restartAfter, n.start)
}

// whenRunning calls f at once, or at the end of the current freeze if the process still runs then.
func (n *simulatedNode) whenRunning(f func()) {
	now := n.sim.clock.Now()
	if !now.Before(n.frozenUntil) {
		start := time.Now()
		f()
		n.sim.longestEvent = max(n.sim.longestEvent, time.Since(start))
		return
	}
	processNumber := n.processNumber
	n.sim.clock.Schedule(n.frozenUntil.Sub(now), func() {
		if n.alive && n.processNumber == processNumber {
			n.whenRunning(f)
		}
	})
}

// reconnectState ends a partition from the state service and delivers the held calls.
func (n *simulatedNode) reconnectState() {
	n.statePartitioned = false
	for _, f := range n.heldStateCalls {
		n.sim.clock.Schedule(n.sim.networkDelay(), f)
	}
	n.heldStateCalls = nil
}

// stateUnreachable reports whether the node is partitioned from the state service.
func (n *simulatedNode) stateUnreachable() bool {
	return n.statePartitioned || n.sim.isolatedZone != "" && n.sim.isolatedZone == n.zone
}

// isolate partitions the node from the state service and its peers. Workers, users and the cloud
// remain reachable.
func (n *simulatedNode) isolate() { n.statePartitioned, n.peersPartitioned = true, true }

// reconnect ends an isolation and delivers the held calls to the state service.
func (n *simulatedNode) reconnect() {
	n.peersPartitioned = false
	n.reconnectState()
}
