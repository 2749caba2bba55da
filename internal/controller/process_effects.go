package controller

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"juniperchute/internal/clock"
	"juniperchute/internal/cloud"
	"juniperchute/internal/config"
	"juniperchute/internal/peer"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/store"
	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// slots bounds how many calls of one kind are under way at once.
type slots chan struct{}

// acquire waits for a free slot; the function it returns frees it again.
func (s slots) acquire() (release func()) {
	s <- struct{}{}
	return func() { <-s }
}

// effectOptions are what the effects of a process need of it.
type effectOptions struct {
	clock     *clock.Clock
	log       *slog.Logger
	latencies *latencyRecorder
	post      func(event func(now time.Time)) // hands a result to the owner
}

// processEffects carries out a controller's effects with real connections. Each call runs on
// a goroutine of its own, which ends with the call's time limit or with the process's
// context; its result is posted to the owner.
type processEffects struct {
	effectOptions
	ctx context.Context // of the process; set before the first effect

	state   *store.Client
	cloud   *cloud.Client
	workers workerClient
	peers   *peer.Clients

	rateLimiterLock sync.Mutex
	rateLimiter     *store.RateLimiter

	readSlots    slots
	writeSlots   [store.Priorities]slots
	cloudSlots   slots
	commandSlots slots
	fencingSlots slots
	peerSlots    slots
}

func newProcessEffects(cfg *config.Config, connections connectionLimits, options effectOptions) *processEffects {
	toState := transport(stateConnections(), tuning.DialTimeout)
	toCloud := transport(tuning.CloudCallsInFlight, tuning.DialTimeout)
	toWorkers := transport(tuning.CommandIdleConnections, tuning.WorkerDialTimeout)
	e := &processEffects{
		effectOptions: options,
		ctx:           context.Background(),

		state:        store.NewClient(cfg.External.State, toState, options.clock.Now),
		cloud:        cloud.NewClient(cfg.External.Cloud, toCloud),
		workers:      workerClient{&http.Client{Transport: toWorkers}},
		peers:        peer.NewClients(cfg.Peers),
		rateLimiter:  store.NewRateLimiter(cfg.Platform.State, len(cfg.Peers)+1),
		readSlots:    make(slots, tuning.StoreReadsInFlight),
		cloudSlots:   make(slots, tuning.CloudCallsInFlight),
		commandSlots: make(slots, connections.commands),
		fencingSlots: make(slots, connections.commands),
		peerSlots:    make(slots, tuning.PeerCallsInFlight),
	}
	for i := range e.writeSlots {
		e.writeSlots[i] = make(slots, tuning.StoreWritesInFlight)
	}
	return e
}

func transport(connections int, dialTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     tuning.IdleTimeout,
		DisableCompression:  true,
	}
}

// close closes the connections to the other controllers.
func (e *processEffects) close() { e.peers.Close() }

// CallState is part of Effects.
func (e *processEffects) CallState(call store.Call, then func(now time.Time, result store.Result)) {
	go func() {
		switch {
		case call.Priority == store.PriorityLease: // leases and watches wait behind nothing
		case len(call.Transaction.Writes) > 0:
			defer e.writeSlots[call.Priority].acquire()()
		default:
			defer e.readSlots.acquire()()
		}
		e.waitForRate(call)
		start := time.Now()
		result := e.state.Execute(e.ctx, call)
		e.observeRate(call, result)
		if call.Op != store.OpWatch {
			e.latencies.record(latencyState, time.Since(start))
		}
		e.post(func(now time.Time) { then(now, result) })
	}()
}

// waitForRate waits until the rate limiter lets a call pass, or the process ends.
func (e *processEffects) waitForRate(call store.Call) {
	for {
		e.rateLimiterLock.Lock()
		wait, ok := e.rateLimiter.Take(e.clock.Now(), call)
		e.rateLimiterLock.Unlock()
		if ok {
			return
		}
		select {
		case <-time.After(wait):
		case <-e.ctx.Done():
			return // the call itself fails with the context
		}
	}
}

