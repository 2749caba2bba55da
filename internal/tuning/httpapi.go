package tuning

import "time"

// HTTP requests and connections of workers and users, used by package httpapi.
const (
	// RequestReadTimeout bounds the time in which a client sends a request, header and body included.
	RequestReadTimeout = 5 * time.Second
	// FirstRequestTimeout is the time for which a new connection without a request is protected
	// from eviction.
	FirstRequestTimeout = 1 * time.Second
	// IdleConnectionHeartbeats is the idle timeout of a client connection, in heartbeat intervals,
	// subject to MinConnectionIdleTimeout.
	IdleConnectionHeartbeats = 4
	// MinConnectionIdleTimeout is the lower bound of the idle timeout of a client connection.
	MinConnectionIdleTimeout = 20 * time.Second
	// KeepAliveConnectionShare is the share of the client connections that must be in use before worker
	// connections are closed after each heartbeat. A fleet may have more workers than a controller has
	// sockets. Below that share connections are kept, which is cheaper.
	KeepAliveConnectionShare = 0.98
	// HeartbeatQueueTimeout bounds the queueing time of a heartbeat. Workers fail over to another
	// controller after 4 s.
	HeartbeatQueueTimeout = 3 * time.Second
	// MaxBodyBytes is the protocol's limit on a request body.
	MaxBodyBytes = 64 << 10
	// BodyPreallocateBytes is the largest body whose buffer is allocated before the body arrives.
	// Most heartbeats and submissions are smaller.
	BodyPreallocateBytes = 4 << 10
)

// Outgoing connections, used by package controller.
const (
	// IdleConnectionTimeout is the idle timeout of a pooled connection.
	IdleConnectionTimeout = 90 * time.Second
)
