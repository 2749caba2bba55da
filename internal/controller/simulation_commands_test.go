package controller

import (
	"strings"
	"time"

	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// SendCommands implements Effects. It may lose, delay or repeat the commands or lose the response.
func (e *simulatedEffects) SendCommands(
	address string, commands wire.DirectCommands, deadline time.Time,
	done func(now time.Time, heartbeat *wire.Heartbeat, err error),
) {
	kind := queryEffect
	if len(commands.Commands) > 0 {
		kind = commandEffect
	}
	if e.deferIfFrozen(kind, func() { e.SendCommands(address, commands, deadline, done) }) {
		return
	}
	sim := e.node.sim
	sim.recordCommand(e.node.name, address, commands, deadline)
	finished := false
	finish := func(heartbeat *wire.Heartbeat, err error) {
		if !finished && e.current() {
			finished = true
			e.node.whenRunning(func() { done(sim.clock.Now(), heartbeat, err) })
		}
	}
	if !sim.clock.Now().Before(deadline) {
		sim.clock.Schedule(0, func() { finish(nil, term.ErrDeadlinePassed) })
		return
	}
	if len(commands.Commands) > 0 {
		e.checkLeaseValid("sends commands")
	}
	sim.clock.Schedule(tuning.CommandTimeout, func() { finish(nil, term.ErrNoResponse) })
	m := sim.machines[strings.TrimPrefix(address, machineAddressPrefix)]
	if m == nil || m.inboundBlocked {
		return
	}
	commandDelay, responseDelay := sim.commandDelays()
	sim.checkCommands(e.node, commands.Commands)
	sim.deliver(m, e.node, func() { e.executeCommands(m, commands, commandDelay, responseDelay, finish) })
}

// commandDelays returns the random delays of a direct command and of its response, which are 0 unless
// the command is one of the share that faultRates.delayedCommands selects.
func (sim *simulation) commandDelays() (commandDelay, responseDelay time.Duration) {
	if sim.rng.Float64() >= sim.rates.delayedCommands {
		return 0, 0
	}
	commandDelay = time.Duration(sim.rng.IntN(20000)) * time.Millisecond
	responseDelay = time.Duration(sim.rng.IntN(5000)) * time.Millisecond
	if sim.rng.IntN(4) == 0 {
		commandDelay *= 4 // may exceed the time in which a cancelled job's tasks must stop
	}
	if sim.rates.commandDelay > 0 {
		commandDelay = sim.rates.commandDelay
	}
	return commandDelay, responseDelay
}

// executeCommands lets a machine execute direct commands after a delay, and delivers the response.
func (e *simulatedEffects) executeCommands(
	m *machine, commands wire.DirectCommands, commandDelay, responseDelay time.Duration,
	finish func(*wire.Heartbeat, error),
) {
	sim := e.node.sim
	if m.Terminated {
		return
	}
	if commandDelay > 0 {
		sim.clock.Schedule(commandDelay, func() {
			if !m.Terminated {
				_, heartbeat := m.HandleCommand(commands)
				sim.clock.Schedule(responseDelay, func() { finish(heartbeat, nil) })
			}
		})
		return
	}
	_, heartbeat := m.HandleCommand(commands)
	sim.deliver(m, e.node, func() { finish(heartbeat, nil) })
	if sim.randomMessageFaults && sim.rng.IntN(20) == 0 { // executed, and repeated late
		sim.clock.Schedule(time.Duration(200+sim.rng.IntN(60000))*time.Millisecond, func() {
			if !m.Terminated && !m.Hung {
				m.HandleCommandCopy(commands)
			}
		})
	}
}