// observeRate tells the rate limiter what came of a call.
func (e *processEffects) observeRate(call store.Call, result store.Result) {
	e.rateLimiterLock.Lock()
	lowered := e.rateLimiter.Observe(e.clock.Now(), call, result.Err)
	e.rateLimiterLock.Unlock()
	if lowered {
		e.log.Warn("state service has lowered its limits", "error", result.Err)
	}
}

// CallCloud is part of Effects.
func (e *processEffects) CallCloud(call cloud.Call, then func(now time.Time, result cloud.Result)) {
	go func() {
		defer e.cloudSlots.acquire()()
		start := time.Now()
		if !call.Deadline.IsZero() && !e.clock.Advance().Before(call.Deadline) {
			e.post(func(now time.Time) { then(now, cloud.Result{}) })
			return
		}
		result := e.cloud.Do(e.ctx, call)
		e.latencies.record(latencyCloud, time.Since(start))
		e.post(func(now time.Time) { then(now, result) })
	}()
}

// SendCommands is part of Effects.
func (e *processEffects) SendCommands(address string, commands wire.DirectCommands, deadline time.Time,
	then func(now time.Time, heartbeat *wire.Heartbeat, err error)) {
	go func() {
		// A fifth of the machines may hang when a failover asks them all: what starts tasks
		// does not wait behind that.
		slots := e.commandSlots
		if len(commands.Commands) == 0 {
			slots = e.fencingSlots
		}
		defer slots.acquire()()
		if !e.clock.Advance().Before(deadline) {
			e.post(func(now time.Time) { then(now, nil, term.ErrDeadlinePassed) })
			return
		}
		ctx, cancel := context.WithTimeout(e.ctx, tuning.CommandTimeout)
		defer cancel()
		heartbeat, err := e.workers.send(ctx, address, commands)
		e.post(func(now time.Time) { then(now, heartbeat, err) })
	}()
}

// SendHeartbeat is part of Effects.
func (e *processEffects) SendHeartbeat(member string, heartbeat *peerpb.PeerHeartbeat,
	then func(now time.Time, answer *peerpb.PeerHeartbeat, err error)) {
	go func() { // one a second and peer: no slot, so that it waits behind nothing
		ctx, cancel := context.WithTimeout(e.ctx, tuning.PeerHeartbeatTimeout)
		defer cancel()
		answer, err := e.peers.Peer(member).Pulse(ctx, heartbeat)
		e.post(func(now time.Time) { then(now, answer, err) })
	}()
}

// QueryProgress is part of Effects.
func (e *processEffects) QueryProgress(member string, request *peerpb.ProgressRequest,
	then func(now time.Time, reply *peerpb.ProgressReply, err error)) {
	go func() {
		defer e.peerSlots.acquire()()
		ctx, cancel := context.WithTimeout(e.ctx, tuning.ProgressTimeout)
		defer cancel()
		reply, err := e.peers.Peer(member).Progress(ctx, request)
		e.post(func(now time.Time) { then(now, reply, err) })
	}()
}

// ProbeWorkers is part of Effects.
func (e *processEffects) ProbeWorkers(member string, request *peerpb.ProbeRequest,
	then func(now time.Time, reply *peerpb.ProbeReply, err error)) {
	go func() {
		defer e.peerSlots.acquire()()
		ctx, cancel := context.WithTimeout(e.ctx, tuning.ProbeTimeout+tuning.ProgressTimeout)
		defer cancel()
		reply, err := e.peers.Peer(member).Probe(ctx, request)
		e.post(func(now time.Time) { then(now, reply, err) })
	}()
}

// probe asks workers for their state and counts those that answer.
func (e *processEffects) probe(ctx context.Context, addresses []string) (answered int) {
	ctx, cancel := context.WithTimeout(ctx, tuning.ProbeTimeout)
	defer cancel()
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			defer e.fencingSlots.acquire()()
			results <- e.workers.probe(ctx, address)
		}()
	}
	for range addresses {
		if <-results {
			answered++
		}
	}
	return answered
}
