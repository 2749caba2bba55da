package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"juniperchute/internal/clock"
	"juniperchute/internal/config"
	"juniperchute/internal/httpapi"
	"juniperchute/internal/peer"
	"juniperchute/internal/tuning"
)

// LimitProcess keeps this process within the machine's share of one core and its memory.
func LimitProcess(l config.MachineLimits) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(tuning.GCPercent)
	debug.SetMemoryLimit(int64(l.MemoryMB * (1 << 20) * tuning.HeapMemoryShare))
}

// queue holds events for the goroutine that owns all state.
type queue chan func(now time.Time)

// tryPost adds an event unless the queue is full.
func (q queue) tryPost(event func(now time.Time)) bool {
	select {
	case q <- event:
		return true
	default:
		return false
	}
}

// Runtime runs a Controller in a real process: the goroutine that owns the controller's
// state, the servers that hand it requests, and the effects that it asks for.
type Runtime struct {
	config     *config.Config
	log        *slog.Logger
	clock      *clock.Clock // by which leases are judged
	controller *Controller
	effects    *processEffects
	api        *httpapi.Server
	latencies  *latencyRecorder

	// What waits for the owner, each in a small buffer: results of its effects and peers'
	// calls first, then workers' heartbeats and users' requests in turn.
	events     queue
	heartbeats queue
	requests   queue
	done       chan struct{} // closed when the owner has ended

	suspendedFor time.Duration // by the clock, when the owner last looked
	healthy      atomic.Bool   // as of the last tick: health is answered without the owner
}

// NewRuntime makes the runtime of a controller; Run starts it.
func NewRuntime(cfg *config.Config, options Options, steady *clock.Clock, log *slog.Logger, rng *rand.Rand) *Runtime {
	connections := newConnectionLimits(cfg.Platform.MachineLimits, len(cfg.Peers))
	r := &Runtime{
		config: cfg, log: log, clock: steady,
		latencies:  newLatencyRecorder(),
		events:     make(queue, tuning.EventQueueSize),
		heartbeats: make(queue, tuning.EventQueueSize),
		requests:   make(queue, tuning.EventQueueSize),
		done:       make(chan struct{}),
	}
	r.effects = newProcessEffects(cfg, connections, effectOptions{
		clock: steady, log: log, latencies: r.latencies, post: r.post,
	})
	r.controller = NewController(cfg, options, Environment{
		Effects: r.effects, Rand: rng, WallClock: time.Now, Log: log,
	})
	r.api = httpapi.NewServer(httpapi.Options{
		Controller:     r.controller,
		Heartbeats:     r.heartbeats,
		Requests:       r.requests,
		Healthy:        r.healthy.Load,
		ObserveLatency: func(d time.Duration) { r.latencies.record(latencyUser, d) },
		Now:            steady.Now,
		Workers:        cfg.Platform.Workers,
		MaxConnections: connections.clients,
		Log:            log,
	})
	return r
}

// Run serves until the context ends or a listener fails.
func (r *Runtime) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.effects.ctx = ctx
	defer close(r.done)
	api, err := net.Listen("tcp", r.config.APIAddr)
	if err != nil {
		return fmt.Errorf("listen at api_addr: %w", err)
	}
	inner, err := net.Listen("tcp", r.config.PeerBind)
	if err != nil {
		return fmt.Errorf("listen at peer_bind: %w", err)
	}
	failed := make(chan error, 2)
	go func() { failed <- r.api.Serve(api) }()
	rpc := peer.NewServer(r)
	go func() { failed <- rpc.Serve(inner) }()
	defer func() {
		r.api.Close()
		rpc.Stop()
		r.effects.close()
	}()
	r.log.Info("controller serving", "api", r.config.APIAddr, "peers", r.config.PeerBind)
	return r.runLoop(ctx, failed)
}

// runLoop is the loop of the goroutine that owns all state. A lease's renewal must wait
// neither behind a thousand heartbeats nor behind the results of all that the shard needs:
// ticks go first, then results, then heartbeats and requests in turn.
func (r *Runtime) runLoop(ctx context.Context, failed <-chan error) error {
	ticker := time.NewTicker(tuning.TickInterval)
	defer ticker.Stop()
	lastTick := r.clock.Now()
	tick := func(time.Time) {
		now := r.clock.Advance() // leases may have ended while the machine was suspended
		r.logLateTick(now.Sub(lastTick) - tuning.TickInterval)
		lastTick = now
		r.controller.Tick(now)
		r.healthy.Store(r.controller.Healthy(now))
	}
	r.runEvent("tick", tick)
	for {
		select {
		case <-ticker.C:
			r.runEvent("tick", tick)
			continue
		default:
		}
		select {
		case event := <-r.events:
			r.runEvent("event", event)
			continue
		default:
		}
		select {
		case event := <-r.events:
			r.runEvent("event", event)
		case event := <-r.heartbeats:
			r.runEvent("heartbeat", event)
		case event := <-r.requests:
			r.runEvent("request", event)
		case <-ticker.C:
			r.runEvent("tick", tick)
		case err := <-failed:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// logLateTick warns of a tick that came late: leases and heartbeats are next.
func (r *Runtime) logLateTick(late time.Duration) {
	if late > tuning.LateTickThreshold {
		r.log.Warn("tick late for lack of processor time", "late", late, "goroutines", runtime.NumGoroutine(),
			"events", len(r.events), "heartbeats", len(r.heartbeats), "requests", len(r.requests))
	}
}

// runEvent has the owner handle one event, and warns of one that took long: on a starved
// machine that is what makes leases and heartbeats late.
func (r *Runtime) runEvent(kind string, event func(now time.Time)) {
	start := r.clock.Now()
	if suspended := r.clock.SuspendedFor(); suspended != r.suspendedFor {
		r.log.Warn("machine was suspended: clock moved forward", "by", suspended-r.suspendedFor)
		r.suspendedFor = suspended
		r.controller.EndTermsAfterSuspension(start)
	}
	event(start)
	if took := r.clock.Now().Sub(start); took > tuning.SlowEventThreshold {
		r.log.Warn("event took long", "kind", kind, "took", took,
			"events", len(r.events), "heartbeats", len(r.heartbeats), "requests", len(r.requests))
	}
}

// post hands an event to the owner, waiting for room.
func (r *Runtime) post(event func(now time.Time)) {
	select {
	case r.events <- event:
	case <-r.done:
	}
}

// errOverloaded tells that the owner's queue is full.
var errOverloaded = errors.New("busy")

// Ask runs f on the owner goroutine and waits for it. It fails when the owner's queue is
// full, the context ends first, or the owner has ended (net.ErrClosed).
func (r *Runtime) Ask(ctx context.Context, f func(now time.Time)) error {
	finished := make(chan struct{})
	if !r.events.tryPost(func(now time.Time) { f(now); close(finished) }) {
		return errOverloaded
	}
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return net.ErrClosed
	}
}

// Controller is the state that Ask's functions may use.
func (r *Runtime) Controller() *Controller { return r.controller }
