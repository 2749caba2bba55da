package tuning

import "time"

// Requests and connections of workers and users, used by package httpapi.
const (
	// HeaderTimeout bounds what a client may take for a request.
	HeaderTimeout = 5 * time.Second
	// FirstRequestTimeout is how long the first request of a new connection may take to arrive
	// before the connection counts as idle.
	FirstRequestTimeout = 1 * time.Second
	// IdleConnectionHeartbeats is for how many heartbeat intervals a client's connection is
	// kept without a request, but no less than MinConnectionIdleTimeout.
	IdleConnectionHeartbeats = 4
	// MinConnectionIdleTimeout is how long a client's connection is kept without a request at
	// least.
	MinConnectionIdleTimeout = 20 * time.Second
	// KeepAliveConnectionShare is the part of the clients' connections that may be open before
	// workers' are closed with the response to each heartbeat: a fleet may have more machines
	// than a controller has sockets. Below it a connection is kept, which is cheaper.
	KeepAliveConnectionShare = 0.98
	// HeartbeatQueueTimeout bounds how long a heartbeat waits for its turn: its worker turns to
	// another controller after 4 s.
	HeartbeatQueueTimeout = 3 * time.Second
	// MaxBodyBytes is the largest request body, by the protocol.
	MaxBodyBytes = 64 << 10
	// BodyPreallocateBytes is the size up to which a body gets all its memory before it has
	// arrived: most heartbeats and all usual submissions are smaller.
	BodyPreallocateBytes = 4 << 10
)

// The controller's own connections, used by package controller.
const (
	// IdleConnectionTimeout is how long one of them is kept for the next call.
	IdleConnectionTimeout = 90 * time.Second
)
