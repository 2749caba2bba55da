package controller

import (
	"net/http"
	"time"

	"juniperchute/internal/placement"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// sendCommands sends a direct command.
func (t *term) sendCommands(now time.Time, m *worker.Machine, commands []wire.Command) {
	session := m.Incarnation
	if session == 0 {
		session = max(1, t.fencing.incarnations[m.Host])
	}
	m.CommandInFlight = true
	command := wire.DirectCommands{Token: t.Token, Incarnation: session, Commands: commands}
	t.controller.effects.SendCommands(m.Address, command, t.controller.membership.LeaseDeadline(), func(now time.Time, status int, rep *wire.Heartbeat) {
		if t.state == termEnded {
			return
		}
		m.CommandInFlight = false
		t.handleCommandResult(now, m, command, status, rep)
	})
}

// handleCommandResult takes in what came of a direct command.
func (t *term) handleCommandResult(now time.Time, m *worker.Machine, command wire.DirectCommands, status int, rep *wire.Heartbeat) {
	if status == NotSent {
		t.scheduler.SettleDirectCommands(m, command.Commands)
		return
	}
	if status != http.StatusOK && status != http.StatusConflict || rep == nil || rep.Host != m.Host {
		if m.Incarnation == command.Incarnation && len(command.Commands) > 0 {
			m.UnansweredCommands++
		}
		return
	}
	t.scheduler.SettleDirectCommands(m, command.Commands)
	switch {
	case rep.Token > t.Token:
		t.end(now, "a machine has seen a higher token")
	case rep.Token < t.Token:
		// refused for its session: now that is known
		t.fencing.incarnations[m.Host] = rep.Incarnation
		t.fencing.askAt[m.Host] = now
	default:
		t.applyHeartbeat(now, m, rep, false)
		t.scheduleNow(now)
	}
}

// scheduleNow draws, and sends at once what should not wait for a report.
func (t *term) scheduleNow(now time.Time) {
	if t.state == termLoading || t.state == termEnded || !t.controller.membership.LeaseValid(now) {
		return
	}
	t.scheduler.Schedule(now)
	t.sendUrgent(now)
}

// sendUrgent sends what should not wait for a report.
func (t *term) sendUrgent(now time.Time) {
	if t.state == termLoading || t.state == termEnded {
		return
	}
	for _, m := range t.scheduler.UrgentMachines(now) {
		if commands := t.scheduler.Commands(now, m, placement.DirectCommand); len(commands) > 0 {
			t.sendCommands(now, m, commands)
		}
	}
}
