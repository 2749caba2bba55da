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

// handshakeTimeout bounds the time from the acceptance of a connection to the end of its handshake.
const handshakeTimeout = 5 * time.Second

// Handler handles the calls of peers and operators. The server invokes its methods concurrently. An
// error without a gRPC status is returned to the caller with the status Unavailable.
type Handler interface {
	HandleHeartbeat(context.Context, *peerpb.PeerHeartbeat) (*peerpb.PeerHeartbeat, error)
	HandleProgress(context.Context, *peerpb.ProgressRequest) (*peerpb.ProgressReply, error)
	HandleProbe(context.Context, *peerpb.ProbeRequest) (*peerpb.ProbeReply, error)
	HandleStatus(context.Context) (*peerpb.StatusReply, error)
	HandleSettings(context.Context) (*peerpb.Settings, error)
	HandleIntents(context.Context) (*peerpb.IntentsReply, error)
	HandleSetSetting(ctx context.Context, name, value string) (*peerpb.Settings, error)
}

// NewServer returns the gRPC server of a controller, which serves the calls of peers and the
// administration API.
func NewServer(handler Handler) *grpc.Server {
	server := grpc.NewServer(
		grpc.ReadBufferSize(connectionBufferBytes),
		grpc.WriteBufferSize(connectionBufferBytes),
		grpc.MaxRecvMsgSize(tuning.MaxBodyBytes),
		grpc.MaxConcurrentStreams(tuning.MaxPeerCallsInFlight),
		grpc.ConnectionTimeout(handshakeTimeout),
	)
	s := &service{handler: handler}
	peerpb.RegisterPeerServer(server, s)
	peerpb.RegisterAdminServer(server, s)
	return server
}

// service implements the generated server interfaces by calling the handler.
type service struct {
	peerpb.UnimplementedPeerServer
	peerpb.UnimplementedAdminServer
	handler Handler
}

// withDefaultStatus adds the status Unavailable to an error without a gRPC status.
func withDefaultStatus[T any](reply T, err error) (T, error) {
	if err != nil && status.Code(err) == codes.Unknown {
		err = status.Error(codes.Unavailable, err.Error())
	}
	return reply, err
}

func (s *service) Pulse(ctx context.Context, request *peerpb.PeerHeartbeat) (*peerpb.PeerHeartbeat, error) {
	return withDefaultStatus(s.handler.HandleHeartbeat(ctx, request))
}

func (s *service) Progress(ctx context.Context, request *peerpb.ProgressRequest) (*peerpb.ProgressReply, error) {
	return withDefaultStatus(s.handler.HandleProgress(ctx, request))
}

func (s *service) Probe(ctx context.Context, request *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return withDefaultStatus(s.handler.HandleProbe(ctx, request))
}

func (s *service) Status(ctx context.Context, _ *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	return withDefaultStatus(s.handler.HandleStatus(ctx))
}

func (s *service) Duties(ctx context.Context, _ *peerpb.IntentsRequest) (*peerpb.IntentsReply, error) {
	return withDefaultStatus(s.handler.HandleIntents(ctx))
}

func (s *service) GetSettings(ctx context.Context, _ *peerpb.GetSettingsRequest) (*peerpb.Settings, error) {
	return withDefaultStatus(s.handler.HandleSettings(ctx))
}

func (s *service) SetSetting(ctx context.Context, request *peerpb.SetSettingRequest) (*peerpb.Settings, error) {
	return withDefaultStatus(s.handler.HandleSetSetting(ctx, request.Name, request.Value))
}
