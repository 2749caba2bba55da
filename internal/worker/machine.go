// Package worker keeps what one term of a shard knows of its machines: the status that
// their workers sent last, what may run on them, and when their leases have expired.
package worker

import (
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// State is a stage in the life of a machine as the shard's lease holder sees it.
type State int

// The states of a machine. Registry.SetState is the only way from one to another.
const (
	// Booting: provisioned, and never used in any term: nothing can run on it.
	Booting State = iota
	// Unreconciled: used in an earlier term and not in contact in this one.
	Unreconciled
	// Up: its heartbeats arrive.
	Up
	// Unresponsive: its heartbeats have stopped; its lease may not have expired yet.
	Unresponsive
	// LeaseExpired: unresponsive until its lease had expired by any clock: nothing runs on it.
	LeaseExpired
	// Deleting: to be deleted, or being deleted.
	Deleting
	// Deleted: the cloud has confirmed its deletion.
	Deleted
)

// String returns the name of the state in log lines.
func (s State) String() string {
	return [...]string{"booting", "unreconciled", "up", "unresponsive", "lease expired", "deleting", "deleted"}[s]
}

// ListingName returns the name of the state in the listings that controllers exchange and
// operators read. These names are part of the interface and do not follow the terms used here.
func (s State) ListingName() string {
	return [...]string{"booting", "unheard", "up", "silent", "lapsed", "deleting", "gone"}[s]
}

// Machine is one machine of the shard. Its embedded types hold what changes together.
type Machine struct {
	Identity
	Lifecycle
	Liveness
	Reachability
	Durability
	Workload
	Allocation
	ImageCache
}

// Identity is what a machine is. All but the host's name may become known only with the
// first heartbeat.
type Identity struct {
	Host    string
	Address string // of the worker, "host:port"
	Type    string
	Zone    string
	Spot    bool
}

// Lifecycle is how far a machine has come from its creation to its deletion.
type Lifecycle struct {
	State      State
	StateSince time.Time
	// CreatedAt is when this term first knew the machine, less the machine's age where a list
	// gave it.
	CreatedAt time.Time
	// PreemptionTime is when the cloud takes the machine away; zero without a preemption notice.
	PreemptionTime time.Time
	// IdleSince is since when nothing has run on the machine.
	IdleSince time.Time
	// Needed: the last pass of demand planning found a use for the machine.
	Needed bool
	// Cordoned: no more work is placed on the machine, so that it can be deprovisioned.
	Cordoned bool
	// Quarantined: too many tasks failed on the machine.
	Quarantined bool
}

// Liveness is how recent the last contact with a worker is, and when its lease expires.
//
// A worker's incarnation rises when its lease expires; the sequence number rises with each
// status that it sends. Messages arrive late and out of order, so a status counts only if its
// pair of both is above that of the last one applied.
type Liveness struct {
	// Incarnation and Sequence are those of the last status applied.
	Incarnation, Sequence uint64
	// SeenIncarnation and SeenSequence are the highest of any message, applied or not.
	SeenIncarnation, SeenSequence uint64
	// LastContact is when the last status was applied, be it a heartbeat or the reply to a command.
	LastContact time.Time
	// LastHeartbeat is when the last heartbeat was applied.
	LastHeartbeat time.Time
	// LeaseRenewedAt is when the last heartbeat that got a reply arrived. The worker's lease
	// runs from when it sent the heartbeat, so from no later than this.
	LeaseRenewedAt time.Time
	// LeaseEnded: the machine is being deleted and its lease has expired: nothing runs on it.
	LeaseEnded bool
}

// Reachability is whether replies and commands reach a worker.
type Reachability struct {
	// ReplyConfirmed: the newest heartbeats show that a reply or a command has reached the worker
	// since the ones before. A worker whose heartbeats arrive and to which nothing gets
	// through holds no lease and executes nothing.
	ReplyConfirmed bool
	// UnconfirmedSince is since when heartbeats have not been confirmed so; zero while they are.
	UnconfirmedSince time.Time
	// CommandInFlight: a direct command has been sent and its result is not known yet.
	CommandInFlight bool
	// UnansweredCommands counts the direct commands of this incarnation that got no reply.
	UnansweredCommands int
}

// Durability is what stored records say of a machine, so what the next term will know of it.
type Durability struct {
	// Recorded: a provisioning record names the machine.
	Recorded bool
	// Registered: the registrations name the machine, so that it may be given tasks.
	Registered bool
}

// Workload is what a worker reported of its tasks.
type Workload struct {
	Tasks []wire.TaskStatus
	// HasUnknownTasks: some of the tasks belong to no open job.
	HasUnknownTasks bool
	// FailuresByJob counts the tasks of each job, by its ID, that failed here.
	FailuresByJob map[string]int
}

// Allocation is the ledger of what may run on a machine. The scheduler keeps it.
type Allocation struct {
	Capacity quota.Resources
	// Allocated is for the copies dispatched here, until they are known to have ended.
	Allocated quota.Resources
	// BackupAllocated is the part of Allocated that backup copies have.
	BackupAllocated quota.Resources
	// Reserved is for primary copies in the machine's queue.
	Reserved quota.Resources
	// ActiveCopies counts the copies dispatched here and not known to have ended.
	ActiveCopies int
}

// ImageCache is the images on a machine and how fast it fetches others.
type ImageCache struct {
	// Images gives the time of last use of each image by its name.
	Images map[string]time.Time
	// ImagePullGBPerS is in gigabytes a second, 0 while the machine type is not known.
	ImagePullGBPerS float64
}

// Schedulable reports whether new work may be placed on the machine.
func (m *Machine) Schedulable() bool {
	inService := m.State == Up && m.PreemptionTime.IsZero() && !m.Quarantined && !m.Cordoned
	reachable := m.ReplyConfirmed && m.UnansweredCommands == 0
	return inService && reachable && m.Registered && !m.HasUnknownTasks
}

// Unreachable reports whether the machine's heartbeats have arrived for longer than its lease
// without a sign that any reply or command reaches it.
func (m *Machine) Unreachable(now time.Time, lease time.Duration) bool {
	return !m.ReplyConfirmed && !m.UnconfirmedSince.IsZero() && m.LastHeartbeat.After(m.UnconfirmedSince) &&
		now.Sub(m.UnconfirmedSince) > lease
}

// Available returns the resources that no copy has.
func (a *Allocation) Available() quota.Resources { return a.Capacity.Sub(a.Allocated) }

// AvailableToPrimary returns the resources that a primary copy may have: backup copies give
// way to it, reservations of other primary copies do not.
func (a *Allocation) AvailableToPrimary() quota.Resources {
	return a.Capacity.Sub(a.Allocated).Add(a.BackupAllocated).Sub(a.Reserved)
}
