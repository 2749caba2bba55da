package tuning

import "time"

// Membership and leader election, used by package leader.
const (
	// MemberLease is the TTL of a member's lease in the state service. It is well below a worker's
	// lease, so that a successor can renew worker leases after a failover, and leaves time for two lost
	// renewals. The 10 s of the original design are as long as the shortest worker lease: workers would
	// lose their tasks before a successor could renew their leases.
	MemberLease = 3500 * time.Millisecond
	// MemberRenewInterval is the time between two renewals of the lease.
	MemberRenewInterval = 1000 * time.Millisecond
	// MaxRenewalsInFlight bounds concurrent renewals of the lease.
	MaxRenewalsInFlight = 3
	// RenewTimeout bounds a renewal. A response after the lease's expiry is of no use.
	RenewTimeout = 3 * time.Second
	// MemberBackoff is the backoff after a failed grant or renewal.
	MemberBackoff = 250 * time.Millisecond
	// LeaseSafetyMargin is the time before the earliest expiry of its lease at which a lease holder
	// stops acting. It covers late timers and network latency.
	LeaseSafetyMargin = 150 * time.Millisecond
	// ElectionCooldown is the time between the response to a transaction that elects a leader or
	// assigns a shard and the next such transaction, so that the watch delivers the outcome first.
	ElectionCooldown = 50 * time.Millisecond
)
