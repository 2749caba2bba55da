package tuning

import "time"

// The event loop, used by package controller.
const (
	// TickInterval is how often everything that acts at a time looks for what is due.
	TickInterval = 100 * time.Millisecond
	// SlowEventThreshold is how long one event may take before that is logged: a tenth of a
	// member's lease.
	SlowEventThreshold = 350 * time.Millisecond
	// LateTickThreshold is how late a tick may be before that is logged: later than a member's
	// renewal, it is about to lose its lease.
	LateTickThreshold = 1 * time.Second
	// EventQueueSize is how many events of one kind may wait for the loop.
	EventQueueSize = 256
	// FollowerWatchInterval is the least time between two watches of the open jobs, and of the
	// provisioning requests, on a controller that owns no shard: queries refresh its cache.
	FollowerWatchInterval = 1 * time.Second
	// LeaseHolderWatchInterval is the same on a shard's owner, which has to act on them.
	LeaseHolderWatchInterval = 50 * time.Millisecond
	// StoreIsolationTimeout is how long the state service must have been unreachable for a controller,
	// while a peer reaches it, for the controller to report itself unhealthy.
	StoreIsolationTimeout = 4 * time.Second
)
