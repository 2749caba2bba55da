package controller

import (
	"math/rand/v2"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// simulatedNode is one controller of the deployment, whose process ends and is restarted.
type simulatedNode struct {
	sim           *simulation
	name          string
	zone          string
	controller    *Controller
	alive         bool
	processNumber int  // which process runs; an ended one's effects and timers are void
	upgraded      bool // it has the new version

	stateCut      bool     // no message passes between it and the state service
	workersCut    bool     // none between it and the workers
	peersCut      bool     // none between it and the other controllers
	cloudCut      bool     // its calls of the cloud are lost, or executed late
	stateRefused  bool     // the state service answers 503 to it alone
	silentWatches string   // its watches of keys with this prefix get no answer
	heldCalls     []func() // calls of the state service that the cut holds back

	freezeFor   time.Duration // it freezes for so long in the middle of its next effect
	freezeAt    effect        // of this sort
	frozenUntil time.Time     // its clocks run on
}

// start starts a new process of the controller.
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
	if n.sim.startsOld && !n.upgraded {
		cfg.Platform.State.Next = nil // it knows nothing of limits to come, and fills its pages
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

// restartTerm has the controller start its term of the first shard once more: it is loading
// until the state service answers.
func (n *simulatedNode) restartTerm() {
	c := n.controller
	c.terms[0] = c.startTerm(n.sim.clock.Now(), c.terms[0].Term)
}

// options are what the node's process is started with.
func (n *simulatedNode) options() Options {
	options := Options{Shards: n.sim.shards}
	options.Features.IntentLog = n.sim.intentLog && (n.upgraded || !n.sim.startsOld)
	return options
}

// crash ends the process; a new one starts after a time.
func (n *simulatedNode) crash(restartAfter time.Duration) {
	if !n.alive {
		return
	}
	n.alive = false
	n.processNumber++
	n.freezeFor, n.frozenUntil = 0, time.Time{}
	n.sim.clock.Schedule(restartAfter, n.start)
}

// whenRunning carries on once the process does not stand still, if it is still there.
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

// reconnectState ends a cut from the state service: what was held back arrives.
func (n *simulatedNode) reconnectState() {
	n.stateCut = false
	for _, f := range n.heldCalls {
		n.sim.clock.Schedule(n.sim.lag(), f)
	}
	n.heldCalls = nil
}

// stateUnreachable reports whether no message passes between a node and the state service.
func (n *simulatedNode) stateUnreachable() bool {
	return n.stateCut || n.sim.isolatedZone != "" && n.sim.isolatedZone == n.zone
}

// isolate cuts a controller off from the state service and its peers: it is left with its
// workers and users.
func (n *simulatedNode) isolate() { n.stateCut, n.peersCut = true, true }

// reconnect ends an isolation.
func (n *simulatedNode) reconnect() {
	n.peersCut = false
	n.reconnectState()
}
