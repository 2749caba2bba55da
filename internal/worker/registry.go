package worker

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// Registry tracks all machines of a shard during one term. It is not safe for concurrent use.
type Registry struct {
	// HeartbeatDelay is the time that the heartbeat handled last has spent in this controller's queue. It
	// extends the heartbeat timeout, because the heartbeats of other machines may be in that queue for the
	// same time.
	HeartbeatDelay time.Duration

	log              *slog.Logger
	heartbeatTimeout time.Duration
	leaseTimeout     time.Duration

	byHost  map[string]*Machine
	ordered []*Machine      // in the order of Add
	deleted map[string]bool // hosts whose deletion the cloud has confirmed
}

// NewRegistry returns an empty registry with the timeouts that follow from the worker settings.
func NewRegistry(workers config.Workers, log *slog.Logger) *Registry {
	lease := config.Seconds(workers.LeaseS)
	drift := time.Duration(float64(lease) * 2 * tuning.MaxClockDrift)
	return &Registry{
		log:              log,
		heartbeatTimeout: config.Seconds(workers.HeartbeatS*tuning.UnresponsiveHeartbeats) + tuning.UnresponsiveGrace,
		leaseTimeout:     lease + drift + tuning.WorkerLeaseMargin,
		byHost:           map[string]*Machine{},
		deleted:          map[string]bool{},
	}
}

// LeaseTimeout returns the time from the arrival of a heartbeat that renews a worker's lease until the lease
// has expired even with the maximum clock drift.
func (r *Registry) LeaseTimeout() time.Duration { return r.leaseTimeout }

// Get returns the machine with the given host name, or nil if there is none.
func (r *Registry) Get(host string) *Machine { return r.byHost[host] }

// All returns the machines in the order of Add. The caller must not modify the slice.
func (r *Registry) All() []*Machine { return r.ordered }

// Add adds a machine in the given state and returns it. The registry must not contain the host.
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

// SetState changes a machine's state and logs the change with its reason. The state Deleted removes the
// machine from the registry.
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
	r.drop(machine)
	r.MarkDeleted(machine.Host)
}

// drop removes a machine from the index and the list.
func (r *Registry) drop(machine *Machine) {
	delete(r.byHost, machine.Host)
	if i := slices.Index(r.ordered, machine); i >= 0 {
		// Allocate a new array because callers may be iterating over the slice that All returned.
		r.ordered = append(r.ordered[:i:i], r.ordered[i+1:]...)
	}
}

// Release removes a machine that belongs to another shard. Unlike a deleted one, it may be added again.
func (r *Registry) Release(machine *Machine, reason string) {
	r.log.Info("worker released to its shard", "worker", machine.Host, "from", machine.State.String(), "reason", reason)
	r.drop(machine)
}

// MarkDeleted records the deletion of a machine, so that a delayed heartbeat does not add it again. It
// evicts the hosts with the smallest names first, because host names increase in the order of creation.
func (r *Registry) MarkDeleted(host string) {
	r.deleted[host] = true
	if len(r.deleted) <= tuning.DeletedMachinesKept {
		return
	}
	for _, oldest := range slices.Sorted(maps.Keys(r.deleted))[:tuning.DeletedMachinesKept/2] {
		delete(r.deleted, oldest)
	}
}

// WasDeleted reports whether the cloud has confirmed a machine's deletion in this term. Old deletions are
// evicted.
func (r *Registry) WasDeleted(host string) bool { return r.deleted[host] }

// ExpireLeases updates the states of machines whose heartbeats have stopped. It returns the machines whose
// leases have expired and whose copies may still count as running. After unreconciledExpiresAt, every lease
// that an earlier term renewed has expired.
func (r *Registry) ExpireLeases(now time.Time, unreconciledExpiresAt time.Time) []*Machine {
	var expired []*Machine
	for _, machine := range r.ordered {
		leaseExpired := now.After(machine.leaseExpiresAt(r.leaseTimeout, unreconciledExpiresAt))
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
			} else if now.After(unreconciledExpiresAt) {
				machine.ExpiredWhileDeleting = true
			}
			if machine.AssignedCopies > 0 {
				expired = append(expired, machine)
			}
		case Unreconciled:
			if now.After(unreconciledExpiresAt) && leaseExpired {
				r.SetState(now, machine, LeaseExpired, "lease expired, no contact in this term")
				expired = append(expired, machine)
			}
		}
	}
	return expired
}

// leaseExpiresAt returns the time by which the worker's lease has expired unless it is renewed. Without a
// renewal in this term, an earlier term may have renewed it.
func (l *Liveness) leaseExpiresAt(timeout time.Duration, unreconciledExpiresAt time.Time) time.Time {
	if l.LeaseRenewedAt.IsZero() {
		return unreconciledExpiresAt
	}
	return l.LeaseRenewedAt.Add(timeout)
}
