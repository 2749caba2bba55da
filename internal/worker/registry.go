package worker

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// Registry holds all machines of a shard during one term. It is not safe for concurrent use.
type Registry struct {
	// HeartbeatDelay is how long the heartbeat handled last had waited for its turn. While
	// that is long, heartbeats of machines that seem unresponsive may be waiting too.
	HeartbeatDelay time.Duration

	log              *slog.Logger
	heartbeatTimeout time.Duration
	leaseExpiry      time.Duration

	byHost  map[string]*Machine
	ordered []*Machine      // in the order in which they became known
	deleted map[string]bool // hosts whose deletion was confirmed
}

// NewRegistry makes an empty registry.
func NewRegistry(workers config.Workers, log *slog.Logger) *Registry {
	lease := config.Seconds(workers.LeaseS)
	drift := time.Duration(float64(lease) * 2 * tuning.MaxClockDrift)
	return &Registry{
		log:              log,
		heartbeatTimeout: config.Seconds(workers.HeartbeatS*tuning.UnresponsiveHeartbeats) + tuning.UnresponsiveGrace,
		leaseExpiry:      lease + drift + tuning.WorkerLeaseMargin,
		byHost:           map[string]*Machine{},
		deleted:          map[string]bool{},
	}
}

// LeaseExpiry is the time from the arrival of the last heartbeat that got a reply to the moment
// at which the worker's lease has expired by any clock.
func (r *Registry) LeaseExpiry() time.Duration { return r.leaseExpiry }

// Get returns a machine, or nil.
func (r *Registry) Get(host string) *Machine { return r.byHost[host] }

// All lists the machines in the order in which they became known.
func (r *Registry) All() []*Machine { return r.ordered }

// Add makes a machine known. The host must not be known yet.
func (r *Registry) Add(now time.Time, host string, state State) *Machine {
	machine := &Machine{
		Identity:   Identity{Host: host},
		Lifecycle:  Lifecycle{State: state, StateSince: now, CreatedAt: now},
		Workload:   Workload{FailuresByJob: map[string]int{}},
		ImageCache: ImageCache{Images: map[string]time.Time{}},
	}
	r.byHost[host] = machine
	r.ordered = append(r.ordered, machine)
	return machine
}

// SetState changes a machine's state and logs the reason. A deleted machine leaves the registry.
func (r *Registry) SetState(now time.Time, machine *Machine, state State, reason string) {
	if machine.State == state {
		return
	}
	r.log.Info("worker state changed", "worker", machine.Host,
		"from", machine.State.String(), "to", state.String(), "reason", reason)
	machine.State, machine.StateSince = state, now
	if state == Deleted {
		r.remove(machine)
	}
}

func (r *Registry) remove(machine *Machine) {
	delete(r.byHost, machine.Host)
	r.RememberDeleted(machine.Host)
	if i := slices.Index(r.ordered, machine); i >= 0 {
		// a new array: callers may be iterating over the one that All returned
		r.ordered = append(r.ordered[:i:i], r.ordered[i+1:]...)
	}
}

// RememberDeleted remembers a deleted machine, so that a late copy of one of its heartbeats
// does not bring it back. Hosts are named in the order of creation: the smallest names
// are the oldest, and are forgotten first.
func (r *Registry) RememberDeleted(host string) {
	r.deleted[host] = true
	if len(r.deleted) <= tuning.DeletedMachinesKept {
		return
	}
	for _, oldest := range slices.Sorted(maps.Keys(r.deleted))[:tuning.DeletedMachinesKept/2] {
		delete(r.deleted, oldest)
	}
}

// WasDeleted reports whether a machine's deletion was confirmed in this term.
func (r *Registry) WasDeleted(host string) bool { return r.deleted[host] }

// ExpireLeases moves machines whose heartbeats have stopped through their states, and returns
// those whose leases have just expired and on which copies may have run. An unreconciled
// machine's lease was renewed by an earlier term no later than reconcileDeadline allows for.
func (r *Registry) ExpireLeases(now time.Time, reconcileDeadline time.Time) []*Machine {
	var expired []*Machine
	for _, machine := range r.ordered {
		leaseExpired := now.After(machine.leaseExpiresAt(r.leaseExpiry, reconcileDeadline))
		switch machine.State {
		case Up:
			if now.Sub(machine.LastContact) > r.heartbeatTimeout+r.HeartbeatDelay {
				r.SetState(now, machine, Unresponsive, "no heartbeat")
			}
		case Unresponsive, Deleting:
			if !leaseExpired {
				continue
			}
			if machine.State == Unresponsive {
				r.SetState(now, machine, LeaseExpired, "lease expired")
			} else if now.After(reconcileDeadline) {
				machine.LeaseEnded = true
			}
			if machine.ActiveCopies > 0 {
				expired = append(expired, machine)
			}
		case Unreconciled:
			if now.After(reconcileDeadline) && leaseExpired {
				r.SetState(now, machine, LeaseExpired, "lease expired, no contact in this term")
				expired = append(expired, machine)
			}
		}
	}
	return expired
}

// leaseExpiresAt is when the worker's lease has expired by any clock unless it is renewed. Without
// a renewal in this term that is as late as an earlier term's renewal allows.
func (l *Liveness) leaseExpiresAt(expiry time.Duration, reconcileDeadline time.Time) time.Time {
	if l.LeaseRenewedAt.IsZero() {
		return reconcileDeadline
	}
	return l.LeaseRenewedAt.Add(expiry)
}
