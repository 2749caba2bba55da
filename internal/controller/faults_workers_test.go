package controller

import (
	"time"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// simulateInboundPartition blocks all responses and commands to a machine, which must then be deleted.
func simulateInboundPartition(sim *simulation) {
	m := sim.randomMachine()
	m.inboundBlocked = true
	sim.runFor(60 * time.Second)
	if sim.machines[m.Host.ID] != nil {
		sim.addViolation("%s receives no response and has not been deleted", m.Host.ID)
	}
}

// simulateLostReplies loses single replies to all machines, none of which may be deleted for it.
func simulateLostReplies(sim *simulation) {
	before := sortedKeys(sim.machines)
	for range 5 {
		for _, id := range before {
			if m := sim.machines[id]; m != nil {
				m.inboundBlocked = true
				sim.clock.Schedule(1600*time.Millisecond, func() { m.inboundBlocked = false })
			}
		}
		sim.runFor(9 * time.Second)
	}
	for _, id := range before {
		if sim.machines[id] == nil {
			sim.addViolation("%s was deleted after single lost replies", id)
		}
	}
}

// simulateLateHeartbeatsOfDeletedMachine delivers copies of a deleted machine's heartbeats to the
// lease holder, and then to a successor that never reconciled this machine.
func simulateLateHeartbeatsOfDeletedMachine(sim *simulation) {
	m := sim.randomMachine()
	heartbeat := m.Heartbeat()
	sim.cloud.Remove(m.Host.ID)
	sim.runFor(40 * time.Second)
	holder := sim.leaseHolder()
	sim.deliverLateHeartbeats(holder, heartbeat)
	workers := holder.controller.terms[0].Workers()
	if w := workers.Get(m.Host.ID); w != nil {
		sim.addViolation("%s was added again after its deletion: %v", m.Host.ID, w.State)
	}
	holder.crash(time.Hour)
	sim.runFor(10 * time.Second)
	successor := sim.leaseHolder()
	if successor == nil {
		sim.addViolation("no controller has taken the lease over")
		return
	}
	sim.deliverLateHeartbeats(successor, heartbeat)
	workers = successor.controller.terms[0].Workers()
	if w := workers.Get(m.Host.ID); w != nil {
		sim.addViolation("%s was added by the successor after its deletion: %v", m.Host.ID, w.State)
	}
}

// deliverLateHeartbeats delivers a heartbeat three times with increasing sequence numbers.
func (sim *simulation) deliverLateHeartbeats(n *simulatedNode, heartbeat *wire.Heartbeat) {
	for i := range 3 {
		late := *heartbeat
		late.Sequence += uint64(i)
		n.controller.HandleHeartbeat(sim.clock.Now(), &late, func(int, any) {})
	}
}

// simulateLateHeartbeatsOfExpiredIncarnation delivers a heartbeat of a worker whose lease has
// expired. The heartbeat must be rejected and leave the worker's state unchanged.
func simulateLateHeartbeatsOfExpiredIncarnation(sim *simulation) {
	holder := sim.leaseHolder()
	workers := holder.controller.terms[0].Workers()
	m := sim.randomMachine()
	heartbeat := m.Heartbeat()
	m.partitioned, m.Hung = true, true
	sim.runFor(workers.LeaseTimeout() + 3*time.Second)
	w := workers.Get(m.Host.ID)
	if w == nil || w.State != worker.LeaseExpired || w.ActiveCopies != 0 {
		sim.addViolation("the worker's lease has not expired: %+v", w)
		return
	}
	renewedAt := w.LeaseRenewedAt
	heartbeat.Sequence += 5
	holder.controller.HandleHeartbeat(sim.clock.Now(), heartbeat, func(status int, _ any) {
		if status == 200 {
			sim.addViolation("a heartbeat of an expired incarnation was accepted")
		}
	})
	if w.State != worker.LeaseExpired || w.ActiveCopies != 0 || w.LeaseRenewedAt != renewedAt {
		sim.addViolation("a late heartbeat changed the worker: %v, %d tasks", w.State, w.ActiveCopies)
	}
	m.partitioned, m.Hung = false, false
}
