package controller

import (
	"context"
	"time"

	"juniperchute/internal/admin"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/tuning"
)

// HandlePeerHeartbeat implements peer.Handler.
func (r *Runtime) HandlePeerHeartbeat(ctx context.Context,
	heartbeat *peerpb.PeerHeartbeat) (*peerpb.PeerHeartbeat, error) {
	return callLoop(ctx, r, func(now time.Time) *peerpb.PeerHeartbeat {
		return r.controller.HandlePeerHeartbeat(now, heartbeat)
	})
}

// HandleProgress implements peer.Handler.
func (r *Runtime) HandleProgress(ctx context.Context,
	request *peerpb.ProgressRequest) (*peerpb.ProgressReply, error) {
	return callLoop(ctx, r, func(now time.Time) *peerpb.ProgressReply {
		return r.controller.HandleProgress(now, request)
	})
}

// HandleProbe implements peer.Handler. It bypasses the event loop because it uses no state of
// the controller.
func (r *Runtime) HandleProbe(ctx context.Context, request *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	if request.Cloud {
		return &peerpb.ProbeReply{Answered: int32(r.effects.probeCloud(ctx))}, nil
	}
	addresses := request.Addresses[:min(len(request.Addresses), tuning.ProbeWorkers)]
	return &peerpb.ProbeReply{Answered: int32(r.effects.probe(ctx, addresses))}, nil
}

// HandleStatus implements peer.Handler.
func (r *Runtime) HandleStatus(ctx context.Context) (*peerpb.StatusReply, error) {
	latencies := r.latencies.values()
	return callLoop(ctx, r, func(now time.Time) *peerpb.StatusReply { return r.controller.Status(now, latencies) })
}

// HandleSettings implements peer.Handler.
func (r *Runtime) HandleSettings(ctx context.Context) (*peerpb.Settings, error) {
	return callLoop(ctx, r, func(time.Time) *peerpb.Settings { return settingsMessage(r.controller.settings) })
}

// HandleSetSetting implements peer.Handler.
func (r *Runtime) HandleSetSetting(ctx context.Context, name, value string) (*peerpb.Settings, error) {
	return callLoopAsync(ctx, r, func(_ time.Time, reply func(*peerpb.Settings, error)) {
		r.controller.SetSetting(name, value, func(settings admin.Settings, err error) {
			reply(settingsMessage(settings), err)
		})
	})
}

// HandleIntents implements peer.Handler.
func (r *Runtime) HandleIntents(ctx context.Context) (*peerpb.IntentsReply, error) {
	return callLoopAsync(ctx, r, r.controller.Intents)
}

func settingsMessage(settings admin.Settings) *peerpb.Settings {
	return &peerpb.Settings{Values: settings.Values()}
}

// callLoop runs a function on the event loop and returns its value. The value is passed through a
// channel because the function may run after the caller's context is done.
func callLoop[T any](ctx context.Context, r *Runtime, value func(now time.Time) T) (T, error) {
	return callLoopAsync(ctx, r, func(now time.Time, reply func(T, error)) { reply(value(now), nil) })
}

// callLoopAsync runs a function on the event loop and waits until the function, or an event that
// follows from it, calls reply.
func callLoopAsync[T any](ctx context.Context, r *Runtime, start func(now time.Time, reply func(T, error))) (T, error) {
	type result struct {
		value T
		err   error
	}
	var zero T
	replied := make(chan result, 1)
	reply := func(value T, err error) { replied <- result{value, err} }
	if err := r.RunOnLoop(ctx, func(now time.Time) { start(now, reply) }); err != nil {
		return zero, err
	}
	select {
	case r := <-replied:
		return r.value, r.err
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
