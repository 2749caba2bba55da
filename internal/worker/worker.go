// Package worker keeps the lives of a block's machines: what their workers
// reported last, what is on them, and when their leases are surely over.
package worker

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// State is a stage in a machine's life as its block's holder sees it.
type State int

// The states of a machine.
const (
	// Booting: rented, and never used by any tenure: nothing can be on it.
	Booting State = iota
	// Unreconciled: used by an earlier tenure and not heard in this one.
	Unreconciled
	// Up: reports.
	Up
	// Unresponsive: reports have stopped, its lease may still stand.
	Unresponsive
	// LeaseExpired: silent until its lease was surely over: nothing is on it.
	LeaseExpired
	// Deleting: a deletion is under way.
	Deleting
	// Deleted: its deletion was answered.
	Deleted
)

func (s State) String() string {
	return [...]string{"booting", "unheard", "up", "silent", "lapsed", "deleting", "gone"}[s]
}

// Machine is one machine of the block.
type Machine struct {
	Host    string
	Address string
	Type    string
	Zone    string
	Spot    bool
	Capacity     quota.Resources
	ImagePullGBPerS   float64 // GB of images a second, 0: not known

	State   State
	StateSince   time.Time // of the state
	CreatedAt    time.Time // when this tenure learned of it, less its age if known
	Incarnation uint64
	Sequence     uint64
	LastContact   time.Time // last report or answer
	LastHeartbeat time.Time // last report
	// LeaseRenewedAt is when the last report that was answered came in. The
	// worker's lease counts from when it sent it, so not later.
	LeaseRenewedAt time.Time
	// ReplyConfirmed: its newest reports show that an answer or a command has reached
	// the worker since the ones before. One whose reports come and to which
	// nothing gets through holds no lease and carries nothing out.
	ReplyConfirmed bool
	// UnconfirmedSince is since when its reports have come without being so; zero: not.
	UnconfirmedSince time.Time
	// The newest session and report seen in any message, absorbed or not.
	SeenIncarnation, SeenSequence uint64
	PreemptionTime               time.Time // when the cloud takes it away; zero: no notice
	Tasks                []wire.TaskStatus
	HasUnknownTasks             bool // has tasks that no open job explains
	Recorded             bool // its rental record names it
	Registered                 bool // its rental record says that it may have tasks
	Quarantined               bool
	Needed               bool // a demand pass found a use for it
	Cordoned              bool // nothing more is drawn to it, so that it can be returned
	IdleSince             time.Time

	// The account of what may be on it, kept by placement.
	Allocated    quota.Resources // by copies handed out, until they are known gone
	BackupAllocated   quota.Resources // the part of Taken that spares have
	Reserved quota.Resources // to queued mains
	ActiveCopies     int             // copies handed out and not known gone
	Images   map[string]time.Time
	FailuresByJob   map[string]int // failures by job
	CommandInFlight   bool           // a direct command is under way
	UnansweredCommands   int            // direct commands that nobody answered, in this session
	// LeaseEnded: it is being deleted and its lease is surely over: nothing is on it.
	LeaseEnded bool
}

// Schedulable tells whether new work may be drawn to the machine.
func (m *Machine) Schedulable(now time.Time) bool {
	return m.State == Up && m.PreemptionTime.IsZero() && !m.Quarantined && !m.Cordoned && m.UnansweredCommands == 0 && m.Registered && !m.HasUnknownTasks && m.ReplyConfirmed
}

// Unreachable tells whether a machine's reports have come for longer than its lease
// without a sign that any answer or command reaches it.
func (m *Machine) Unreachable(now time.Time, lease time.Duration) bool {
	return !m.ReplyConfirmed && !m.UnconfirmedSince.IsZero() && m.LastHeartbeat.After(m.UnconfirmedSince) && now.Sub(m.UnconfirmedSince) > lease
}

// Available is the room not taken.
func (m *Machine) Available() quota.Resources { return m.Capacity.Sub(m.Allocated) }

// AvailableToPrimary is the room a main may claim: spares give way to it.
func (m *Machine) AvailableToPrimary() quota.Resources {
	return m.Capacity.Sub(m.Allocated).Add(m.BackupAllocated).Sub(m.Reserved)
}

