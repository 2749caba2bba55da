package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"juniperchute/internal/clock"
	"juniperchute/internal/config"
	"juniperchute/internal/fleet"
	"juniperchute/internal/peer"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Runtime is the goroutine that owns a Core, and the Env that carries out its
// effects with real connections.
type Runtime struct {
	config       *config.Config
	log          *slog.Logger
	clock        *clock.Clock // by which leases are judged
	controller   *Controller
	suspendedFor time.Duration // by which the clock had been moved when the owner last looked
	// What waits for the owner, each with a small buffer: results of its effects and
	// peers' calls first, then workers' reports and users' requests in turn.
	events      chan func(now time.Time)
	heartbeats  chan func(now time.Time)
	requests    chan func(now time.Time)
	done        chan struct{}
	connections connectionLimits

	state           *store.Client
	cloud           *fleet.CloudClient
	workers         *http.Client
	peers           *peer.Clients
	rateLimiterLock sync.Mutex
	rateLimiter     *store.RateLimiter
	readSlots       chan struct{}
	writeSlots      [store.Priorities]chan struct{}
	cloudSlots      chan struct{}
	commandSlots    chan struct{}
	fencingSlots    chan struct{}
	peerSlots       chan struct{}
	ctx             context.Context
	latencies       latencyRecorder
	healthy         atomic.Bool // as of the last tick: health is answered without the owner
}

// LimitProcess keeps this process within the machine's share of one core and its
// memory.
func LimitProcess(l config.MachineLimits) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(tuning.GCPercent)
	debug.SetMemoryLimit(int64(l.MemoryMB * (1 << 20) * tuning.HeapMemoryShare))
}

func transport(conns int, dial time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dial, KeepAlive: -1}).DialContext,
		MaxIdleConns:        conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     tuning.IdleTimeout,
		DisableCompression:  true,
	}
}

// NewRuntime makes the runtime of a controller.
func NewRuntime(cfg *config.Config, opt Options, steady *clock.Clock, log *slog.Logger, rng *rand.Rand) *Runtime {
	p := newConnectionLimits(cfg.Platform.MachineLimits, len(cfg.Peers))
	r := &Runtime{
		config: cfg, log: log, clock: steady, done: make(chan struct{}), connections: p,
		events:       make(chan func(time.Time), tuning.EventQueueSize),
		heartbeats:   make(chan func(time.Time), tuning.EventQueueSize),
		requests:     make(chan func(time.Time), tuning.EventQueueSize),
		state:        store.NewClient(cfg.External.State, transport(stateConnections(), tuning.DialTimeout), steady.Now),
		cloud:        fleet.NewCloudClient(cfg.External.Cloud, transport(tuning.CloudCallsInFlight, tuning.DialTimeout)),
		workers:      &http.Client{Transport: transport(tuning.CommandIdleConnections, tuning.WorkerDialTimeout)},
		peers:        peer.NewClients(cfg.Peers),
		rateLimiter:  store.NewRateLimiter(cfg.Platform.State, len(cfg.Peers)+1),
		readSlots:    make(chan struct{}, tuning.StoreReadsInFlight),
		cloudSlots:   make(chan struct{}, tuning.CloudCallsInFlight),
		commandSlots: make(chan struct{}, p.commands),
		fencingSlots: make(chan struct{}, p.commands),
		peerSlots:    make(chan struct{}, tuning.PeerCallsInFlight),
		latencies:    newLatencyRecorder(),
	}
	for i := range r.writeSlots {
		r.writeSlots[i] = make(chan struct{}, tuning.StoreWritesInFlight)
	}
	r.controller = NewController(cfg, opt, r, rng, time.Now, log)
	return r
}

