package tuning

import "time"

// Membership and leader election, used by package leader.
const (
	// MemberLease is the time to live of a member's lease in the state service. The design's
	// 10 s is as long as a worker's own lease where leases are shortest: workers would lose
	// their tasks before a successor could renew them. A third of that leaves time for a
	// failover and for two lost renewals.
	MemberLease = 3500 * time.Millisecond
	// MemberRenewInterval is how long after a renewal the next one is sent: three may be lost
	// before the lease expires.
	MemberRenewInterval = 1000 * time.Millisecond
	// MaxRenewalsInFlight is how many renewals of the lease may be in flight.
	MaxRenewalsInFlight = 3
	// RenewTimeout bounds a renewal: a response that comes after the lease's expiry is of no use.
	RenewTimeout = 3 * time.Second
	// MemberBackoff is the pause after a failed grant or renewal.
	MemberBackoff = 250 * time.Millisecond
	// LeaseSafetyMargin is how long before its lease may expire a lease holder stops acting:
	// it covers a late timer and the way to the network.
	LeaseSafetyMargin = 150 * time.Millisecond
	// ElectionCooldown follows each transaction that elects a leader or assigns a shard, so that
	// its outcome has arrived before the next.
	ElectionCooldown = 50 * time.Millisecond
)
