package node

import (
	"net/http"
	"time"

	"juniperchute/internal/placement"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// direct sends a direct command.
func (t *tenure) direct(now time.Time, m *worker.Machine, commands []wire.Command) {
	session := m.Incarnation
	if session == 0 {
		session = max(1, t.fencing.sessions[m.Host])
	}
	m.CommandInFlight = true
	command := wire.Do{Token: t.Token, Session: session, Commands: commands}
	t.c.env.Do(m.Address, command, t.c.leader.Deadline(), func(now time.Time, status int, rep *wire.Report) {
		if t.state == tenureOver {
			return
		}
		m.CommandInFlight = false
		t.answeredDirect(now, m, command, status, rep)
	})
}

// answeredDirect takes in what came of a direct command.
func (t *tenure) answeredDirect(now time.Time, m *worker.Machine, command wire.Do, status int, rep *wire.Report) {
	if status == NotSent {
		t.board.SettleDirectCommands(m, command.Commands)
		return
	}
	if status != http.StatusOK && status != http.StatusConflict || rep == nil || rep.Host != m.Host {
		if m.Incarnation == command.Session && len(command.Commands) > 0 {
			m.UnansweredCommands++
		}
		return
	}
	t.board.SettleDirectCommands(m, command.Commands)
	switch {
	case rep.Token > t.Token:
		t.end(now, "a machine has seen a higher token")
	case rep.Token < t.Token:
		// refused for its session: now that is known
		t.fencing.sessions[m.Host] = rep.Session
		t.fencing.due[m.Host] = now
	default:
		t.absorb(now, m, rep, false)
		t.settle(now)
	}
}

// settle draws, and sends at once what should not wait for a report.
func (t *tenure) settle(now time.Time) {
	if t.state == tenureLoading || t.state == tenureOver || !t.c.leader.Entitled(now) {
		return
	}
	t.board.Schedule(now)
	t.sendUrgent(now)
}

// sendUrgent sends what should not wait for a report.
func (t *tenure) sendUrgent(now time.Time) {
	if t.state == tenureLoading || t.state == tenureOver {
		return
	}
	for _, m := range t.board.UrgentMachines(now) {
		if commands := t.board.Commands(now, m, placement.DirectCommand); len(commands) > 0 {
			t.direct(now, m, commands)
		}
	}
}
