// Package tuning holds the service's constants, each with its unit and reason.
// What a deployment may differ in comes from the platform's settings; what an
// operator may change comes through the administration API.
package tuning

import "time"

// Leases and membership.
const (
	// MemberLease is a member's lease in the state service. The design's 10 s
	// is as long as a worker's own lease where leases are shortest: workers
	// would lose their tasks before a successor could renew them. A third of
	// that leaves time for a takeover and for two lost renewals.
	MemberLease = 3500 * time.Millisecond
	// MemberRenewInterval is how long after a renewal the next is sent: three may be
	// lost before the lease ends.
	MemberRenewInterval = 1000 * time.Millisecond
	// MaxRenewalsInFlight is how many renewals may be under way, and TouchTimeout how long
	// one may take: an answer later than the lease is of no use.
	MaxRenewalsInFlight = 3
	RenewTimeout  = 3 * time.Second
	// MemberRetry is the pause after a failed renewal or grant.
	MemberRetry = 250 * time.Millisecond
	// LeaseSafetyMargin is how long before its lease may end a holder stops acting:
	// covers a late timer and the way to the network.
	LeaseSafetyMargin = 150 * time.Millisecond
	// MaxClockDrift is the largest drift between two steady clocks, as a part.
	MaxClockDrift = 0.0005
	// ElectionPause follows each election or assignment transaction, so that
	// its outcome has arrived before the next.
	ElectionPause = 50 * time.Millisecond
	// Shards is the number of machine blocks: one packs best, keeps quotas exact and
	// is carried by one holder up to 1,850 machines, with an average of a fifth of its
	// share of a processor at most (docs/design.md).
	Shards = 1
	// CancellationRenewMargin is kept of the time for a cancellation when a holder that
	// lost touch with the state service goes on renewing workers.
	CancellationRenewMargin = 5 * time.Second
	// MinRenewBeyondWatermark is how long past its horizon a holder answers reports at least: a
	// watch without news and the wait for the next take so long. Only where a lease
	// is nearly as long as a cancellation has does it matter.
	MinRenewBeyondWatermark = 6 * time.Second
)