// Registry is all machines of a block in one tenure.
type Registry struct {
	config  config.Workers
	log    *slog.Logger
	byHost  map[string]*Machine
	ordered  []*Machine      // in the order in which they became known
	deleted   map[string]bool // machines whose deletion was answered
	leaseExpiry time.Duration
	// HeartbeatDelay is how long the newest report handled had waited for its turn: while
	// that is long, machines that seem silent have their reports waiting here.
	HeartbeatDelay time.Duration
}

// NewRegistry makes an empty registry.
func NewRegistry(workers config.Workers, log *slog.Logger) *Registry {
	lease := config.Seconds(workers.LeaseS)
	return &Registry{config: workers, log: log, byHost: map[string]*Machine{}, deleted: map[string]bool{},
		leaseExpiry: lease + time.Duration(float64(lease)*2*tuning.MaxClockDrift) + tuning.WorkerLeaseMargin}
}

// LeaseExpiry is how long after its last answered report came in a worker's lease
// is surely over.
func (r *Registry) LeaseExpiry() time.Duration { return r.leaseExpiry }

// Get returns a machine, or nil.
func (r *Registry) Get(host string) *Machine { return r.byHost[host] }

// All lists the machines in the order in which they became known.
func (r *Registry) All() []*Machine { return r.ordered }

// Add makes a machine known.
func (r *Registry) Add(now time.Time, host string, state State) *Machine {
	machine := &Machine{Host: host, StateSince: now, CreatedAt: now, State: state, Images: map[string]time.Time{}, FailuresByJob: map[string]int{}}
	r.byHost[host] = machine
	r.ordered = append(r.ordered, machine)
	return machine
}

// SetState changes a machine's state. It is the only place that does.
func (r *Registry) SetState(now time.Time, machine *Machine, state State, reason string) {
	if machine.State == state {
		return
	}
	r.log.Info("machine", "host", machine.Host, "from", machine.State.String(), "to", state.String(), "why", reason)
	machine.State, machine.StateSince = state, now
	if state == Deleted {
		delete(r.byHost, machine.Host)
		r.RememberDeleted(machine.Host)
		for i, other := range r.ordered {
			if other == machine {
				r.ordered = append(r.ordered[:i:i], r.ordered[i+1:]...)
				break
			}
		}
	}
}

// RememberDeleted remembers a machine that is gone: a late copy of one of its reports must
// not bring it back. Names come in the order of creation, so the smallest are
// the oldest.
func (r *Registry) RememberDeleted(host string) {
	r.deleted[host] = true
	if len(r.deleted) > tuning.DeletedMachinesKept {
		for _, oldest := range slices.Sorted(maps.Keys(r.deleted))[:tuning.DeletedMachinesKept/2] {
			delete(r.deleted, oldest)
		}
	}
}

// WasDeleted tells whether a machine's deletion was answered in this tenure.
func (r *Registry) WasDeleted(host string) bool { return r.deleted[host] }

// HeartbeatResult is what a report amounts to.
type HeartbeatResult int

// The verdicts on a report.
const (
	HeartbeatCurrent HeartbeatResult = iota
	// HeartbeatStale: an older or repeated message; nothing may be concluded from it.
	HeartbeatStale
	// HeartbeatNewIncarnation: fresh, and the worker's lease had expired since the last one.
	HeartbeatNewIncarnation
)

// ObserveSequence takes note of a report from which nothing else may be concluded, as
// it may be a late copy, and tells whether it is at least the newest one seen.
func (m *Machine) ObserveSequence(status *wire.Heartbeat) bool {
	if status.Incarnation < m.SeenIncarnation || status.Incarnation == m.SeenIncarnation && status.Sequence <= m.SeenSequence {
		return false
	}
	m.SeenIncarnation, m.SeenSequence = status.Incarnation, status.Sequence
	return true
}

// confirmsReply tells whether a report shows that the answer to the one before, or a
// command since, has reached the worker. A worker that gets no answer gives up
// after some seconds and goes to the next node, so that it comes back late and
// with other reports in between.
func (m *Machine) confirmsReply(now time.Time, status *wire.Heartbeat, isHeartbeat bool) bool {
	switch {
	case !isHeartbeat || m.Incarnation == 0:
		return true // the command has just been answered; the token has reached it
	case status.Incarnation != m.Incarnation:
		return false
	}
	return status.Sequence == m.Sequence+1 || !m.LastHeartbeat.IsZero() && now.Sub(m.LastHeartbeat) < tuning.WorkerReplyTimeout
}

