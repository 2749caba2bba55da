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

// Growth of the pauses between attempts to connect.
const (
	retryMultiplier = 1.6
	retryJitter     = 0.2
)

// bufferBytes is the size of a connection's read and of its write buffer: messages are small, and
// a controller's memory is too.
const bufferBytes = 4 << 10

// ErrUnknownMember means that a member is none of the peers in the settings.
var ErrUnknownMember = errors.New("unknown member")

// Clients are the connections to the other controllers, opened when first needed. They may be used
// by several goroutines.
type Clients struct {
	connections map[string]*grpc.ClientConn // by member
}

// NewClients prepares the connections.
func NewClients(peers []config.Peer) *Clients {
	c := &Clients{connections: map[string]*grpc.ClientConn{}}
	for _, peer := range peers {
		// Addresses are IP numbers, checked by config, so this cannot fail
		// for a reason that a later call would not report.
		connection, err := Dial(peer.Address)
		if err == nil {
			c.connections[peer.Member] = connection
		}
	}
	return c
}

// Dial prepares a connection to a controller's peer address, which is opened when first needed.
func Dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  tuning.PeerBackoffInitial,
				Multiplier: retryMultiplier,
				Jitter:     retryJitter,
				MaxDelay:   tuning.PeerBackoffMax,
			},
			MinConnectTimeout: tuning.DialTimeout,
		}))
}

// Close closes all connections.
func (c *Clients) Close() {
	for _, connection := range c.connections {
		connection.Close()
	}
}

// Peer is the client of one member. For a member that is no peer, all its calls fail with
// ErrUnknownMember.
func (c *Clients) Peer(member string) peerpb.PeerClient {
	if connection := c.connections[member]; connection != nil {
		return peerpb.NewPeerClient(connection)
	}
	return unknownPeer{member}
}

// unknownPeer is the client of a member that is no peer.
type unknownPeer struct{ member string }

func (u unknownPeer) err() error {
	return fmt.Errorf("calling peer %q: %w", u.member, ErrUnknownMember)
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
