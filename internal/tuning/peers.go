package tuning

import "time"

// Calls between controllers, used by packages controller, term and peer.
const (
	// PeerHeartbeatInterval is the time between two heartbeats to a peer.
	PeerHeartbeatInterval = 1 * time.Second
	// PeerHeartbeatTimeout bounds a heartbeat call.
	PeerHeartbeatTimeout = 800 * time.Millisecond
	// ProgressTimeout bounds a query of job progress. The user's own request times out after 2 s.
	ProgressTimeout = 400 * time.Millisecond
	// MaxProgressJobs bounds the progress queries that are batched into one call to a lease holder.
	MaxProgressJobs = 500
	// MaxPeerCallsInFlight bounds concurrent calls of peers.
	MaxPeerCallsInFlight = 32
	// DialTimeout bounds the dial of a connection to a peer, the state service or the cloud. A slower
	// dial indicates a network partition.
	DialTimeout = 1 * time.Second
	// PeerBackoffInitial is the first backoff between dials of a peer. It is short, so that a
	// restarted peer is reached soon.
	PeerBackoffInitial = 200 * time.Millisecond
	// PeerBackoffMax bounds the backoff between dials of a peer.
	PeerBackoffMax = 1 * time.Second
	// ProbeWorkers is the number of workers that a lease holder asks a peer to probe when it
	// suspects that it is isolated from its workers.
	ProbeWorkers = 3
	// ProbeTimeout bounds the peer's probe of a worker or of the cloud.
	ProbeTimeout = 700 * time.Millisecond
)
