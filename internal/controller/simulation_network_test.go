package controller

import (
	"slices"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

// Nodes implements fakes.Network.
func (sim *simulation) Nodes() int { return len(sim.nodes) }

// NodeIndex implements fakes.Network.
func (sim *simulation) NodeIndex(name string) int {
	return slices.IndexFunc(sim.nodes, func(n *simulatedNode) bool { return n.name == name })
}

// deliver delivers a message between a machine and a node, in either direction, by calling f. It holds
// or loses the message if there is a partition between them or the machine hangs.
func (sim *simulation) deliver(m *machine, n *simulatedNode, f func()) {
	reachesOtherOnly := m.onlyNode != nil && m.onlyNode != n
	unreachable := m.partitioned || n.workersPartitioned || reachesOtherOnly ||
		sim.crossesZoneBoundary(m.Host.Zone, n.zone)
	if unreachable || m.Hung {
		if sim.rng.IntN(2) == 0 {
			m.heldMessages = append(m.heldMessages, f)
		}
		return
	}
	delay := sim.networkDelay()
	if sim.rates.maxLinkDelay > 0 {
		delay += time.Duration(sim.rng.Int64N(int64(sim.rates.maxLinkDelay)))
	}
	sim.clock.Schedule(delay, func() {
		if m.Hung {
			m.heldMessages = append(m.heldMessages, f)
			return
		}
		f()
	})
}

// release delivers the held messages of a machine.
func (sim *simulation) release(m *machine) {
	held := m.heldMessages
	m.heldMessages = nil
	for _, f := range held {
		sim.clock.Schedule(sim.networkDelay(), f)
	}
}

// Send implements fakes.Network. It passes a worker's heartbeat to a controller, and may keep copies
// of it for later delivery.
func (sim *simulation) Send(
	w *fakes.Worker, node int, heartbeat *wire.Heartbeat, reply fakes.ReplyFunc,
) {
	m, n := sim.machines[w.Host.ID], sim.nodes[node]
	if m.outboundBlocked {
		reply(0, wire.HeartbeatResponse{}, "") // the connection fails
		return
	}
	respond := func(status int, body any) {
		sim.recordWorkerResponse(n.name, w.Host.ID, status, body)
		commands, _ := body.(wire.HeartbeatResponse)
		redirect, _ := body.(wire.Redirect)
		sim.checkCommands(n, commands.Commands)
		if !m.inboundBlocked {
			sim.deliver(m, n, func() { reply(status, commands, redirect.Member) })
		}
	}
	sim.deliver(m, n, func() {
		if !n.alive {
			if !m.inboundBlocked {
				reply(0, wire.HeartbeatResponse{}, "")
			}
			return
		}
		n.whenRunning(func() { n.controller.HandleHeartbeat(sim.clock.Now(), heartbeat, respond) })
	})
	sim.copyHeartbeat(heartbeat)
}

// copyHeartbeat may keep copies of a heartbeat, to be delivered late or when the next term starts.
func (sim *simulation) copyHeartbeat(heartbeat *wire.Heartbeat) {
	const maxHeld = 100
	if sim.randomMessageFaults && sim.rng.IntN(50) == 0 || sim.rng.Float64() < sim.rates.repeatedHeartbeats {
		sim.deliverCopyLate(heartbeat)
	}
	if sim.rng.Float64() < sim.rates.heartbeatsToNextLeaseHolder && len(sim.heldHeartbeats) < maxHeld {
		sim.heldHeartbeats = append(sim.heldHeartbeats, cloneHeartbeat(heartbeat))
	}
}

// cloneHeartbeat returns a copy of a heartbeat that shares no task with it.
func cloneHeartbeat(heartbeat *wire.Heartbeat) *wire.Heartbeat {
	copied := *heartbeat
	copied.Tasks = slices.Clone(heartbeat.Tasks)
	return &copied
}

// deliverCopyLate delivers a copy of a heartbeat to a random node after 0.5 s to 40.5 s, even if the
// machine has been deleted by then.
func (sim *simulation) deliverCopyLate(heartbeat *wire.Heartbeat) {
	n, copied := sim.nodes[sim.rng.IntN(len(sim.nodes))], cloneHeartbeat(heartbeat)
	sim.clock.Schedule(time.Duration(500+sim.rng.IntN(40000))*time.Millisecond, func() { sim.deliverCopy(n, copied) })
}

// deliverCopy delivers a heartbeat to a node and drops the response.
func (sim *simulation) deliverCopy(n *simulatedNode, heartbeat *wire.Heartbeat) {
	if n.alive {
		n.whenRunning(func() {
			n.controller.HandleHeartbeat(sim.clock.Now(), heartbeat, func(status int, body any) {
				sim.recordWorkerResponse(n.name, heartbeat.Host, status, body)
			})
		})
	}
}

// releaseToNextLeaseHolder delivers the held copies of heartbeats to every controller if a term with
// a higher fencing token than before has started.
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

// releaseHeldHeartbeats delivers the held copies of heartbeats to every controller within 300 ms.
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
