package worker

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// StatusSource distinguishes the messages in which a worker sends its status, both as a wire.Heartbeat:
// true means a heartbeat, false a reply to direct commands.
type StatusSource bool

// The sources of a worker's status.
const (
	// FromHeartbeat marks the status in a heartbeat, which the worker sends periodically.
	FromHeartbeat StatusSource = true
	// FromCommandReply marks the status in a worker's reply to direct commands.
	FromCommandReply StatusSource = false
)

// HeartbeatResult classifies a worker's status, from either source, by its order relative to the last one
// applied.
type HeartbeatResult int

// The results of applying a status.
const (
	// HeartbeatCurrent means that the status is the newest so far and was applied.
	HeartbeatCurrent HeartbeatResult = iota
	// HeartbeatStale means that the status is older or a duplicate and was ignored.
	HeartbeatStale
	// HeartbeatNewIncarnation means that the status was applied and that the worker's lease has expired
	// since the previous status.
	HeartbeatNewIncarnation
)

// ObserveSequence records the incarnation and sequence number of a message without applying its status. It
// reports whether the message is newer than all messages seen before.
func (l *Liveness) ObserveSequence(status *wire.Heartbeat) bool {
	if !isNewer(status, l.SeenIncarnation, l.SeenSequence) {
		return false
	}
	l.SeenIncarnation, l.SeenSequence = status.Incarnation, status.Sequence
	return true
}

// isNewer reports whether a worker sent the status after the message with the given incarnation and
// sequence number.
func isNewer(status *wire.Heartbeat, incarnation, sequence uint64) bool {
	if status.Incarnation != incarnation {
		return status.Incarnation > incarnation
	}
	return status.Sequence > sequence
}

// ApplyHeartbeat applies a worker's status, from either source, to its machine unless the status is stale.
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
		machine.UnansweredCommands = 0 // workers reject commands for an earlier incarnation
	}
	machine.updateLiveness(now, status, source)
	machine.updateStatus(now, status)
	if machine.State != Deleting && machine.State != Deleted {
		r.SetState(now, machine, Up, "heartbeat")
	}
	return result
}

// isStale reports whether a status must be ignored as outdated. A network partition can delay and reorder
// messages.
func (m *Machine) isStale(status *wire.Heartbeat) bool {
	if m.Incarnation != 0 && !isNewer(status, m.Incarnation, m.Sequence) {
		return true
	}
	// After lease expiry, only a new incarnation can run tasks.
	return m.State == LeaseExpired && status.Incarnation <= m.SeenIncarnation
}

// updateReplyConfirmed updates ReplyConfirmed and UnconfirmedSince. It must run before updateLiveness, since
// it compares the status with the last one applied.
func (m *Machine) updateReplyConfirmed(now time.Time, status *wire.Heartbeat, source StatusSource) {
	switch {
	case m.confirmsReply(now, status, source):
		m.ReplyConfirmed, m.UnconfirmedSince = true, time.Time{}
	case m.UnconfirmedSince.IsZero():
		// A single unconfirmed status may be due to a lost reply or a change of the lease holder.
		m.ReplyConfirmed = m.ReplyConfirmed && status.Incarnation == m.Incarnation
		m.UnconfirmedSince = now
	default:
		m.ReplyConfirmed = false
	}
}

// confirmsReply reports whether a status shows that the worker has received the reply to its previous
// heartbeat or a command since then. A worker without a reply times out and sends its heartbeats to other
// controllers, so that the next one here arrives late and with a gap in the sequence.
func (m *Machine) confirmsReply(now time.Time, status *wire.Heartbeat, source StatusSource) bool {
	// The caller applies the first status of a machine only if it carries the fencing token of this term.
	// The worker has that token from a reply or command of this term.
	if source == FromCommandReply || m.Incarnation == 0 {
		return true
	}
	if status.Incarnation != m.Incarnation {
		return false
	}
	consecutive := status.Sequence == m.Sequence+1
	return consecutive || !m.LastHeartbeat.IsZero() && now.Sub(m.LastHeartbeat) < tuning.WorkerReplyTimeout
}

func (l *Liveness) updateLiveness(now time.Time, status *wire.Heartbeat, source StatusSource) {
	if l.LeaseRenewedAt.IsZero() || status.Incarnation > l.Incarnation {
		// The lease of a new incarnation may have started just now. It therefore ends later than a lease
		// renewed by a reply to an earlier incarnation, or to a delayed copy of a heartbeat, would. The
		// worker rejects replies of earlier terms from now on, so these cannot renew the lease.
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
