package controller

import "time"

// randomFault makes one random fault, which passes by itself.
func (sim *simulation) randomFault() {
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	span := time.Duration(1+sim.rng.IntN(25)) * time.Second
	restartAfter := time.Duration(100+sim.rng.IntN(5000)) * time.Millisecond
	if sim.rng.IntN(3) == 0 { // over within a fraction of a second
		span = time.Duration(20+sim.rng.IntN(400)) * time.Millisecond
		restartAfter = time.Duration(10+sim.rng.IntN(300)) * time.Millisecond
	}
	switch kind := sim.rng.IntN(21); {
	case kind < 10:
		sim.nodeFault(kind, n, span, restartAfter)
	case kind < 18:
		sim.machineFault(kind, span)
	case kind == 18:
		sim.leaveWithWorkers(n, 2*span)
	default:
		n.freezeFor = time.Duration(200+sim.rng.IntN(30000)) * time.Millisecond
		n.freezeAt = []effect{anyEffect, stateEffect, commandEffect, deleteEffect}[sim.rng.IntN(4)]
	}
}

// nodeFault is one of the faults of controllers and of the services they use.
func (sim *simulation) nodeFault(kind int, n *simulatedNode, span, restartAfter time.Duration) {
	switch kind {
	case 0, 1:
		n.crash(restartAfter)
	case 2:
		for _, o := range sim.nodes {
			o.crash(restartAfter + time.Duration(sim.rng.IntN(2000))*time.Millisecond)
		}
	case 3:
		n.stateCut = true
		sim.clock.Schedule(span, n.reconnectState)
	case 4:
		sim.refuseState(n, span)
	case 5:
		n.workersCut = true
		sim.clock.Schedule(span, func() {
			n.workersCut = false
			sim.releaseAll()
		})
	case 6:
		n.peersCut = true
		sim.clock.Schedule(span, func() { n.peersCut = false })
	case 7:
		sim.stateOutage(span)
	case 8:
		sim.cloud.Unavailable = true
		sim.clock.Schedule(span, func() { sim.cloud.Unavailable = false })
	case 9:
		n.cloudCut = true
		sim.clock.Schedule(span, func() { n.cloudCut = false })
	}
}

// machineFault is one of the faults of machines.
func (sim *simulation) machineFault(kind int, span time.Duration) {
	const notice = 8 * time.Second
	switch kind {
	case 10, 11:
		sim.applyFault(sim.randomMachines(), span, partition)
	case 12, 13:
		sim.applyFault(sim.randomMachines(), span, hang)
	case 14:
		h := sim.randomMachine()
		if h == nil || !h.Host.Spot {
			return
		}
		if sim.rng.IntN(2) == 0 {
			h.PreemptionTime = sim.clock.Now().Add(notice)
			h.RequestHeartbeat()
		}
		sim.clock.Schedule(notice, func() { sim.cloud.Remove(h.Host.ID) })
	case 15:
		for _, h := range sim.randomMachines() {
			sim.cloud.Remove(h.Host.ID)
		}
	case 16, 17:
		sim.applyFault(sim.randomMachines(), 2*span, cutInbound)
	}
}

// machineFlag starts or ends a fault of a machine.
type machineFlag func(m *machine, on bool)

func hang(m *machine, on bool)        { m.Hung = on }
func partition(m *machine, on bool)   { m.partitioned = on }
func cutInbound(m *machine, on bool)  { m.inboundCut = on }
func cutOutbound(m *machine, on bool) { m.outboundCut = on }

// applyFault has machines suffer a fault for a time.
func (sim *simulation) applyFault(machines []*machine, d time.Duration, set machineFlag) {
	for _, m := range machines {
		set(m, true)
		sim.clock.Schedule(d, func() { set(m, false); sim.release(m) })
	}
}

// releaseAll lets the held messages of all machines go.
func (sim *simulation) releaseAll() {
	for _, name := range sim.machineNames() {
		sim.release(sim.machines[name])
	}
}

// stateOutage takes the state service away from all for a time.
func (sim *simulation) stateOutage(d time.Duration) {
	sim.state.SetUnavailable(true)
	sim.clock.Schedule(d, func() { sim.state.SetUnavailable(false) })
}

// refuseState has the state service refuse one node for a time.
func (sim *simulation) refuseState(n *simulatedNode, d time.Duration) {
	n.stateRefused = true
	sim.clock.Schedule(d, func() { n.stateRefused = false })
}

// leaveWithWorkers leaves a node with its workers and users for a time.
func (sim *simulation) leaveWithWorkers(n *simulatedNode, d time.Duration) {
	n.isolate()
	sim.clock.Schedule(d, n.reconnect)
}
