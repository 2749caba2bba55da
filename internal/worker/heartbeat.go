package worker

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// StatusSource is the kind of message in which a worker sent its status.
type StatusSource bool

// The sources of a worker's status.
const (
	// FromHeartbeat: the worker sent its status on its own.
	FromHeartbeat StatusSource = true
	// FromCommandReply: the status is the worker's reply to a direct command.
	FromCommandReply StatusSource = false
)

// HeartbeatResult is what a worker's status is worth.
type HeartbeatResult int

// The results of applying a status.
const (
	// HeartbeatCurrent: the newest status so far.
	HeartbeatCurrent HeartbeatResult = iota
	// HeartbeatStale: an older or repeated message; nothing may be concluded from it.
	HeartbeatStale
	// HeartbeatNewIncarnation: the newest status, and the worker's lease had expired since the
	// one before.
	HeartbeatNewIncarnation
)

// ObserveSequence notes the sequence number of a message that may be a late copy, so that nothing
// else is concluded from it, and reports whether it is above all seen so far.
func (l *Liveness) ObserveSequence(status *wire.Heartbeat) bool {
	if !isNewer(status, l.SeenIncarnation, l.SeenSequence) {
		return false
	}
	l.SeenIncarnation, l.SeenSequence = status.Incarnation, status.Sequence
	return true
}

// isNewer reports whether a worker sent the status after the one of that incarnation and sequence.
func isNewer(status *wire.Heartbeat, incarnation, sequence uint64) bool {
	if status.Incarnation != incarnation {
		return status.Incarnation > incarnation
	}
	return status.Sequence > sequence
}

// ApplyHeartbeat updates a machine by the status that its worker sent, unless that is stale.
func (r *Registry) ApplyHeartbeat(now time.Time, machine *Machine, status *wire.Heartbeat,
	source StatusSource) HeartbeatResult {
	if machine.isStale(status) {
		return HeartbeatStale
	}
	machine.ObserveSequence(status)
	machine.updateReplyConfirmed(now, status, source)
	result := HeartbeatCurrent
	if machine.Incarnation != 0 && status.Incarnation > machine.Incarnation {
		result = HeartbeatNewIncarnation
		machine.UnansweredCommands = 0 // commands to an earlier incarnation are void
	}
	machine.updateLiveness(now, status, source)
	machine.updateStatus(now, status)
	if machine.State != Deleting && machine.State != Deleted {
		r.SetState(now, machine, Up, "heartbeat")
	}
	return result
}

// isStale reports whether a status is older than what is known. Heartbeats held back by a network
// partition arrive late and out of order, and their task lists are as old as they are.
func (m *Machine) isStale(status *wire.Heartbeat) bool {
	if m.Incarnation != 0 && !isNewer(status, m.Incarnation, m.Sequence) {
		return true
	}
	// An incarnation whose lease has expired has nothing more to say, however late it arrives.
	return m.State == LeaseExpired && status.Incarnation <= m.SeenIncarnation
}

// updateReplyConfirmed is to run before the liveness is updated, to which it compares the status.
func (m *Machine) updateReplyConfirmed(now time.Time, status *wire.Heartbeat, source StatusSource) {
	switch {
	case m.confirmsReply(now, status, source):
		m.ReplyConfirmed, m.UnconfirmedSince = true, time.Time{}
	case m.UnconfirmedSince.IsZero():
		// Once proves nothing: a reply was lost, or the lease holder is a new one.
		m.ReplyConfirmed = m.ReplyConfirmed && status.Incarnation == m.Incarnation
		m.UnconfirmedSince = now
	default:
		m.ReplyConfirmed = false
	}
}

// confirmsReply reports whether a status shows that the reply to the heartbeat before, or a command
// since, has reached the worker. A worker that gets no reply gives up after some seconds and
// tries the next controller, so that it comes back late and with other heartbeats in between.
func (m *Machine) confirmsReply(now time.Time, status *wire.Heartbeat, source StatusSource) bool {
	if source == FromCommandReply || m.Incarnation == 0 {
		return true // the worker has just replied to a command; the token has reached it
	}
	if status.Incarnation != m.Incarnation {
		return false
	}
	consecutive := status.Sequence == m.Sequence+1
	return consecutive || !m.LastHeartbeat.IsZero() && now.Sub(m.LastHeartbeat) < tuning.WorkerReplyTimeout
}

func (l *Liveness) updateLiveness(now time.Time, status *wire.Heartbeat, source StatusSource) {
	if l.LeaseRenewedAt.IsZero() || status.Incarnation > l.Incarnation {
		// From here on the worker drops whatever an earlier term replies. An incarnation's
		// lease runs from its start, which may be a moment ago: a reply to an earlier
		// incarnation, or to an old copy of its heartbeat, does not bound its end.
		l.LeaseRenewedAt = now
	}
	l.Incarnation, l.Sequence, l.LastContact = status.Incarnation, status.Sequence, now
	if source == FromHeartbeat {
		l.LastHeartbeat = now
	}
}

func (m *Machine) updateStatus(now time.Time, status *wire.Heartbeat) {
	m.Address, m.Type, m.Zone, m.Spot = status.Address, status.Type, status.Zone, status.Spot
	m.PreemptionTime = time.Time{}
	if status.PreemptionNoticeS != nil {
		m.PreemptionTime = now.Add(config.Seconds(*status.PreemptionNoticeS))
	}
	m.Tasks = status.Tasks
}
