package tuning

import "time"

// Calls between the controllers, used by packages controller and peer.
const (
	// PeerHeartbeatInterval is how often the controllers exchange heartbeats.
	PeerHeartbeatInterval = 1 * time.Second
	// PeerHeartbeatTimeout bounds a heartbeat.
	PeerHeartbeatTimeout = 800 * time.Millisecond
	// ProgressTimeout bounds a query of jobs' progress: a user waits 2 s for a response.
	ProgressTimeout = 400 * time.Millisecond
	// MaxProgressJobs is about how many jobs one query of progress asks a shard's owner for.
	MaxProgressJobs = 500
	// PeerCallsInFlight is how many calls of peers may be in flight.
	PeerCallsInFlight = 32
	// PeerDialTimeout bounds the making of a connection: one that takes longer leads into a
	// network partition.
	PeerDialTimeout = 1 * time.Second
	// PeerBackoffInitial is the first pause between attempts to connect to a peer: one that was
	// restarted should be reached again at once.
	PeerBackoffInitial = 200 * time.Millisecond
	// PeerBackoffMax bounds the growth of PeerBackoffInitial.
	PeerBackoffMax = 1 * time.Second
	// ProbeWorkers is how many workers a peer is asked to probe by a shard's owner that
	// suspects that it is isolated from them itself.
	ProbeWorkers = 3
	// ProbeTimeout is how long the peer tries.
	ProbeTimeout = 700 * time.Millisecond
)
