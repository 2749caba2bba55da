package controller

import (
	"slices"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

// Nodes is part of fakes.Network.
func (sim *simulation) Nodes() int { return len(sim.nodes) }

// NodeIndex is part of fakes.Network.
func (sim *simulation) NodeIndex(name string) int {
	return slices.IndexFunc(sim.nodes, func(n *simulatedNode) bool { return n.name == name })
}

// deliver carries a message between a machine and a node, either way. A cut holds it
// back or loses it.
func (sim *simulation) deliver(m *machine, n *simulatedNode, f func()) {
	reachesOtherOnly := m.onlyNode != nil && m.onlyNode != n
	cut := m.partitioned || n.workersCut || reachesOtherOnly || sim.crossesZoneBoundary(m.Host.Zone, n.zone)
	if cut || m.Hung {
		if sim.rng.IntN(2) == 0 {
			m.held = append(m.held, f)
		}
		return
	}
	lag := sim.lag()
	if sim.rates.slowLinks > 0 {
		lag += time.Duration(sim.rng.Int64N(int64(sim.rates.slowLinks)))
	}
	sim.clock.Schedule(lag, func() {
		if m.Hung {
			m.held = append(m.held, f)
			return
		}
		f()
	})
}

// release lets held messages go.
func (sim *simulation) release(m *machine) {
	held := m.held
	m.held = nil
	for _, f := range held {
		sim.clock.Schedule(sim.lag(), f)
	}
}

// Send is part of fakes.Network.
func (sim *simulation) Send(
	w *fakes.Worker, node int, heartbeat *wire.Heartbeat, answer fakes.ReplyFunc,
) {
	m, n := sim.machines[w.Host.ID], sim.nodes[node]
	if m.outboundCut {
		answer(0, wire.HeartbeatResponse{}, "") // no connection can be made
		return
	}
	reply := func(status int, body any) {
		sim.recordWorkerAnswer(n.name, w.Host.ID, status, body)
		commands, _ := body.(wire.HeartbeatResponse)
		redirect, _ := body.(wire.Redirect)
		sim.checkCommands(n, commands.Commands)
		if !m.inboundCut {
			sim.deliver(m, n, func() { answer(status, commands, redirect.Member) })
		}
	}
	sim.deliver(m, n, func() {
		if !n.alive {
			if !m.inboundCut {
				answer(0, wire.HeartbeatResponse{}, "")
			}
			return
		}
		n.whenRunning(func() { n.controller.HandleHeartbeat(sim.clock.Now(), heartbeat, reply) })
	})
	sim.copyHeartbeat(heartbeat)
}

// copyHeartbeat keeps copies of a heartbeat, to be delivered late or to the next lease holder.
func (sim *simulation) copyHeartbeat(heartbeat *wire.Heartbeat) {
	const mostHeld = 100
	if sim.randomMessageFaults && sim.rng.IntN(50) == 0 || sim.rng.Float64() < sim.rates.lateHeartbeats {
		sim.deliverCopyLate(heartbeat)
	}
	if sim.rng.Float64() < sim.rates.heartbeatsToNextLeaseHolder && len(sim.heldHeartbeats) < mostHeld {
		sim.heldHeartbeats = append(sim.heldHeartbeats, cloneHeartbeat(heartbeat))
	}
}

// cloneHeartbeat copies a heartbeat and its tasks.
func cloneHeartbeat(heartbeat *wire.Heartbeat) *wire.Heartbeat {
	copied := *heartbeat
	copied.Tasks = slices.Clone(heartbeat.Tasks)
	return &copied
}

// deliverCopyLate delivers a copy of a heartbeat to some node, seconds to well over a lease
// later, wherever the machine is by then.
func (sim *simulation) deliverCopyLate(heartbeat *wire.Heartbeat) {
	n, copied := sim.nodes[sim.rng.IntN(len(sim.nodes))], cloneHeartbeat(heartbeat)
	sim.clock.Schedule(time.Duration(500+sim.rng.IntN(40000))*time.Millisecond, func() { sim.deliverCopy(n, copied) })
}

// deliverCopy delivers a heartbeat whose answer nobody gets.
func (sim *simulation) deliverCopy(n *simulatedNode, heartbeat *wire.Heartbeat) {
	if n.alive {
		n.whenRunning(func() {
			n.controller.HandleHeartbeat(sim.clock.Now(), heartbeat, func(status int, body any) {
				sim.recordWorkerAnswer(n.name, heartbeat.Host, status, body)
			})
		})
	}
}

// releaseToNextLeaseHolder lets the copies of old heartbeats that were kept for the next
// lease holder arrive everywhere as soon as there is one.
func (sim *simulation) releaseToNextLeaseHolder() {
	for _, n := range sim.nodes {
		if !n.alive {
			continue
		}
		for _, t := range n.controller.terms {
			if t.Token > sim.highestToken {
				sim.highestToken = t.Token
				sim.releaseHeldHeartbeats()
			}
		}
	}
}

// releaseHeldHeartbeats delivers the held copies to every controller.
func (sim *simulation) releaseHeldHeartbeats() {
	held := sim.heldHeartbeats
	sim.heldHeartbeats = nil
	for _, heartbeat := range held {
		for _, n := range sim.nodes {
			delay := time.Duration(sim.rng.IntN(300)) * time.Millisecond
			sim.clock.Schedule(delay, func() { sim.deliverCopy(n, heartbeat) })
		}
	}
}
