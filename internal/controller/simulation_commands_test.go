package controller

import (
	"strings"
	"time"

	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// SendCommands is part of Effects.
func (e *simulatedEffects) SendCommands(
	address string, d wire.DirectCommands, by time.Time,
	then func(now time.Time, heartbeat *wire.Heartbeat, err error),
) {
	at := queryEffect
	if len(d.Commands) > 0 {
		at = commandEffect
	}
	if e.deferIfFrozen(at, func() { e.SendCommands(address, d, by, then) }) {
		return
	}
	sim := e.node.sim
	sim.recordCommand(e.node.name, address, d, by)
	over := false
	finish := func(heartbeat *wire.Heartbeat, err error) {
		if !over && e.current() {
			over = true
			e.node.whenRunning(func() { then(sim.clock.Now(), heartbeat, err) })
		}
	}
	if !sim.clock.Now().Before(by) {
		sim.clock.Schedule(0, func() { finish(nil, term.ErrDeadlinePassed) })
		return
	}
	if len(d.Commands) > 0 {
		e.checkLeaseValid("a command")
	}
	sim.clock.Schedule(tuning.CommandTimeout, func() { finish(nil, term.ErrNoResponse) })
	m := sim.machines[strings.TrimPrefix(address, machineAddressPrefix)]
	if m == nil || m.inboundCut {
		return
	}
	there, back := sim.commandDelays()
	sim.checkCommands(e.node, d.Commands)
	sim.deliver(m, e.node, func() { e.executeCommands(m, d, there, back, finish) })
}

// commandDelays are how long a direct command and its answer are held up.
func (sim *simulation) commandDelays() (there, back time.Duration) {
	if sim.rng.Float64() >= sim.rates.delayedCommands {
		return 0, 0
	}
	there = time.Duration(sim.rng.IntN(20000)) * time.Millisecond
	back = time.Duration(sim.rng.IntN(5000)) * time.Millisecond
	if sim.rng.IntN(4) == 0 {
		there *= 4 // longer than a cancelled job's tasks have
	}
	if sim.rates.commandDelay > 0 {
		there = sim.rates.commandDelay
	}
	return there, back
}

// executeCommands executes a direct command that has reached its machine.
func (e *simulatedEffects) executeCommands(
	m *machine, d wire.DirectCommands, there, back time.Duration, finish func(*wire.Heartbeat, error),
) {
	sim := e.node.sim
	if m.Terminated {
		return
	}
	if there > 0 {
		sim.clock.Schedule(there, func() {
			if !m.Terminated {
				_, heartbeat := m.HandleCommand(d)
				sim.clock.Schedule(back, func() { finish(heartbeat, nil) })
			}
		})
		return
	}
	_, heartbeat := m.HandleCommand(d)
	sim.deliver(m, e.node, func() { finish(heartbeat, nil) })
	if sim.randomMessageFaults && sim.rng.IntN(20) == 0 { // a repeat of a command that was carried out
		sim.clock.Schedule(time.Duration(200+sim.rng.IntN(60000))*time.Millisecond, func() {
			if !m.Terminated && !m.Hung {
				m.HandleCommand(d)
			}
		})
	}
}
