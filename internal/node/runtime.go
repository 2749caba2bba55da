package node

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
	cfg   *config.Config
	log   *slog.Logger
	clock *clock.Clock // by which leases are judged
	core  *Core
	moved time.Duration // by which the clock had been moved when the owner last looked
	// What waits for the owner, each with a small buffer: results of its effects and
	// peers' calls first, then workers' reports and users' requests in turn.
	events  chan func(now time.Time)
	reports chan func(now time.Time)
	users   chan func(now time.Time)
	done    chan struct{}
	pools   pools

	state      *store.Client
	cloud      *fleet.CloudClient
	workers    *http.Client
	peers      *peer.Clients
	budgetLock sync.Mutex
	budget     *store.Budget
	readSlots  chan struct{}
	writeSlots [store.Classes]chan struct{}
	cloudSlots chan struct{}
	doSlots    chan struct{}
	fenceSlots chan struct{}
	peerSlots  chan struct{}
	ctx        context.Context
	lat        latencies
	healthy    atomic.Bool // as of the last tick: health is answered without the owner
}

// LimitProcess keeps this process within the machine's share of one core and its
// memory.
func LimitProcess(l config.Limits) {
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
	p := newPools(cfg.Facts.Limits, len(cfg.Known))
	r := &Runtime{
		cfg: cfg, log: log, clock: steady, done: make(chan struct{}), pools: p,
		events:     make(chan func(time.Time), tuning.EventQueueSize),
		reports:    make(chan func(time.Time), tuning.EventQueueSize),
		users:      make(chan func(time.Time), tuning.EventQueueSize),
		state:      store.NewClient(cfg.External.State, transport(stateConns(), tuning.DialTimeout), steady.Now),
		cloud:      fleet.NewCloudClient(cfg.External.Cloud, transport(tuning.CloudCallsInFlight, tuning.DialTimeout)),
		workers:    &http.Client{Transport: transport(tuning.CommandIdleConnections, tuning.WorkerDialTimeout)},
		peers:      peer.NewClients(cfg.Known),
		budget:     store.NewBudget(cfg.Facts.State, len(cfg.Known)+1),
		readSlots:  make(chan struct{}, tuning.StoreReadsInFlight),
		cloudSlots: make(chan struct{}, tuning.CloudCallsInFlight),
		doSlots:    make(chan struct{}, p.do),
		fenceSlots: make(chan struct{}, p.do),
		peerSlots:  make(chan struct{}, tuning.PeerCallsInFlight),
		lat:        newLatencies(),
	}
	for i := range r.writeSlots {
		r.writeSlots[i] = make(chan struct{}, tuning.StoreWritesInFlight)
	}
	r.core = NewCore(cfg, opt, r, rng, time.Now, log)
	return r
}

// Run serves until the context ends or a listener fails.
func (r *Runtime) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.ctx = ctx
	defer close(r.done)
	api, err := net.Listen("tcp", r.cfg.APIAddr)
	if err != nil {
		return fmt.Errorf("api_addr: %w", err)
	}
	inner, err := net.Listen("tcp", r.cfg.PeerBind)
	if err != nil {
		return fmt.Errorf("peer_bind: %w", err)
	}
	failed := make(chan error, 2)
	clients := newClientListener(api, r.pools.clients, r.clock.Now)
	srv := r.server()
	srv.ConnState, srv.ConnContext = clients.state, withClientConn
	go func() { failed <- srv.Serve(clients) }()
	rpc := peer.NewServer(r)
	go func() { failed <- rpc.Serve(inner) }()
	defer func() {
		srv.Close()
		rpc.Stop()
		r.peers.Close()
	}()
	r.log.Info("serving", "api", r.cfg.APIAddr, "peers", r.cfg.PeerBind)
	return r.own(ctx, failed)
}

