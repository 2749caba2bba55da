// Package peer is what the controllers say to each other, over gRPC.
package peer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"juniperchute/internal/config"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/tuning"
)

// Clients are the connections to the other controllers, opened when first
// needed.
type Clients struct {
	conns map[string]*grpc.ClientConn
}

// NewClients prepares the connections.
func NewClients(known []config.Peer) *Clients {
	c := &Clients{conns: map[string]*grpc.ClientConn{}}
	for _, k := range known {
		// addresses are IP numbers, checked by config, so this cannot fail
		// for a reason that a later call would not report
		conn, err := Dial(k.Address)
		if err == nil {
			c.conns[k.Member] = conn
		}
	}
	return c
}

// Dial prepares a connection to a controller's peer address.
func Dial(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(4<<10),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: tuning.PeerRetryInitial, Multiplier: 1.6, Jitter: 0.2, MaxDelay: tuning.PeerRetryMax},
			MinConnectTimeout: tuning.DialTimeout,
		}))
}

// Close closes all connections.
func (c *Clients) Close() {
	for _, conn := range c.conns {
		conn.Close()
	}
}

var errUnknownMember = errors.New("unknown member")

type unknownPeer struct{}

func (unknownPeer) Pulse(context.Context, *peerpb.PeerHeartbeat, ...grpc.CallOption) (*peerpb.PeerHeartbeat, error) {
	return nil, errUnknownMember
}

func (unknownPeer) Progress(context.Context, *peerpb.ProgressRequest, ...grpc.CallOption) (*peerpb.ProgressReply, error) {
	return nil, errUnknownMember
}

func (unknownPeer) Probe(context.Context, *peerpb.ProbeRequest, ...grpc.CallOption) (*peerpb.ProbeReply, error) {
	return nil, errUnknownMember
}

// Peer is the client of one member.
func (c *Clients) Peer(member string) peerpb.PeerClient {
	if conn := c.conns[member]; conn != nil {
		return peerpb.NewPeerClient(conn)
	}
	return unknownPeer{}
}

// Handler answers what peers and operators ask. Its methods are called on
// goroutines of the server's.
type Handler interface {
	HandleHeartbeat(ctx context.Context, m *peerpb.PeerHeartbeat) (*peerpb.PeerHeartbeat, error)
	HandleProgress(ctx context.Context, m *peerpb.ProgressRequest) (*peerpb.ProgressReply, error)
	HandleProbe(ctx context.Context, m *peerpb.ProbeRequest) (*peerpb.ProbeReply, error)
	HandleStatus(ctx context.Context) (*peerpb.StatusReply, error)
	HandleSettings(ctx context.Context) (*peerpb.Settings, error)
	HandleIntents(ctx context.Context) (*peerpb.IntentsReply, error)
	HandleSetSetting(ctx context.Context, name, value string) (*peerpb.Settings, error)
}

type service struct {
	peerpb.UnimplementedPeerServer
	peerpb.UnimplementedAdminServer
	handler Handler
}

// NewServer makes the gRPC server of a controller.
func NewServer(h Handler) *grpc.Server {
	s := grpc.NewServer(
		grpc.ReadBufferSize(4<<10), grpc.WriteBufferSize(4<<10),
		grpc.MaxRecvMsgSize(tuning.MaxBodyBytes), grpc.MaxConcurrentStreams(tuning.PeerCallsInFlight),
		grpc.ConnectionTimeout(5*time.Second),
	)
	svc := &service{handler: h}
	peerpb.RegisterPeerServer(s, svc)
	peerpb.RegisterAdminServer(s, svc)
	return s
}

func withStatus[T any](v T, err error) (T, error) {
	if err != nil && status.Code(err) == codes.Unknown {
		err = status.Error(codes.Unavailable, err.Error())
	}
	return v, err
}

func (s *service) Pulse(ctx context.Context, m *peerpb.PeerHeartbeat) (*peerpb.PeerHeartbeat, error) {
	return withStatus(s.handler.HandleHeartbeat(ctx, m))
}

func (s *service) Progress(ctx context.Context, m *peerpb.ProgressRequest) (*peerpb.ProgressReply, error) {
	return withStatus(s.handler.HandleProgress(ctx, m))
}

func (s *service) Probe(ctx context.Context, m *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return withStatus(s.handler.HandleProbe(ctx, m))
}

func (s *service) Status(ctx context.Context, _ *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	return withStatus(s.handler.HandleStatus(ctx))
}

func (s *service) Duties(ctx context.Context, _ *peerpb.IntentsRequest) (*peerpb.IntentsReply, error) {
	return withStatus(s.handler.HandleIntents(ctx))
}

func (s *service) GetSettings(ctx context.Context, _ *peerpb.GetSettingsRequest) (*peerpb.Settings, error) {
	return withStatus(s.handler.HandleSettings(ctx))
}

func (s *service) SetSetting(ctx context.Context, m *peerpb.SetSettingRequest) (*peerpb.Settings, error) {
	return withStatus(s.handler.HandleSetSetting(ctx, m.Name, m.Value))
}
