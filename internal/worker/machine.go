// Package worker tracks the machines of a shard during one term: the last status of each worker, the
// resources allocated on its machine, and the expiry of its lease.
//
// A copy is one placement of a task on a machine: the primary copy or, for tasks of job arrays, a backup
// copy. A copy is active from its dispatch to the machine until it is known to have ended.
package worker

import (
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// State is the state of a machine as known to the shard's lease holder.
type State int

// The states of a machine. Only Registry.SetState changes the state.
const (
	// Booting means that the machine is provisioned and was not used in any term. Nothing runs on it.
	Booting State = iota
	// Unreconciled means that an earlier term may have used the machine, and that its worker has not
	// been in contact with this term.
	Unreconciled
	// Up means that heartbeats of the worker arrive.
	Up
	// Unresponsive means that heartbeats have stopped, but the worker's lease may still be valid.
	Unresponsive
	// LeaseExpired means that the worker's lease has expired even with the maximum clock drift. Nothing
	// runs on the machine.
	LeaseExpired
	// Deleting means that the deletion of the machine is intended or in progress.
	Deleting
	// Deleted means that the cloud has confirmed the deletion of the machine.
	Deleted
)

// String returns the name of the state for log lines.
func (s State) String() string {
	return [...]string{"booting", "unreconciled", "up", "unresponsive", "lease expired", "deleting", "deleted"}[s]
}

// ListingName returns the name of the state for the listings that controllers exchange and operators
// read. These names are part of the interface and differ from those of String.
func (s State) ListingName() string {
	return [...]string{"booting", "unheard", "up", "silent", "lapsed", "deleting", "gone"}[s]
}

// Machine holds the state of one machine of the shard, grouped by concern.
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

// Identity holds the name, address, type and location of a machine. All but Host may be unset until the
// first heartbeat.
type Identity struct {
	Host    string // unique name of the machine in the cloud
	Address string // of the worker, "host:port"
	Type    string
	Zone    string
	Spot    bool
}

// Lifecycle holds a machine's state between its creation and its deletion.
type Lifecycle struct {
	State      State
	StateSince time.Time
	// CreatedAt is the time of creation according to the cloud's list of machines or, if unknown, the time
	// at which this term learned of the machine.
	CreatedAt time.Time
	// PreemptionTime is the time at which the cloud preempts the machine, zero without a notice.
	PreemptionTime time.Time
	// IdleSince is the time from which no copy has been active on the machine.
	IdleSince time.Time
	// InDemand is set if the last pass of demand planning found a use for the machine, which keeps it from
	// being deprovisioned as idle.
	InDemand bool
	// Cordoned is set if no new work is placed on the machine, so that it can be deprovisioned.
	Cordoned bool
	// Quarantined is set if no new work is placed on the machine because too many tasks failed on it.
	Quarantined bool
}

// Liveness holds the times of the last contact with a worker and of the last renewal of its lease.
//
// A worker increments its incarnation when its lease expires, and its sequence number with each status
// that it sends. Messages can be delayed and reordered, so a status is applied only if its pair
// (incarnation, sequence) is above that of the last one applied. A status is a wire.Heartbeat, which the
// worker sends as a heartbeat or in its reply to direct commands.
type Liveness struct {
	// Incarnation and Sequence identify the last status applied.
	Incarnation, Sequence uint64
	// SeenIncarnation and SeenSequence identify the newest message seen, whether applied or not.
	SeenIncarnation, SeenSequence uint64
	// LastContact is the time at which the last status from any source was applied.
	LastContact time.Time
	// LastHeartbeat is the time at which the last status from a heartbeat was applied.
	LastHeartbeat time.Time
	// LeaseRenewedAt is the arrival time of the last heartbeat whose reply renewed the lease or, if later,
	// of the first status of the incarnation. The worker's lease starts no later than this.
	LeaseRenewedAt time.Time
	// ExpiredWhileDeleting is set if the worker's lease has expired in the state Deleting. Nothing runs on the
	// machine.
	ExpiredWhileDeleting bool
}

// Reachability holds evidence of whether replies and commands reach a worker.
type Reachability struct {
	// ReplyConfirmed is set while the statuses of the worker show that replies or commands reach it. A
	// worker that receives none holds no lease and executes nothing, even if its heartbeats arrive.
	ReplyConfirmed bool
	// UnconfirmedSince is the arrival time of the first status after the last one that confirmed a reply or
	// command, zero if there is none.
	UnconfirmedSince time.Time
	// CommandInFlight is set while the result of a direct command is pending.
	CommandInFlight bool
	// UnansweredCommands counts the direct commands to this incarnation that got no reply, since the last one
	// that got one.
	UnansweredCommands int
}

// Durability records which stored records name a machine. The next term recovers machines from them.
type Durability struct {
	// Recorded is set if the stored record of a provisioning request, in package fleet, names the machine.
	Recorded bool
	// Registered is set if the stored registrations of the shard, in package fleet, name the machine. They
	// list the machines that may run tasks. Without a registration the machine gets no tasks.
	Registered bool
}

// Workload holds the tasks that a worker has reported.
type Workload struct {
	Tasks []wire.TaskStatus
	// HasUnknownTasks is set if some of the tasks belong to no open job.
	HasUnknownTasks bool
	// FailuresByJob counts the tasks that failed on the machine, by job ID.
	FailuresByJob map[string]int
}

// Allocation accounts for the resources of a machine. The scheduler updates it.
type Allocation struct {
	Capacity quota.Resources
	// Allocated is the need of all copies dispatched to the machine and not known to have ended.
	Allocated quota.Resources
	// BackupAllocated is the part of Allocated that belongs to backup copies.
	BackupAllocated quota.Resources
	// Reserved is the need of the primary copies in the machine's queue.
	Reserved quota.Resources
	// AssignedCopies counts the copies dispatched to the machine and not known to have ended.
	AssignedCopies int
}

// ImageCache holds the container images on a machine and its download rate for others.
type ImageCache struct {
	// Images maps image names to the times of last use.
	Images map[string]time.Time
	// ImagePullGBPerS is the rate in gigabytes per second, 0 while the machine type is unknown.
	ImagePullGBPerS float64
}

// Schedulable reports whether new work may be placed on the machine.
func (m *Machine) Schedulable() bool {
	inService := m.State == Up && m.PreemptionTime.IsZero() && !m.Quarantined && !m.Cordoned
	reachable := m.ReplyConfirmed && m.UnansweredCommands == 0
	return inService && reachable && m.Registered && !m.HasUnknownTasks
}

// MayRunReportedTasks reports whether tasks of the last status applied in this term may run on the machine. It
// returns false if the worker has not been in contact with this term, or if its lease has expired.
func (m *Machine) MayRunReportedTasks() bool {
	leaseExpired := m.State == LeaseExpired || m.State == Deleted || m.ExpiredWhileDeleting
	return !m.LastContact.IsZero() && !leaseExpired
}

// NeedsCommandProbe reports whether the worker has to prove that it executes commands: it has not answered the last
// direct command, but sends heartbeats and gets the replies.
func (m *Machine) NeedsCommandProbe() bool {
	return m.State == Up && m.ReplyConfirmed && m.UnansweredCommands > 0
}

// Unreachable reports whether heartbeats of the worker have arrived for longer than threshold without
// evidence that replies or commands reach it.
func (m *Machine) Unreachable(now time.Time, threshold time.Duration) bool {
	return !m.ReplyConfirmed && !m.UnconfirmedSince.IsZero() && m.LastHeartbeat.After(m.UnconfirmedSince) &&
		now.Sub(m.UnconfirmedSince) > threshold
}

// Available returns the resources that are not allocated to a copy.
func (a *Allocation) Available() quota.Resources { return a.Capacity.Sub(a.Allocated) }

// AvailableToPrimary returns the resources available to a new primary copy. It may preempt backup copies,
// but not use resources that are reserved for other primary copies.
func (a *Allocation) AvailableToPrimary() quota.Resources {
	return a.Capacity.Sub(a.Allocated).Add(a.BackupAllocated).Sub(a.Reserved)
}