// own is the loop of the goroutine that owns all state. A lease's renewal must wait
// neither behind a thousand reports nor behind the results of all that the block needs:
// ticks go first, then results, then reports and requests in turn.
func (r *Runtime) own(ctx context.Context, failed <-chan error) error {
	tick := time.NewTicker(tuning.TickInterval)
	defer tick.Stop()
	last := r.clock.Now()
	turn := func(time.Time) {
		now := r.clock.Advance() // leases may have ended while the machine was suspended
		r.noteLate(now.Sub(last) - tuning.TickInterval)
		last = now
		r.core.Tick(now)
		r.healthy.Store(r.core.Healthy(now))
	}
	r.carry("tick", turn)
	for {
		select {
		case <-tick.C:
			r.carry("tick", turn)
			continue
		default:
		}
		select {
		case f := <-r.events:
			r.carry("event", f)
			continue
		default:
		}
		select {
		case f := <-r.events:
			r.carry("event", f)
		case f := <-r.reports:
			r.carry("report", f)
		case f := <-r.users:
			r.carry("request", f)
		case <-tick.C:
			r.carry("tick", turn)
		case err := <-failed:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// noteLate tells of a tick that came late: leases and reports are next.
func (r *Runtime) noteLate(late time.Duration) {
	if late > tuning.LateTickThreshold {
		r.log.Warn("too little processor time", "late", late, "goroutines", runtime.NumGoroutine(),
			"events", len(r.events), "reports", len(r.reports), "requests", len(r.users))
	}
}

// carry has the owner do one thing, and tells of one that took long: on a starved
// machine that is what makes leases and reports late.
func (r *Runtime) carry(what string, f func(now time.Time)) {
	start := r.clock.Now()
	if moved := r.clock.Moved(); moved != r.moved {
		r.log.Warn("the clock was moved forward: this machine was suspended", "by", moved-r.moved)
		r.moved = moved
		r.core.ClockMoved(start)
	}
	f(start)
	if took := r.clock.Now().Sub(start); took > tuning.SlowEventThreshold {
		r.log.Warn("the owner was busy", "with", what, "for", took, "events", len(r.events), "reports", len(r.reports), "requests", len(r.users))
	}
}

// post hands an event to the owner, waiting for room.
func (r *Runtime) post(f func(now time.Time)) {
	select {
	case r.events <- f:
	case <-r.done:
	}
}

// offer hands an event to the owner unless its buffer is full.
func offer(to chan func(now time.Time), f func(now time.Time)) bool {
	select {
	case to <- f:
		return true
	default:
		return false
	}
}

var errBusy = errors.New("busy")

// Ask runs f on the owner goroutine and waits for it.
func (r *Runtime) Ask(ctx context.Context, f func(now time.Time)) error {
	did := make(chan struct{})
	if !offer(r.events, func(now time.Time) { f(now); close(did) }) {
		return errBusy
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

// Core is the state that Ask's functions may use.
func (r *Runtime) Core() *Core { return r.core }

func enter(slots chan struct{}) func() {
	slots <- struct{}{}
	return func() { <-slots }
}

// State is part of Env.
func (r *Runtime) State(c store.Call, then func(now time.Time, res store.Result)) {
	go func() {
		switch {
		case c.Class == store.ClassLease: // leases and watches wait behind nothing
		case len(c.Multi.Writes) > 0:
			defer enter(r.writeSlots[c.Class])()
		default:
			defer enter(r.readSlots)()
		}
		for {
			r.budgetLock.Lock()
			wait, ok := r.budget.Take(r.clock.Now(), c)
			r.budgetLock.Unlock()
			if ok {
				break
			}
			time.Sleep(wait)
		}
		start := time.Now()
		res := r.state.Do(r.ctx, c)
		r.budgetLock.Lock()
		lowered := r.budget.Note(r.clock.Now(), c, res.Status)
		r.budgetLock.Unlock()
		if lowered {
			r.log.Warn("the state service has lowered its limits", "status", res.Status)
		}
		if c.Op != store.OpChanges {
			r.lat.note(latState, time.Since(start))
		}
		r.post(func(now time.Time) { then(now, res) })
	}()
}

// Cloud is part of Env.
func (r *Runtime) Cloud(c fleet.CloudCall, then func(now time.Time, res fleet.CloudResult)) {
	go func() {
		defer enter(r.cloudSlots)()
		start := time.Now()
		if !c.Deadline.IsZero() && !r.clock.Advance().Before(c.Deadline) {
			r.post(func(now time.Time) { then(now, fleet.CloudResult{}) })
			return
		}
		res := r.cloud.Do(r.ctx, c)
		r.lat.note(latCloud, time.Since(start))
		r.post(func(now time.Time) { then(now, res) })
	}()
}

// Do is part of Env.
func (r *Runtime) Do(addr string, d wire.Do, by time.Time, then func(now time.Time, status int, rep *wire.Report)) {
	go func() {
		// a fifth of the machines may hang when a takeover asks them all: what
		// starts tasks does not wait behind that
		slots := r.doSlots
		if len(d.Commands) == 0 {
			slots = r.fenceSlots
		}
		defer enter(slots)()
		if !r.clock.Advance().Before(by) {
			r.post(func(now time.Time) { then(now, NotSent, nil) })
			return
		}
		ctx, cancel := context.WithTimeout(r.ctx, tuning.CommandTimeout)
		defer cancel()
		status, rep := direct(ctx, r.workers, addr, d)
		r.post(func(now time.Time) { then(now, status, rep) })
	}()
}

// Pulse is part of Env.
func (r *Runtime) Pulse(member string, m *peerpb.PulseMessage, then func(now time.Time, res *peerpb.PulseMessage, err error)) {
	go func() { // one a second and peer: no slot, so that it waits behind nothing
		ctx, cancel := context.WithTimeout(r.ctx, tuning.PeerHeartbeatTimeout)
		defer cancel()
		res, err := r.peers.Peer(member).Pulse(ctx, m)
		r.post(func(now time.Time) { then(now, res, err) })
	}()
}

// Progress is part of Env.
func (r *Runtime) Progress(member string, m *peerpb.ProgressRequest, then func(now time.Time, res *peerpb.ProgressReply, err error)) {
	go func() {
		defer enter(r.peerSlots)()
		ctx, cancel := context.WithTimeout(r.ctx, tuning.ProgressTimeout)
		defer cancel()
		res, err := r.peers.Peer(member).Progress(ctx, m)
		r.post(func(now time.Time) { then(now, res, err) })
	}()
}

// Probe is part of Env.
func (r *Runtime) Probe(member string, m *peerpb.ProbeRequest, then func(now time.Time, res *peerpb.ProbeReply, err error)) {
	go func() {
		defer enter(r.peerSlots)()
		ctx, cancel := context.WithTimeout(r.ctx, tuning.ProbeTimeout+tuning.ProgressTimeout)
		defer cancel()
		res, err := r.peers.Peer(member).Probe(ctx, m)
		r.post(func(now time.Time) { then(now, res, err) })
	}()
}
