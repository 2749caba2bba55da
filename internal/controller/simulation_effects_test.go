package controller

import (
	"errors"
	"slices"
	"strings"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/standin"
	"juniperchute/internal/store"
	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// effect names a sort of effect just before which a process may freeze.
type effect string

const (
	anyEffect      effect = ""
	stateEffect    effect = "state"
	cloudEffect    effect = "cloud"
	returnEffect   effect = "return"
	commandEffect  effect = "command"
	questionEffect effect = "question"
)

// addressPrefix stands before a machine's name in its address.
const addressPrefix = "addr-"

// simulatedEffects carries out the effects of one process.
type simulatedEffects struct {
	node       *simulatedNode
	generation int
}

func (e *simulatedEffects) live() bool { return e.node.alive && e.node.generation == e.generation }

// frozen tells whether the process stands still just before an effect; again carries it
// out afterwards.
func (e *simulatedEffects) frozen(at effect, again func()) bool {
	n := e.node
	now := n.sim.clk.Now()
	if n.freezeFor > 0 && (n.freezeAt == anyEffect || n.freezeAt == at) {
		n.frozenUntil, n.freezeFor = now.Add(n.freezeFor), 0
	}
	if !now.Before(n.frozenUntil) {
		return false
	}
	n.whenRunning(again)
	return true
}

// checkEntitled checks that whatever changes a machine's tasks is done with the lease.
func (e *simulatedEffects) checkEntitled(what string) {
	if l := e.node.controller.membership; !l.LeaseValid(e.node.sim.clk.Now()) {
		e.node.sim.fail("%s: %s past its lease's end at %v", e.node.name, what, l.LeaseDeadline().Sub(standin.Epoch))
	}
}

// CallState is part of Effects.
func (e *simulatedEffects) CallState(c store.Call, then func(now time.Time, r store.Result)) {
	if e.frozen(stateEffect, func() { e.CallState(c, then) }) {
		return
	}
	sim := e.node.sim
	sim.recordStateCall(e.node.name, c)
	e.checkStored(c)
	sent := sim.clk.Now()
	over := false
	finish := func(r store.Result) {
		if over || !e.live() {
			return
		}
		over = true
		r.SentAt = sent
		e.node.whenRunning(func() { then(sim.clk.Now(), r) })
	}
	sim.clk.Schedule(c.Timeout(), func() { finish(store.Result{Err: store.ErrNoResponse}) })
	arrive := func() { e.stateArrives(c, finish) }
	if sim.rates.slowState > 0 {
		sooner, lag := arrive, time.Duration(sim.rng.Int64N(int64(sim.rates.slowState)))
		arrive = func() { sim.clk.Schedule(lag, sooner) }
	}
	e.sendState(c, arrive)
}

// checkStored checks that what the new version writes fits the limits to come from the
// start, whenever they come; an old process's late transaction may not.
func (e *simulatedEffects) checkStored(c store.Call) {
	sim := e.node.sim
	if !sim.startsOld || !e.node.upgraded {
		return
	}
	limits := e.node.controller.config.Platform.State.StoredLimits()
	for _, x := range c.Transaction.Writes {
		if len(x.Value) > int(limits.ValueKB*1024) || len(c.Transaction.Writes) > limits.TxnOps {
			sim.fail("%s writes %s with %d bytes, %d changes at once", e.node.name, x.Put, len(x.Value), len(c.Transaction.Writes))
		}
	}
}

// stateArrives executes a call that has reached the state service.
func (e *simulatedEffects) stateArrives(c store.Call, finish func(store.Result)) {
	sim, n := e.node.sim, e.node
	if n.stateRefused && (c.Op != store.OpWatch || c.WatchWaitMs == 0) {
		sim.clk.Schedule(sim.lag(), func() { finish(store.Result{Err: store.ErrUnavailable}) })
		return
	}
	if c.Op == store.OpWatch && n.silentWatches != "" && c.Prefix == n.silentWatches {
		return
	}
	sim.state.Call(c, func(r store.Result) {
		// a refused node's watches wait as in an outage, those opened before too
		if n.noState() || n.stateRefused && c.Op == store.OpWatch {
			return
		}
		lag := sim.lag()
		if sim.rates.slowState > 0 {
			lag += time.Duration(sim.rng.Int64N(int64(sim.rates.slowState)))
		}
		sim.clk.Schedule(lag, func() {
			if !n.stateCut {
				finish(r)
			}
		})
	})
}

// sendState lets a call arrive, with whatever faults happen to it on its way.
func (e *simulatedEffects) sendState(c store.Call, arrive func()) {
	sim, n := e.node.sim, e.node
	roll := sim.rng.IntN(1000)
	fault := sim.rng.Float64()
	multi := c.Op == store.OpTransaction && len(c.Transaction.Writes) > 0
	execute := func() { sim.state.Call(c, func(store.Result) {}) } // its answer is lost
	upTo := func(most time.Duration) time.Duration { return time.Duration(sim.rng.Int64N(int64(most))) }
	switch {
	case multi && fault < sim.rates.lateWrites:
		sim.clk.Schedule(2*time.Second+upTo(10*time.Second), execute)
	case multi && fault < sim.rates.lateWrites+sim.rates.lostAnswers && !n.stateCut && !n.stateRefused:
		sim.clk.Schedule(sim.lag(), execute)
	case n.noState():
		if sim.rng.IntN(2) == 0 {
			n.heldCalls = append(n.heldCalls, arrive) // comes late, even from a process that has ended
		}
	case sim.chaos && roll < 4 && c.Op == store.OpTransaction:
		sim.clk.Schedule(upTo(30*time.Second), arrive)
	case sim.chaos && roll < 8:
		sim.clk.Schedule(sim.lag(), execute)
	case sim.chaos && roll < 16 && c.Op == store.OpTransaction: // carried out, and repeated late
		sim.clk.Schedule(sim.lag(), arrive)
		sim.clk.Schedule(upTo(30*time.Second), execute)
	default:
		sim.clk.Schedule(sim.lag(), arrive)
	}
}

// CallCloud is part of Effects.
func (e *simulatedEffects) CallCloud(c cloud.Call, then func(now time.Time, r cloud.Result)) {
	at := cloudEffect
	if c.Operation == cloud.DeleteMachines {
		at = returnEffect
	}
	if e.frozen(at, func() { e.CallCloud(c, then) }) {
		return
	}
	sim := e.node.sim
	sim.recordCloudCall(e.node.name, c)
	over := false
	finish := func(r cloud.Result) {
		if !over && e.live() {
			over = true
			e.node.whenRunning(func() { then(sim.clk.Now(), r) })
		}
	}
	if !sim.clk.Now().Before(c.Deadline) {
		sim.clk.Schedule(0, func() { finish(cloud.Result{}) })
		return
	}
	if c.Operation == cloud.DeleteMachines {
		e.checkEntitled("machines returned")
	}
	sim.clk.Schedule(tuning.CloudTimeout, func() { finish(cloud.Result{}) })
	arrive := func() {
		r := sim.cloud.Call(c)
		sim.clk.Schedule(sim.lag(), func() { finish(r) })
	}
	roll := sim.rng.IntN(100)
	if e.node.cloudCut || sim.chaos && roll < 2 { // lost, or executed late
		if sim.rng.IntN(2) == 0 {
			sim.clk.Schedule(time.Duration(5+sim.rng.IntN(60))*time.Second, arrive)
		}
		return
	}
	sim.clk.Schedule(100*time.Millisecond, arrive)
	if sim.chaos && roll < 6 { // carried out, and repeated late
		sim.clk.Schedule(time.Duration(1+sim.rng.IntN(60))*time.Second, func() { sim.cloud.Call(c) })
	}
}

// SendCommands is part of Effects.
func (e *simulatedEffects) SendCommands(addr string, d wire.DirectCommands, by time.Time, then func(now time.Time, heartbeat *wire.Heartbeat, err error)) {
	at := questionEffect
	if len(d.Commands) > 0 {
		at = commandEffect
	}
	if e.frozen(at, func() { e.SendCommands(addr, d, by, then) }) {
		return
	}
	sim := e.node.sim
	sim.recordCommand(e.node.name, addr, d, by)
	over := false
	finish := func(heartbeat *wire.Heartbeat, err error) {
		if !over && e.live() {
			over = true
			e.node.whenRunning(func() { then(sim.clk.Now(), heartbeat, err) })
		}
	}
	if !sim.clk.Now().Before(by) {
		sim.clk.Schedule(0, func() { finish(nil, term.ErrDeadlinePassed) })
		return
	}
	if len(d.Commands) > 0 {
		e.checkEntitled("a command")
	}
	sim.clk.Schedule(tuning.CommandTimeout, func() { finish(nil, term.ErrNoReply) })
	m := sim.machines[strings.TrimPrefix(addr, addressPrefix)]
	if m == nil || m.inboundCut {
		return
	}
	there, back := sim.commandDelays()
	sim.checkCommands(e.node, d.Commands)
	sim.deliver(m, e.node, func() { e.commandArrives(m, d, there, back, finish) })
}

// commandDelays are how long a direct command and its answer are held up.
func (sim *simulation) commandDelays() (there, back time.Duration) {
	if sim.rng.Float64() >= sim.rates.delayedCommands {
		return 0, 0
	}
	there, back = time.Duration(sim.rng.IntN(20000))*time.Millisecond, time.Duration(sim.rng.IntN(5000))*time.Millisecond
	if sim.rng.IntN(4) == 0 {
		there *= 4 // longer than a cancelled job's tasks have
	}
	if sim.rates.commandDelay > 0 {
		there = sim.rates.commandDelay
	}
	return there, back
}

// commandArrives executes a direct command that has reached its machine.
func (e *simulatedEffects) commandArrives(m *machine, d wire.DirectCommands, there, back time.Duration, finish func(*wire.Heartbeat, error)) {
	sim := e.node.sim
	if m.Terminated {
		return
	}
	if there > 0 {
		sim.clk.Schedule(there, func() {
			if !m.Terminated {
				_, heartbeat := m.HandleCommand(d)
				sim.clk.Schedule(back, func() { finish(heartbeat, nil) })
			}
		})
		return
	}
	_, heartbeat := m.HandleCommand(d)
	sim.deliver(m, e.node, func() { finish(heartbeat, nil) })
	if sim.chaos && sim.rng.IntN(20) == 0 { // a repeat of a command that was carried out
		sim.clk.Schedule(time.Duration(200+sim.rng.IntN(60000))*time.Millisecond, func() {
			if !m.Terminated && !m.Hung {
				m.HandleCommand(d)
			}
		})
	}
}

var errUnreachable = errors.New("peer cannot be reached")

// callPeer carries a call to another controller, or its failure.
func callPeer[T any](e *simulatedEffects, member string, call func(o *simulatedNode) *T, then func(now time.Time, r *T, err error)) {
	sim := e.node.sim
	finish := func(r *T, err error) {
		if e.live() {
			e.node.whenRunning(func() { then(sim.clk.Now(), r, err) })
		}
	}
	fail := func() { finish(nil, errUnreachable) }
	i := slices.IndexFunc(sim.nodes, func(o *simulatedNode) bool { return o.name == member })
	sim.clk.Schedule(sim.lag(), func() {
		if i < 0 {
			sim.clk.Schedule(tuning.ProgressTimeout, fail)
			return
		}
		o := sim.nodes[i]
		if e.node.peersCut || o.peersCut || !o.alive || sim.outsideZone(e.node.zone, o.zone) || sim.clk.Now().Before(o.frozenUntil) {
			sim.clk.Schedule(tuning.ProgressTimeout, fail)
			return
		}
		finish(call(o), nil)
	})
}

// SendHeartbeat is part of Effects.
func (e *simulatedEffects) SendHeartbeat(member string, m *peerpb.PeerHeartbeat, then func(now time.Time, r *peerpb.PeerHeartbeat, err error)) {
	e.node.sim.recordPeerCall(e.node.name, member, "pulse", m)
	callPeer(e, member, func(o *simulatedNode) *peerpb.PeerHeartbeat {
		answer := o.controller.HandlePeerHeartbeat(e.node.sim.clk.Now(), m)
		e.node.sim.recordPeerAnswer(o.name, "pulse", answer)
		return answer
	}, then)
}

// AskProgress is part of Effects.
func (e *simulatedEffects) AskProgress(member string, m *peerpb.ProgressRequest, then func(now time.Time, r *peerpb.ProgressReply, err error)) {
	e.node.sim.recordPeerCall(e.node.name, member, "progress", m)
	callPeer(e, member, func(o *simulatedNode) *peerpb.ProgressReply {
		answer := o.controller.HandleProgress(m)
		e.node.sim.recordPeerAnswer(o.name, "progress", answer)
		return answer
	}, then)
}

// ProbeWorkers is part of Effects.
func (e *simulatedEffects) ProbeWorkers(member string, m *peerpb.ProbeRequest, then func(now time.Time, r *peerpb.ProbeReply, err error)) {
	e.node.sim.recordPeerCall(e.node.name, member, "probe", m)
	callPeer(e, member, func(o *simulatedNode) *peerpb.ProbeReply {
		r := &peerpb.ProbeReply{}
		for _, a := range m.Addresses {
			if h := e.node.sim.machines[strings.TrimPrefix(a, addressPrefix)]; h != nil && !h.partitioned && !h.Hung && !o.workersCut {
				r.Answered++
			}
		}
		return r
	}, then)
}
