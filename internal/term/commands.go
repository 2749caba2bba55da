package term

import (
	"errors"
	"time"

	"juniperchute/internal/placement"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// sendCommands sends commands directly to a worker instead of with the next heartbeat response. An empty
// list queries the worker's state and proves that the worker has seen this term's token.
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

// handleCommandResult processes the response to direct commands, or their failure.
func (t *Term) handleCommandResult(now time.Time, machine *worker.Machine, sent wire.DirectCommands,
	heartbeat *wire.Heartbeat, err error) {
	if errors.Is(err, ErrDeadlinePassed) {
		t.scheduler.ResolveDirectCommands(machine, sent.Commands)
		return
	}
	if err != nil || heartbeat.Host != machine.Host {
		// The worker may still execute the commands while its incarnation lasts.
		if machine.Incarnation == sent.Incarnation && len(sent.Commands) > 0 {
			machine.UnansweredCommands++
			t.scheduler.RecordUnansweredCommands(machine, sent.Commands)
		}
		return
	}
	t.scheduler.ResolveDirectCommands(machine, sent.Commands)
	if machine.UnansweredCommands > 0 {
		machine.UnansweredCommands = 0
		t.scheduler.MarkMachineChanged(machine)
	}
	switch {
	case heartbeat.Token > t.Token:
		t.End(now, "a machine has seen a higher token")
	case heartbeat.Token < t.Token:
		// The worker rejected the incarnation; its response contains the current one.
		t.fencing.incarnations[machine.Host] = heartbeat.Incarnation
		t.fencing.queryAt[machine.Host] = now
	default:
		t.applyHeartbeat(now, machine, heartbeat, worker.FromCommandReply)
		t.schedule(now)
	}
}

// schedule runs a scheduling pass and sends the urgent commands that result from it.
func (t *Term) schedule(now time.Time) {
	if t.state == Loading || !t.Live() || !t.options.Membership.LeaseValid(now) {
		return
	}
	t.scheduler.Schedule(now)
	t.sendUrgentCommands(now)
}

// sendUrgentCommands sends the commands that must not wait for a worker's next heartbeat.
func (t *Term) sendUrgentCommands(now time.Time) {
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