// Run serves until the context ends or a listener fails.
func (r *Runtime) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.ctx = ctx
	defer close(r.done)
	api, err := net.Listen("tcp", r.config.APIAddr)
	if err != nil {
		return fmt.Errorf("api_addr: %w", err)
	}
	inner, err := net.Listen("tcp", r.config.PeerBind)
	if err != nil {
		return fmt.Errorf("peer_bind: %w", err)
	}
	failed := make(chan error, 2)
	clients := newLimitedListener(api, r.connections.clients, r.clock.Now)
	srv := r.server()
	srv.ConnState, srv.ConnContext = clients.trackState, withClientConnection
	go func() { failed <- srv.Serve(clients) }()
	rpc := peer.NewServer(r)
	go func() { failed <- rpc.Serve(inner) }()
	defer func() {
		srv.Close()
		rpc.Stop()
		r.peers.Close()
	}()
	r.log.Info("serving", "api", r.config.APIAddr, "peers", r.config.PeerBind)
	return r.runLoop(ctx, failed)
}

// runLoop is the loop of the goroutine that owns all state. A lease's renewal must wait
// neither behind a thousand reports nor behind the results of all that the block needs:
// ticks go first, then results, then reports and requests in turn.
func (r *Runtime) runLoop(ctx context.Context, failed <-chan error) error {
	tick := time.NewTicker(tuning.TickInterval)
	defer tick.Stop()
	last := r.clock.Now()
	turn := func(time.Time) {
		now := r.clock.Advance() // leases may have ended while the machine was suspended
		r.logLateTick(now.Sub(last) - tuning.TickInterval)
		last = now
		r.controller.Tick(now)
		r.healthy.Store(r.controller.Healthy(now))
	}
	r.runEvent("tick", turn)
	for {
		select {
		case <-tick.C:
			r.runEvent("tick", turn)
			continue
		default:
		}
		select {
		case f := <-r.events:
			r.runEvent("event", f)
			continue
		default:
		}
		select {
		case f := <-r.events:
			r.runEvent("event", f)
		case f := <-r.heartbeats:
			r.runEvent("report", f)
		case f := <-r.requests:
			r.runEvent("request", f)
		case <-tick.C:
			r.runEvent("tick", turn)
		case err := <-failed:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// logLateTick tells of a tick that came late: leases and reports are next.
func (r *Runtime) logLateTick(late time.Duration) {
	if late > tuning.LateTickThreshold {
		r.log.Warn("too little processor time", "late", late, "goroutines", runtime.NumGoroutine(),
			"events", len(r.events), "reports", len(r.heartbeats), "requests", len(r.requests))
	}
}

// runEvent has the owner do one thing, and tells of one that took long: on a starved
// machine that is what makes leases and reports late.
func (r *Runtime) runEvent(what string, f func(now time.Time)) {
	start := r.clock.Now()
	if moved := r.clock.SuspendedFor(); moved != r.suspendedFor {
		r.log.Warn("the clock was moved forward: this machine was suspended", "by", moved-r.suspendedFor)
		r.suspendedFor = moved
		r.controller.EndTermsAfterSuspension(start)
	}
	f(start)
	if took := r.clock.Now().Sub(start); took > tuning.SlowEventThreshold {
		r.log.Warn("the owner was busy", "with", what, "for", took, "events", len(r.events), "reports", len(r.heartbeats), "requests", len(r.requests))
	}
}

// postEvent hands an event to the owner, waiting for room.
func (r *Runtime) postEvent(f func(now time.Time)) {
	select {
	case r.events <- f:
	case <-r.done:
	}
}

// tryPost hands an event to the owner unless its buffer is full.
func tryPost(to chan func(now time.Time), f func(now time.Time)) bool {
	select {
	case to <- f:
		return true
	default:
		return false
	}
}

var errOverloaded = errors.New("busy")

// Ask runs f on the owner goroutine and waits for it.
func (r *Runtime) Ask(ctx context.Context, f func(now time.Time)) error {
	did := make(chan struct{})
	if !tryPost(r.events, func(now time.Time) { f(now); close(did) }) {
		return errOverloaded
	}
	select {
	case <-did:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return net.ErrClosed
	}
}

// Controller is the state that Ask's functions may use.
func (r *Runtime) Controller() *Controller { return r.controller }

func acquire(slots chan struct{}) func() {
	slots <- struct{}{}
	return func() { <-slots }
}

// CallState is part of Env.
func (r *Runtime) CallState(c store.Call, then func(now time.Time, res store.Result)) {
	go func() {
		switch {
		case c.Priority == store.PriorityLease: // leases and watches wait behind nothing
		case len(c.Transaction.Writes) > 0:
			defer acquire(r.writeSlots[c.Priority])()
		default:
			defer acquire(r.readSlots)()
		}
		for {
			r.rateLimiterLock.Lock()
			wait, ok := r.rateLimiter.Take(r.clock.Now(), c)
			r.rateLimiterLock.Unlock()
			if ok {
				break
			}
			time.Sleep(wait)
		}
		start := time.Now()
		res := r.state.Execute(r.ctx, c)
		r.rateLimiterLock.Lock()
		lowered := r.rateLimiter.Observe(r.clock.Now(), c, res.Status)
		r.rateLimiterLock.Unlock()
		if lowered {
			r.log.Warn("the state service has lowered its limits", "status", res.Status)
		}
		if c.Op != store.OpWatch {
			r.latencies.record(latencyState, time.Since(start))
		}
		r.postEvent(func(now time.Time) { then(now, res) })
	}()
}

// CallCloud is part of Env.
func (r *Runtime) CallCloud(c fleet.CloudCall, then func(now time.Time, res fleet.CloudResult)) {
	go func() {
		defer acquire(r.cloudSlots)()
		start := time.Now()
		if !c.Deadline.IsZero() && !r.clock.Advance().Before(c.Deadline) {
			r.postEvent(func(now time.Time) { then(now, fleet.CloudResult{}) })
			return
		}
		res := r.cloud.Do(r.ctx, c)
		r.latencies.record(latencyCloud, time.Since(start))
		r.postEvent(func(now time.Time) { then(now, res) })
	}()
}

// SendCommands is part of Env.
func (r *Runtime) SendCommands(addr string, d wire.DirectCommands, by time.Time, then func(now time.Time, status int, rep *wire.Heartbeat)) {
	go func() {
		// a fifth of the machines may hang when a takeover asks them all: what
		// starts tasks does not wait behind that
		slots := r.commandSlots
		if len(d.Commands) == 0 {
			slots = r.fencingSlots
		}
		defer acquire(slots)()
		if !r.clock.Advance().Before(by) {
			r.postEvent(func(now time.Time) { then(now, NotSent, nil) })
			return
		}
		ctx, cancel := context.WithTimeout(r.ctx, tuning.CommandTimeout)
		defer cancel()
		status, rep := sendDirect(ctx, r.workers, addr, d)
		r.postEvent(func(now time.Time) { then(now, status, rep) })
	}()
}

// SendHeartbeat is part of Env.
func (r *Runtime) SendHeartbeat(member string, m *peerpb.PeerHeartbeat, then func(now time.Time, res *peerpb.PeerHeartbeat, err error)) {
	go func() { // one a second and peer: no slot, so that it waits behind nothing
		ctx, cancel := context.WithTimeout(r.ctx, tuning.PeerHeartbeatTimeout)
		defer cancel()
		res, err := r.peers.Peer(member).Pulse(ctx, m)
		r.postEvent(func(now time.Time) { then(now, res, err) })
	}()
}

// AskProgress is part of Env.
func (r *Runtime) AskProgress(member string, m *peerpb.ProgressRequest, then func(now time.Time, res *peerpb.ProgressReply, err error)) {
	go func() {
		defer acquire(r.peerSlots)()
		ctx, cancel := context.WithTimeout(r.ctx, tuning.ProgressTimeout)
		defer cancel()
		res, err := r.peers.Peer(member).Progress(ctx, m)
		r.postEvent(func(now time.Time) { then(now, res, err) })
	}()
}

// ProbeWorkers is part of Env.
func (r *Runtime) ProbeWorkers(member string, m *peerpb.ProbeRequest, then func(now time.Time, res *peerpb.ProbeReply, err error)) {
	go func() {
		defer acquire(r.peerSlots)()
		ctx, cancel := context.WithTimeout(r.ctx, tuning.ProbeTimeout+tuning.ProgressTimeout)
		defer cancel()
		res, err := r.peers.Peer(member).Probe(ctx, m)
		r.postEvent(func(now time.Time) { then(now, res, err) })
	}()
}
