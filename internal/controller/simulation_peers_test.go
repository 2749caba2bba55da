package controller

import (
	"errors"
	"slices"
	"strings"
	"time"

	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/tuning"
)

// errUnreachable means that a peer is down, frozen or partitioned.
var errUnreachable = errors.New("call peer: unreachable")

// callPeer calls another controller and passes its reply, or errUnreachable, to done.
func callPeer[T any](
	e *simulatedEffects, member string,
	call func(o *simulatedNode) *T, done func(now time.Time, r *T, err error),
) {
	sim := e.node.sim
	finish := func(r *T, err error) {
		if e.current() {
			e.node.whenRunning(func() { done(sim.clock.Now(), r, err) })
		}
	}
	fail := func() { finish(nil, errUnreachable) }
	i := slices.IndexFunc(sim.nodes, func(o *simulatedNode) bool { return o.name == member })
	sim.clock.Schedule(sim.networkDelay(), func() {
		if i < 0 {
			sim.clock.Schedule(tuning.ProgressTimeout, fail)
			return
		}
		o := sim.nodes[i]
		partitioned := e.node.peersPartitioned || o.peersPartitioned || sim.crossesZoneBoundary(e.node.zone, o.zone)
		if partitioned || !o.alive || sim.clock.Now().Before(o.frozenUntil) {
			sim.clock.Schedule(tuning.ProgressTimeout, fail)
			return
		}
		finish(call(o), nil)
	})
}

// SendPeerHeartbeat implements Effects.
func (e *simulatedEffects) SendPeerHeartbeat(
	member string, m *peerpb.PeerHeartbeat,
	done func(now time.Time, r *peerpb.PeerHeartbeat, err error),
) {
	e.node.sim.recordPeerCall(e.node.name, member, "pulse", m)
	callPeer(e, member, func(o *simulatedNode) *peerpb.PeerHeartbeat {
		reply := o.controller.HandlePeerHeartbeat(e.node.sim.clock.Now(), m)
		e.node.sim.recordPeerReply(o.name, "pulse", reply)
		return reply
	}, done)
}

// QueryProgress implements Effects.
func (e *simulatedEffects) QueryProgress(
	member string, m *peerpb.ProgressRequest,
	done func(now time.Time, r *peerpb.ProgressReply, err error),
) {
	e.node.sim.recordPeerCall(e.node.name, member, "progress", m)
	callPeer(e, member, func(o *simulatedNode) *peerpb.ProgressReply {
		reply := o.controller.HandleProgress(e.node.sim.clock.Now(), m)
		e.node.sim.recordPeerReply(o.name, "progress", reply)
		return reply
	}, done)
}

// ProbeWorkers implements Effects. The other controller counts the machines that it reaches.
func (e *simulatedEffects) ProbeWorkers(
	member string, m *peerpb.ProbeRequest,
	done func(now time.Time, r *peerpb.ProbeReply, err error),
) {
	e.node.sim.recordPeerCall(e.node.name, member, "probe", m)
	callPeer(e, member, func(o *simulatedNode) *peerpb.ProbeReply {
		r := &peerpb.ProbeReply{}
		if m.Cloud && !o.cloudPartitioned && !e.node.sim.cloud.Unavailable {
			r.Answered++
		}
		for _, address := range m.Addresses {
			target := e.node.sim.machines[strings.TrimPrefix(address, machineAddressPrefix)]
			if target != nil && !target.partitioned && !target.Hung && !o.workersPartitioned {
				r.Answered++
			}
		}
		return r
	}, done)
}
