package peer

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"juniperchute/internal/config"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/tuning"
)

// Growth of the backoff between connection attempts.
const (
	reconnectMultiplier = 1.6
	reconnectJitter     = 0.2
)

// connectionBufferBytes is the size of each connection's read buffer and of its write buffer.
// Messages are small, and smaller buffers save memory.
const connectionBufferBytes = 4 << 10

// ErrUnknownMember means that a member is not among the peers in the settings.
var ErrUnknownMember = errors.New("unknown member")

// Clients holds the gRPC connections to the other controllers. Each is opened at its first call.
// Clients is safe for concurrent use.
type Clients struct {
	connections map[string]*grpc.ClientConn // by member
}

// NewClients returns clients for the given peers without connecting to them.
func NewClients(peers []config.Peer) *Clients {
	c := &Clients{connections: map[string]*grpc.ClientConn{}}
	for _, peer := range peers {
		// Package config has validated the address, so NewConnection does not fail because of it.
		// A peer for which it fails anyway is treated as unknown.
		connection, err := NewConnection(peer.Address)
		if err == nil {
			c.connections[peer.Member] = connection
		}
	}
	return c
}

// NewConnection returns a connection to a controller's peer address. It does not connect before the first
// call. The caller closes it.
func NewConnection(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithReadBufferSize(connectionBufferBytes),
		grpc.WithWriteBufferSize(connectionBufferBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  tuning.PeerBackoffInitial,
				Multiplier: reconnectMultiplier,
				Jitter:     reconnectJitter,
				MaxDelay:   tuning.PeerBackoffMax,
			},
			MinConnectTimeout: tuning.DialTimeout,
		}))
}

// Close closes all connections. Calls in flight fail.
func (c *Clients) Close() {
	for _, connection := range c.connections {
		connection.Close()
	}
}

// Peer returns the client for a member. If the member is not a peer, all calls of the client fail
// with ErrUnknownMember.
func (c *Clients) Peer(member string) peerpb.PeerClient {
	if connection := c.connections[member]; connection != nil {
		return peerpb.NewPeerClient(connection)
	}
	return unknownPeer{member}
}

// unknownPeer is the client for a member that is not a peer.
type unknownPeer struct{ member string }

func (u unknownPeer) err() error {
	return fmt.Errorf("call peer %q: %w", u.member, ErrUnknownMember)
}

func (u unknownPeer) Pulse(context.Context, *peerpb.PeerHeartbeat, ...grpc.CallOption) (
	*peerpb.PeerHeartbeat, error) {
	return nil, u.err()
}

func (u unknownPeer) Progress(context.Context, *peerpb.ProgressRequest, ...grpc.CallOption) (
	*peerpb.ProgressReply, error) {
	return nil, u.err()
}

func (u unknownPeer) Probe(context.Context, *peerpb.ProbeRequest, ...grpc.CallOption) (
	*peerpb.ProbeReply, error) {
	return nil, u.err()
}
