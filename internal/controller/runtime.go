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

// LimitProcess limits this process to one core, and sets the runtime's soft memory limit to a share
// of the machine's memory.
func LimitProcess(limits config.MachineLimits) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(tuning.GCPercent)
	debug.SetMemoryLimit(int64(limits.MemoryMB * bytesPerMB * tuning.HeapMemoryShare))
}

// eventQueue is a bounded queue of functions that the event loop runs. Each handles one event.
type eventQueue chan func(now time.Time)

// tryEnqueue adds an event without blocking. It returns false if the queue is full.
func (q eventQueue) tryEnqueue(event func(now time.Time)) bool {
	select {
	case q <- event:
		return true
	default:
		return false
	}
}

// Runtime runs a Controller in a process: the event loop, the servers that receive requests, and
// the effects of the controller.
type Runtime struct {
	config     *config.Config
	log        *slog.Logger
	clock      *clock.Clock // clock of lease deadlines, which includes suspensions
	controller *Controller
	effects    *processEffects
	api        *httpapi.Server
	latencies  *latencyRecorder

	// Queues of the event loop. The queue events holds the results of effects and the calls from peers. It
	// precedes the queues of workers' heartbeats and users' requests, which have the same priority.
	events     eventQueue
	heartbeats eventQueue
	requests   eventQueue
	done       chan struct{} // closed when the event loop has ended

	suspendedFor time.Duration // the clock's total of suspensions as of the last event
	healthy      atomic.Bool   // as of the last tick; health checks bypass the event loop
}

// NewRuntime returns a runtime, which Run starts.
func NewRuntime(cfg *config.Config, options Options, clk *clock.Clock, log *slog.Logger, rng *rand.Rand) *Runtime {
	connections := newConnectionLimits(cfg.Platform.MachineLimits, len(cfg.Peers))
	r := &Runtime{
		config: cfg, log: log, clock: clk,
		latencies:  newLatencyRecorder(),
		events:     make(eventQueue, tuning.EventQueueSize),
		heartbeats: make(eventQueue, tuning.EventQueueSize),
		requests:   make(eventQueue, tuning.EventQueueSize),
		done:       make(chan struct{}),
	}
	r.effects = newProcessEffects(cfg, connections, effectOptions{
		clock: clk, log: log, latencies: r.latencies, post: r.post,
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
		Now:            clk.Now,
		Workers:        cfg.Platform.Workers,
		MaxConnections: connections.clients,
		Log:            log,
	})
	return r
}

// Run serves until the context is done or a listener fails. It may be called once.
func (r *Runtime) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.effects.ctx = ctx
	defer close(r.done)
	apiListener, err := net.Listen("tcp", r.config.APIAddr)
	if err != nil {
		return fmt.Errorf("listen on api_addr: %w", err)
	}
	peerListener, err := net.Listen("tcp", r.config.PeerBind)
	if err != nil {
		return fmt.Errorf("listen on peer_bind: %w", err)
	}
	failed := make(chan error, 2)
	go func() { failed <- r.api.Serve(apiListener) }()
	rpc := peer.NewServer(r)
	go func() { failed <- rpc.Serve(peerListener) }()
	defer func() {
		r.api.Close()
		rpc.Stop()
		r.effects.close()
	}()
	r.log.Info("controller started", "api_addr", r.config.APIAddr, "peer_bind", r.config.PeerBind)
	return r.runEventLoop(ctx, failed)
}

// runEventLoop runs the event loop, to which all state of the controller is confined. Ticks go
// first, because they renew the member's lease, then the queue events, then heartbeats and requests: a
// renewal must not wait for a backlog of heartbeats or of results.
func (r *Runtime) runEventLoop(ctx context.Context, failed <-chan error) error {
	ticker := time.NewTicker(tuning.TickInterval)
	defer ticker.Stop()
	lastTick := r.clock.Now()
	tick := func(time.Time) {
		now := r.clock.Advance() // leases may have expired while the machine was suspended
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

// logLateTick warns of a delayed tick, which precedes missed lease renewals and heartbeats.
func (r *Runtime) logLateTick(delay time.Duration) {
	if delay > tuning.LateTickThreshold {
		r.log.Warn("event loop tick delayed", "delay", delay, "goroutines", runtime.NumGoroutine(),
			"events", len(r.events), "heartbeats", len(r.heartbeats), "requests", len(r.requests))
	}
}

// runEvent handles one event. It ends all terms first if the machine has been suspended, and
// warns of a slow event, which delays lease renewals and heartbeats.
func (r *Runtime) runEvent(kind string, event func(now time.Time)) {
	start := r.clock.Now()
	if suspended := r.clock.SuspendedSinceNew(); suspended != r.suspendedFor {
		r.log.Warn("machine was suspended; clock advanced", "duration", suspended-r.suspendedFor)
		r.suspendedFor = suspended
		r.controller.EndTermsAfterSuspension(start)
	}
	event(start)
	if duration := r.clock.Now().Sub(start); duration > tuning.SlowEventThreshold {
		r.log.Warn("slow event", "kind", kind, "duration", duration,
			"events", len(r.events), "heartbeats", len(r.heartbeats), "requests", len(r.requests))
	}
}

// post adds an event to the events queue. It blocks while the queue is full, and drops the event
// once the event loop has ended.
func (r *Runtime) post(event func(now time.Time)) {
	select {
	case r.events <- event:
	case <-r.done:
	}
}

// errQueueFull means that the events queue is full. The text is returned to operators and peers.
var errQueueFull = errors.New("busy")

// RunOnLoop runs f on the event loop and waits until it returns. It fails if the events queue is
// full, the context is done first, or the event loop has ended (net.ErrClosed). After an error
// f may still run, unless the queue was full.
func (r *Runtime) RunOnLoop(ctx context.Context, f func(now time.Time)) error {
	finished := make(chan struct{})
	if !r.events.tryEnqueue(func(now time.Time) { f(now); close(finished) }) {
		return errQueueFull
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
