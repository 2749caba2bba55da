package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/tuning"
)

// handshakeTimeout bounds the setting up of a connection from its acceptance on.
const handshakeTimeout = 5 * time.Second

// Handler answers the calls of peers and operators. Its methods are called on goroutines of the
// server's. An error that has no gRPC status is returned to the caller as Unavailable.
type Handler interface {
	HandleHeartbeat(context.Context, *peerpb.PeerHeartbeat) (*peerpb.PeerHeartbeat, error)
	HandleProgress(context.Context, *peerpb.ProgressRequest) (*peerpb.ProgressReply, error)
	HandleProbe(context.Context, *peerpb.ProbeRequest) (*peerpb.ProbeReply, error)
	HandleStatus(context.Context) (*peerpb.StatusReply, error)
	HandleSettings(context.Context) (*peerpb.Settings, error)
	HandleIntents(context.Context) (*peerpb.IntentsReply, error)
	HandleSetSetting(ctx context.Context, name, value string) (*peerpb.Settings, error)
}

// NewServer makes the gRPC server of a controller, for peers and for operators.
func NewServer(handler Handler) *grpc.Server {
	server := grpc.NewServer(
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.MaxRecvMsgSize(tuning.MaxBodyBytes),
		grpc.MaxConcurrentStreams(tuning.PeerCallsInFlight),
		grpc.ConnectionTimeout(handshakeTimeout),
	)
	s := &service{handler: handler}
	peerpb.RegisterPeerServer(server, s)
	peerpb.RegisterAdminServer(server, s)
	return server
}

// service maps the methods on the wire to those of the handler.
type service struct {
	peerpb.UnimplementedPeerServer
	peerpb.UnimplementedAdminServer
	handler Handler
}

// withStatus gives an error that has no gRPC status the status Unavailable.
func withStatus[T any](reply T, err error) (T, error) {
	if err != nil && status.Code(err) == codes.Unknown {
		err = status.Error(codes.Unavailable, err.Error())
	}
	return reply, err
}

func (s *service) Pulse(ctx context.Context, request *peerpb.PeerHeartbeat) (*peerpb.PeerHeartbeat, error) {
	return withStatus(s.handler.HandleHeartbeat(ctx, request))
}

func (s *service) Progress(ctx context.Context, request *peerpb.ProgressRequest) (*peerpb.ProgressReply, error) {
	return withStatus(s.handler.HandleProgress(ctx, request))
}

func (s *service) Probe(ctx context.Context, request *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return withStatus(s.handler.HandleProbe(ctx, request))
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

func (s *service) SetSetting(ctx context.Context, request *peerpb.SetSettingRequest) (*peerpb.Settings, error) {
	return withStatus(s.handler.HandleSetSetting(ctx, request.Name, request.Value))
}
