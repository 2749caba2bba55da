package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

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
	cfg    *config.Config
	log    *slog.Logger
	core   *Core
	events chan func(now time.Time)
	done   chan struct{}

	state      *store.Client
	cloud      *fleet.Client
	workers    *http.Client
	peers      *peer.Clients
	budgetLock sync.Mutex
	budget     *store.Budget
	stateSlots chan struct{}
	cloudSlots chan struct{}
	doSlots    chan struct{}
	peerSlots  chan struct{}
	ctx        context.Context
	lat        latencies
	healthy    atomic.Bool // as of the last tick: health is answered without the owner
}

func transport(conns int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: tuning.DialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConns:        conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     tuning.IdleTimeout,
		DisableCompression:  true,
	}
}

// NewRuntime makes the runtime of a controller.
func NewRuntime(cfg *config.Config, log *slog.Logger, rng *rand.Rand) *Runtime {
	r := &Runtime{
		cfg: cfg, log: log, events: make(chan func(time.Time), tuning.EventBuffer), done: make(chan struct{}),
		state:      store.NewClient(cfg.External.State, transport(tuning.StateCalls+2), time.Now),
		cloud:      fleet.NewClient(cfg.External.Cloud, transport(tuning.CloudCalls)),
		workers:    &http.Client{Transport: transport(tuning.DoCalls)},
		peers:      peer.NewClients(cfg.Known),
		budget:     store.NewBudget(cfg.Facts.State.RPS, cfg.Facts.State.WriteRPS, len(cfg.Known)+1),
		stateSlots: make(chan struct{}, tuning.StateCalls),
		cloudSlots: make(chan struct{}, tuning.CloudCalls),
		doSlots:    make(chan struct{}, tuning.DoCalls),
		peerSlots:  make(chan struct{}, tuning.PeerCalls),
		lat:        newLatencies(),
	}
	r.core = NewCore(cfg, tuning.Blocks, r, rng, time.Now, log)
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
	limit := int64(float64(r.cfg.Facts.Limits.Sockets) * tuning.SocketShare)
	srv := r.server()
	go func() { failed <- srv.Serve(&countedListener{Listener: api, limit: limit}) }()
	rpc := peer.NewServer(r)
	go func() { failed <- rpc.Serve(inner) }()
	defer func() {
		srv.Close()
		rpc.Stop()
		r.peers.Close()
	}()
	r.log.Info("serving", "api", r.cfg.APIAddr, "peers", r.cfg.PeerBind)
	tick := time.NewTicker(tuning.TickEvery)
	defer tick.Stop()
	turn := func(now time.Time) {
		r.core.Tick(now)
		r.healthy.Store(r.core.Healthy(now))
	}
	turn(time.Now())
	for {
		select {
		case f := <-r.events:
			f(time.Now())
		case <-tick.C:
			turn(time.Now())
		case err := <-failed:
			return err
		case <-ctx.Done():
			return nil
		}
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
func (r *Runtime) offer(f func(now time.Time)) bool {
	select {
	case r.events <- f:
		return true
	default:
		return false
	}
}

var errBusy = errors.New("busy")

// Ask runs f on the owner goroutine and waits for it.
func (r *Runtime) Ask(ctx context.Context, f func(now time.Time)) error {
	did := make(chan struct{})
	if !r.offer(func(now time.Time) { f(now); close(did) }) {
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
		// leases and watches must not wait behind anything else
		if c.Class != store.ClassLease {
			defer enter(r.stateSlots)()
		}
		for {
			r.budgetLock.Lock()
			wait, ok := r.budget.Take(time.Now(), c)
			r.budgetLock.Unlock()
			if ok {
				break
			}
			time.Sleep(wait)
		}
		start := time.Now()
		res := r.state.Do(r.ctx, c)
		if c.Op != store.OpChanges {
			r.lat.note(latState, time.Since(start))
		}
		r.post(func(now time.Time) { then(now, res) })
	}()
}

// Cloud is part of Env.
func (r *Runtime) Cloud(c fleet.Call, then func(now time.Time, res fleet.Result)) {
	go func() {
		defer enter(r.cloudSlots)()
		start := time.Now()
		res := r.cloud.Do(r.ctx, c)
		r.lat.note(latCloud, time.Since(start))
		r.post(func(now time.Time) { then(now, res) })
	}()
}

// Do is part of Env.
func (r *Runtime) Do(addr string, d wire.Do, then func(now time.Time, status int, rep *wire.Report)) {
	go func() {
		defer enter(r.doSlots)()
		ctx, cancel := context.WithTimeout(r.ctx, tuning.DoTimeout)
		defer cancel()
		status, rep := direct(ctx, r.workers, addr, d)
		r.post(func(now time.Time) { then(now, status, rep) })
	}()
}

// Pulse is part of Env.
func (r *Runtime) Pulse(member string, m *peerpb.PulseMessage, then func(now time.Time, res *peerpb.PulseMessage, err error)) {
	go func() {
		defer enter(r.peerSlots)()
		ctx, cancel := context.WithTimeout(r.ctx, tuning.PulseTimeout)
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

// countedListener closes connections beyond a limit, so that sockets are left
// for what the controller itself has to reach.
type countedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.limit {
			l.open.Add(-1)
			c.Close()
			continue
		}
		return &countedConn{Conn: c, l: l}, nil
	}
}

type countedConn struct {
	net.Conn
	l    *countedListener
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}
