package controller

import (
	"slices"
	"time"

	"juniperchute/internal/standin"
	"juniperchute/internal/wire"
)

// Nodes is part of standin.Network.
func (sim *simulation) Nodes() int { return len(sim.nodes) }

// NodeIndex is part of standin.Network.
func (sim *simulation) NodeIndex(name string) int {
	return slices.IndexFunc(sim.nodes, func(n *simulatedNode) bool { return n.name == name })
}

// deliver carries a message between a machine and a node, either way. A cut holds it
// back or loses it.
func (sim *simulation) deliver(m *machine, n *simulatedNode, f func()) {
	reachesOther := m.onlyNode != nil && m.onlyNode != n
	cut := m.partitioned || n.workersCut || reachesOther || sim.crossesZoneBoundary(m.Host.Zone, n.zone)
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
	sim.clock.In(lag, func() {
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
		sim.clock.In(sim.lag(), f)
	}
}

// Send is part of standin.Network.
func (sim *simulation) Send(w *standin.Worker, node int, report *wire.Heartbeat, answer standin.AnswerFunc) {
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
		n.whenRunning(func() { n.controller.HandleHeartbeat(sim.clock.Now(), report, reply) })
	})
	sim.copyHeartbeat(report)
}

// copyHeartbeat makes copies of a report, for late and for the next leader.
func (sim *simulation) copyHeartbeat(report *wire.Heartbeat) {
	const mostHeld = 100
	if sim.randomMessageFaults && sim.rng.IntN(50) == 0 || sim.rng.Float64() < sim.rates.lateHeartbeats {
		sim.deliverCopyLate(report)
	}
	if sim.rng.Float64() < sim.rates.heartbeatsToNextLeaseHolder && len(sim.heldHeartbeats) < mostHeld {
		sim.heldHeartbeats = append(sim.heldHeartbeats, cloneHeartbeat(report))
	}
}

func cloneHeartbeat(report *wire.Heartbeat) *wire.Heartbeat {
	copied := *report
	copied.Tasks = slices.Clone(report.Tasks)
	return &copied
}

// deliverCopyLate delivers a copy of a report to some node, seconds to well over a lease
// later, wherever the machine is by then.
func (sim *simulation) deliverCopyLate(report *wire.Heartbeat) {
	n, copied := sim.nodes[sim.rng.IntN(len(sim.nodes))], cloneHeartbeat(report)
	sim.clock.In(time.Duration(500+sim.rng.IntN(40000))*time.Millisecond, func() { sim.deliverCopy(n, copied) })
}

// deliverCopy delivers a report whose answer nobody gets.
func (sim *simulation) deliverCopy(n *simulatedNode, report *wire.Heartbeat) {
	if n.alive {
		n.whenRunning(func() {
			n.controller.HandleHeartbeat(sim.clock.Now(), report, func(status int, body any) {
				sim.recordWorkerAnswer(n.name, report.Host, status, body)
			})
		})
	}
}

// releaseToNextLeaseHolder lets the copies of old reports that were kept for the next leader
// arrive everywhere as soon as there is one.
func (sim *simulation) releaseToNextLeaseHolder() {
	for _, n := range sim.nodes {
		if !n.alive {
			continue
		}
		for _, t := range n.controller.terms {
			if t.Token <= sim.highestToken {
				continue
			}
			sim.highestToken = t.Token
			held := sim.heldHeartbeats
			sim.heldHeartbeats = nil
			for _, report := range held {
				for _, o := range sim.nodes {
					sim.clock.In(time.Duration(sim.rng.IntN(300))*time.Millisecond, func() { sim.deliverCopy(o, report) })
				}
			}
		}
	}
}
