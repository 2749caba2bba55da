package term

import (
	"errors"
	"time"

	"juniperchute/internal/placement"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// sendCommands sends commands straight to a worker. Without any it only asks for the worker's
// state, which shows that the worker has seen this term's token.
func (t *Term) sendCommands(machine *worker.Machine, commands []wire.Command) {
	incarnation := machine.Incarnation
	if incarnation == 0 {
		incarnation = max(1, t.fencing.incarnations[machine.Host])
	}
	machine.CommandInFlight = true
	sent := wire.DirectCommands{Token: t.Token, Incarnation: incarnation, Commands: commands}
	deadline := t.options.Membership.LeaseDeadline()
	t.options.Effects.SendCommands(machine.Address, sent, deadline,
		func(now time.Time, heartbeat *wire.Heartbeat, err error) {
			if t.Live() {
				machine.CommandInFlight = false
				t.handleCommandResult(now, machine, sent, heartbeat, err)
			}
		})
}

// handleCommandResult takes in what came of commands sent straight to a worker.
func (t *Term) handleCommandResult(now time.Time, machine *worker.Machine, sent wire.DirectCommands,
	heartbeat *wire.Heartbeat, err error) {
	if errors.Is(err, ErrDeadlinePassed) {
		t.scheduler.ResolveDirectCommands(machine, sent.Commands)
		return
	}
	if err != nil || heartbeat.Host != machine.Host {
		// They may be executed late, as long as the worker's incarnation lasts.
		if machine.Incarnation == sent.Incarnation && len(sent.Commands) > 0 {
			machine.UnansweredCommands++
		}
		return
	}
	t.scheduler.ResolveDirectCommands(machine, sent.Commands)
	switch {
	case heartbeat.Token > t.Token:
		t.End(now, "a machine has seen a higher token")
	case heartbeat.Token < t.Token:
		// rejected for its incarnation, which is known now
		t.fencing.incarnations[machine.Host] = heartbeat.Incarnation
		t.fencing.askAt[machine.Host] = now
	default:
		t.applyHeartbeat(now, machine, heartbeat, worker.FromCommandReply)
		t.schedule(now)
	}
}

// schedule makes a scheduling pass, and sends at once what should not wait for a heartbeat.
func (t *Term) schedule(now time.Time) {
	if t.state == Loading || !t.Live() || !t.options.Membership.LeaseValid(now) {
		return
	}
	t.scheduler.Schedule(now)
	t.sendUrgent(now)
}

// sendUrgent sends what should not wait for a heartbeat.
func (t *Term) sendUrgent(now time.Time) {
	if t.state == Loading || !t.Live() {
		return
	}
	for _, machine := range t.scheduler.UrgentMachines() {
		commands := t.scheduler.Commands(now, machine, placement.DirectCommand)
		if len(commands) > 0 {
			t.sendCommands(machine, commands)
		}
	}
}