// ApplyHeartbeat takes in a worker's account of itself. checkin tells a report from
// the answer to a direct command.
func (r *Registry) ApplyHeartbeat(now time.Time, machine *Machine, status *wire.Heartbeat, isHeartbeat bool) HeartbeatResult {
	// Reports held back by a cut arrive late and out of order: their task
	// list is as old as they are.
	if machine.Incarnation != 0 && (status.Incarnation < machine.Incarnation || status.Incarnation == machine.Incarnation && status.Sequence <= machine.Sequence) {
		return HeartbeatStale
	}
	// What a session that is surely over had to say is old, however late it
	// comes.
	if machine.State == LeaseExpired && status.Incarnation <= machine.SeenIncarnation {
		return HeartbeatStale
	}
	machine.ObserveSequence(status)
	switch {
	case machine.confirmsReply(now, status, isHeartbeat):
		machine.ReplyConfirmed, machine.UnconfirmedSince = true, time.Time{}
	case machine.UnconfirmedSince.IsZero():
		// once is nothing: an answer was lost, or the holder is a new one
		machine.ReplyConfirmed, machine.UnconfirmedSince = machine.ReplyConfirmed && status.Incarnation == machine.Incarnation, now
	default:
		machine.ReplyConfirmed = false
	}
	result := HeartbeatCurrent
	if machine.Incarnation != 0 && status.Incarnation > machine.Incarnation {
		result = HeartbeatNewIncarnation
		machine.UnansweredCommands = 0 // commands of an earlier session are void
	}
	if machine.LeaseRenewedAt.IsZero() || status.Incarnation > machine.Incarnation {
		// From here on the worker drops whatever an earlier tenure answers. A session's
		// lease counts from when it began, which may be a moment ago: an answer to an
		// earlier session, or to an old copy of its report, says nothing of its end.
		machine.LeaseRenewedAt = now
	}
	machine.Incarnation, machine.Sequence, machine.LastContact = status.Incarnation, status.Sequence, now
	if isHeartbeat {
		machine.LastHeartbeat = now
	}
	machine.Address, machine.Type, machine.Zone, machine.Spot = status.Address, status.Type, status.Zone, status.Spot
	machine.PreemptionTime = time.Time{}
	if status.PreemptionNoticeS != nil {
		machine.PreemptionTime = now.Add(config.Seconds(*status.PreemptionNoticeS))
	}
	machine.Tasks = status.Tasks
	if machine.State != Deleting && machine.State != Deleted {
		r.SetState(now, machine, Up, "reported")
	}
	return result
}

// ExpireLeases moves machines that have stopped reporting on, and returns those
// whose leases have just become surely over.
func (r *Registry) ExpireLeases(now time.Time, reconcileDeadline time.Time) []*Machine {
	var expired []*Machine
	for _, machine := range r.ordered {
		switch machine.State {
		case Up:
			if now.Sub(machine.LastContact) > r.heartbeatTimeout()+r.HeartbeatDelay {
				r.SetState(now, machine, Unresponsive, "no report")
			}
		case Unresponsive, Deleting:
			if !now.After(machine.leaseExpiresAt(r.leaseExpiry, reconcileDeadline)) {
				continue
			}
			if machine.State == Unresponsive {
				r.SetState(now, machine, LeaseExpired, "lease surely over")
			} else if now.After(reconcileDeadline) {
				machine.LeaseEnded = true
			}
			if machine.ActiveCopies > 0 {
				expired = append(expired, machine)
			}
		case Unreconciled:
			if now.After(reconcileDeadline) && now.After(machine.leaseExpiresAt(r.leaseExpiry, reconcileDeadline)) {
				r.SetState(now, machine, LeaseExpired, "lease surely over, never heard")
				expired = append(expired, machine)
			}
		}
	}
	return expired
}

// leaseExpiresAt is when the worker's lease is surely over if nothing more is heard.
func (m *Machine) leaseExpiresAt(expiry time.Duration, reconcileDeadline time.Time) time.Time {
	if m.LeaseRenewedAt.IsZero() {
		return reconcileDeadline
	}
	return m.LeaseRenewedAt.Add(expiry)
}

func (r *Registry) heartbeatTimeout() time.Duration {
	return config.Seconds(r.config.HeartbeatS*tuning.UnresponsiveHeartbeats) + tuning.UnresponsiveGrace
}
