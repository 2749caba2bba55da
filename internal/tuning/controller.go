package tuning

import "time"

// Event loop, used by package controller.
const (
	// TickInterval is the period of the timer tick that runs all work that is due.
	TickInterval = 100 * time.Millisecond
	// SlowEventThreshold is the processing time above which an event is logged: a tenth of
	// MemberLease.
	SlowEventThreshold = 350 * time.Millisecond
	// LateTickThreshold is the delay above which a late tick is logged: beyond it the member is
	// likely to lose its lease.
	LateTickThreshold = 1 * time.Second
	// EventQueueSize is the capacity of the queue of each kind of event.
	EventQueueSize = 256
	// FollowerWatchInterval is the minimum time between two watches of the open jobs, and of the
	// provisioning requests, on a follower: a controller that holds no shard lease. The cache of a
	// follower catches up for each query of a job.
	FollowerWatchInterval = 1 * time.Second
	// LeaseHolderWatchInterval is the minimum time between two such watches on a lease holder,
	// which schedules from them.
	LeaseHolderWatchInterval = 50 * time.Millisecond
	// StoreIsolationTimeout is the time without contact to the state service, while a peer has
	// contact, after which a controller reports itself as unhealthy.
	StoreIsolationTimeout = 4 * time.Second
)
