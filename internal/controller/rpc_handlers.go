package controller

import (
	"context"
	"time"

	"juniperchute/internal/admin"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/tuning"
)

// HandleHeartbeat is part of peer.Handler.
func (r *Runtime) HandleHeartbeat(ctx context.Context,
	heartbeat *peerpb.PeerHeartbeat) (*peerpb.PeerHeartbeat, error) {
	return askNow(ctx, r, func(now time.Time) *peerpb.PeerHeartbeat {
		return r.controller.HandlePeerHeartbeat(now, heartbeat)
	})
}

// HandleProgress is part of peer.Handler.
func (r *Runtime) HandleProgress(ctx context.Context,
	request *peerpb.ProgressRequest) (*peerpb.ProgressReply, error) {
	return askNow(ctx, r, func(time.Time) *peerpb.ProgressReply { return r.controller.HandleProgress(request) })
}

// HandleProbe is part of peer.Handler. It needs no state of the owner's.
func (r *Runtime) HandleProbe(ctx context.Context, request *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	addresses := request.Addresses[:min(len(request.Addresses), tuning.ProbeWorkers)]
	return &peerpb.ProbeReply{Answered: int32(r.effects.probe(ctx, addresses))}, nil
}

// HandleStatus is part of peer.Handler.
func (r *Runtime) HandleStatus(ctx context.Context) (*peerpb.StatusReply, error) {
	latencies := r.latencies.values()
	return askNow(ctx, r, func(now time.Time) *peerpb.StatusReply { return r.controller.Status(now, latencies) })
}

// HandleSettings is part of peer.Handler.
func (r *Runtime) HandleSettings(ctx context.Context) (*peerpb.Settings, error) {
	return askNow(ctx, r, func(time.Time) *peerpb.Settings { return settingsMessage(r.controller.settings) })
}

// HandleSetSetting is part of peer.Handler.
func (r *Runtime) HandleSetSetting(ctx context.Context, name, value string) (*peerpb.Settings, error) {
	return askLater(ctx, r, func(_ time.Time, reply func(*peerpb.Settings, error)) {
		r.controller.SetSetting(name, value, func(settings admin.Settings, err error) {
			reply(settingsMessage(settings), err)
		})
	})
}

// HandleIntents is part of peer.Handler.
func (r *Runtime) HandleIntents(ctx context.Context) (*peerpb.IntentsReply, error) {
	return askLater(ctx, r, r.controller.Intents)
}

func settingsMessage(settings admin.Settings) *peerpb.Settings {
	return &peerpb.Settings{Values: settings.Values()}
}

// askNow runs a function on the owner goroutine and waits for its value. The value goes
// through a channel: the owner may come to the function after the caller has given up.
func askNow[T any](ctx context.Context, r *Runtime, value func(now time.Time) T) (T, error) {
	return askLater(ctx, r, func(now time.Time, reply func(T, error)) { reply(value(now), nil) })
}

// askLater runs a function on the owner goroutine that replies then or later, and waits for
// its reply.
func askLater[T any](ctx context.Context, r *Runtime, ask func(now time.Time, reply func(T, error))) (T, error) {
	type result struct {
		value T
		err   error
	}
	var none T
	replied := make(chan result, 1)
	reply := func(value T, err error) { replied <- result{value, err} }
	if err := r.Ask(ctx, func(now time.Time) { ask(now, reply) }); err != nil {
		return none, err
	}
	select {
	case r := <-replied:
		return r.value, r.err
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
