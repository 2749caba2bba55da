package controller

import "time"

// injectRandomFault starts one random fault, which ends by itself.
func (sim *simulation) injectRandomFault() {
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	span := time.Duration(1+sim.rng.IntN(25)) * time.Second
	restartAfter := time.Duration(100+sim.rng.IntN(5000)) * time.Millisecond
	if sim.rng.IntN(3) == 0 { // shorter than half a second
		span = time.Duration(20+sim.rng.IntN(400)) * time.Millisecond
		restartAfter = time.Duration(10+sim.rng.IntN(300)) * time.Millisecond
	}
	switch kind := sim.rng.IntN(21); {
	case kind < 10:
		sim.injectNodeFault(kind, n, span, restartAfter)
	case kind < 18:
		sim.injectMachineFault(kind, span)
	case kind == 18:
		sim.isolateFor(n, 2*span)
	default:
		n.freezeFor = time.Duration(200+sim.rng.IntN(30000)) * time.Millisecond
		n.freezeAt = []effect{anyEffect, stateEffect, commandEffect, deleteEffect}[sim.rng.IntN(4)]
	}
}

// injectNodeFault starts a fault of a controller or of a service that controllers use, for a span.
// A crashed controller restarts after restartAfter.
func (sim *simulation) injectNodeFault(kind int, n *simulatedNode, span, restartAfter time.Duration) {
	switch kind {
	case 0, 1:
		n.crash(restartAfter)
	case 2:
		for _, o := range sim.nodes {
			o.crash(restartAfter + time.Duration(sim.rng.IntN(2000))*time.Millisecond)
		}
	case 3:
		n.statePartitioned = true
		sim.clock.Schedule(span, n.reconnectState)
	case 4:
		sim.injectStateRefusal(n, span)
	case 5:
		n.workersPartitioned = true
		sim.clock.Schedule(span, func() {
			n.workersPartitioned = false
			sim.releaseAll()
		})
	case 6:
		n.peersPartitioned = true
		sim.clock.Schedule(span, func() { n.peersPartitioned = false })
	case 7:
		sim.injectStateOutage(span)
	case 8:
		sim.cloud.Unavailable = true
		sim.clock.Schedule(span, func() { sim.cloud.Unavailable = false })
	case 9:
		n.cloudPartitioned = true
		sim.clock.Schedule(span, func() { n.cloudPartitioned = false })
	}
}

// injectMachineFault starts a fault of random machines.
func (sim *simulation) injectMachineFault(kind int, span time.Duration) {
	const preemptionNotice = 8 * time.Second
	switch kind {
	case 10, 11:
		sim.applyFault(sim.randomMachines(), span, partition)
	case 12, 13:
		sim.applyFault(sim.randomMachines(), span, hang)
	case 14:
		m := sim.randomMachine()
		if m == nil || !m.Host.Spot {
			return
		}
		if sim.rng.IntN(2) == 0 {
			m.PreemptionTime = sim.clock.Now().Add(preemptionNotice)
			m.RequestHeartbeat()
		}
		sim.clock.Schedule(preemptionNotice, func() { sim.cloud.Remove(m.Host.ID) })
	case 15:
		for _, m := range sim.randomMachines() {
			sim.cloud.Remove(m.Host.ID)
		}
	case 16, 17:
		sim.applyFault(sim.randomMachines(), 2*span, blockInbound)
	}
}

// machineFlag starts a fault of a machine if on is true, and ends it otherwise.
type machineFlag func(m *machine, on bool)

func hang(m *machine, on bool)          { m.Hung = on }
func partition(m *machine, on bool)     { m.partitioned = on }
func blockInbound(m *machine, on bool)  { m.inboundBlocked = on }
func blockOutbound(m *machine, on bool) { m.outboundBlocked = on }

// applyFault starts a fault of machines and ends it after d, when their held messages are delivered.
func (sim *simulation) applyFault(machines []*machine, d time.Duration, set machineFlag) {
	for _, m := range machines {
		set(m, true)
		sim.clock.Schedule(d, func() { set(m, false); sim.release(m) })
	}
}

// releaseAll delivers the held messages of all machines.
func (sim *simulation) releaseAll() {
	for _, name := range sim.machineNames() {
		sim.release(sim.machines[name])
	}
}

// injectStateOutage makes the state service unavailable to all controllers for d.
func (sim *simulation) injectStateOutage(d time.Duration) {
	sim.state.SetUnavailable(true)
	sim.clock.Schedule(d, func() { sim.state.SetUnavailable(false) })
}

// injectStateRefusal lets the state service refuse the calls of one node for d.
func (sim *simulation) injectStateRefusal(n *simulatedNode, d time.Duration) {
	n.stateRefused = true
	sim.clock.Schedule(d, func() { n.stateRefused = false })
}

// isolateFor partitions a node from the state service and its peers for d.
func (sim *simulation) isolateFor(n *simulatedNode, d time.Duration) {
	n.isolate()
	sim.clock.Schedule(d, n.reconnect)
}
