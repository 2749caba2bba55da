package controller

import (
	"time"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// playInboundCut cuts a machine off from all answers and commands.
func playInboundCut(sim *simulation) {
	m := sim.randomMachine()
	m.inboundCut = true
	sim.runFor(60 * time.Second)
	if sim.machines[m.Host.ID] != nil {
		sim.addViolation("%s is still rented", m.Host.ID)
	}
}

// playLostReplies loses single answers to all machines.
func playLostReplies(sim *simulation) {
	before := sortedKeys(sim.machines)
	for range 5 {
		for _, id := range before {
			if m := sim.machines[id]; m != nil {
				m.inboundCut = true
				sim.clock.Schedule(1600*time.Millisecond, func() { m.inboundCut = false })
			}
		}
		sim.runFor(9 * time.Second)
	}
	for _, id := range before {
		if sim.machines[id] == nil {
			sim.addViolation("%s was returned", id)
		}
	}
}

// playLateHeartbeatsOfDeletedMachine delivers copies of a deleted machine's heartbeats,
// to the lease holder and then to a successor that never reconciled that machine.
func playLateHeartbeatsOfDeletedMachine(sim *simulation) {
	m := sim.randomMachine()
	heartbeat := m.Heartbeat()
	sim.cloud.Remove(m.Host.ID)
	sim.runFor(40 * time.Second)
	holder := sim.leaseHolder()
	sim.deliverLateHeartbeats(holder, heartbeat)
	workers := holder.controller.terms[0].Workers()
	if w := workers.Get(m.Host.ID); w != nil {
		sim.addViolation("%s is back: %v", m.Host.ID, w.State)
	}
	holder.crash(time.Hour)
	sim.runFor(10 * time.Second)
	successor := sim.leaseHolder()
	if successor == nil {
		sim.addViolation("no successor")
		return
	}
	sim.deliverLateHeartbeats(successor, heartbeat)
	workers = successor.controller.terms[0].Workers()
	if w := workers.Get(m.Host.ID); w != nil {
		sim.addViolation("%s is back at the successor: %v", m.Host.ID, w.State)
	}
}

// deliverLateHeartbeats delivers a heartbeat three times, each under a newer number.
func (sim *simulation) deliverLateHeartbeats(n *simulatedNode, heartbeat *wire.Heartbeat) {
	for i := range 3 {
		late := *heartbeat
		late.Sequence += uint64(i)
		n.controller.HandleHeartbeat(sim.clock.Now(), &late, func(int, any) {})
	}
}

// playLateHeartbeatsOfExpiredIncarnation delivers a heartbeat of a machine whose lease
// has expired: what its incarnation reports no longer counts.
func playLateHeartbeatsOfExpiredIncarnation(sim *simulation) {
	holder := sim.leaseHolder()
	workers := holder.controller.terms[0].Workers()
	m := sim.randomMachine()
	heartbeat := m.Heartbeat()
	m.partitioned, m.Hung = true, true
	sim.runFor(workers.LeaseExpiry() + 3*time.Second)
	w := workers.Get(m.Host.ID)
	if w == nil || w.State != worker.LeaseExpired || w.ActiveCopies != 0 {
		sim.addViolation("not given up: %+v", w)
		return
	}
	answered := w.LeaseRenewedAt
	heartbeat.Sequence += 5
	holder.controller.HandleHeartbeat(sim.clock.Now(), heartbeat, func(status int, _ any) {
		if status == 200 {
			sim.addViolation("a heartbeat of an incarnation that is over was accepted")
		}
	})
	if w.State != worker.LeaseExpired || w.ActiveCopies != 0 || w.LeaseRenewedAt != answered {
		sim.addViolation("revived: %v, %d tasks", w.State, w.ActiveCopies)
	}
	m.partitioned, m.Hung = false, false
}
