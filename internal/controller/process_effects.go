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

// semaphore bounds the number of concurrent calls of one kind.
type semaphore chan struct{}

// acquire blocks until a call may start. The caller must call release when the call has ended.
func (s semaphore) acquire() (release func()) {
	s <- struct{}{}
	return func() { <-s }
}

// effectOptions holds the facilities of the process that processEffects uses.
type effectOptions struct {
	clock     *clock.Clock
	log       *slog.Logger
	latencies *latencyRecorder
	post      func(event func(now time.Time)) // queues a result for the event loop
}

// processEffects implements Effects with network connections. Each call runs on its own
// goroutine, ends by its timeout or with the process's context, and posts its result to the
// event loop.
type processEffects struct {
	effectOptions
	ctx context.Context // the process's context; set before the first effect

	state   *store.Client
	cloud   *cloud.Client
	workers workerClient
	peers   *peer.Clients

	rateLimiterLock sync.Mutex
	rateLimiter     *store.RateLimiter

	readSemaphore        semaphore
	writeSemaphores      [store.NumPriorities]semaphore
	cloudSemaphore       semaphore
	commandSemaphore     semaphore
	workerQuerySemaphore semaphore // of heartbeat requests to workers and probes
	peerSemaphore        semaphore
}

func newProcessEffects(cfg *config.Config, connections connectionLimits, options effectOptions) *processEffects {
	toState := transport(stateConnections(), tuning.DialTimeout)
	toCloud := transport(tuning.MaxCloudCallsInFlight, tuning.DialTimeout)
	toWorkers := transport(tuning.CommandIdleConnections, tuning.WorkerDialTimeout)
	e := &processEffects{
		effectOptions: options,
		ctx:           context.Background(),

		state:                store.NewClient(cfg.External.State, toState, options.clock.Now),
		cloud:                cloud.NewClient(cfg.External.Cloud, toCloud),
		workers:              workerClient{&http.Client{Transport: toWorkers}},
		peers:                peer.NewClients(cfg.Peers),
		rateLimiter:          store.NewRateLimiter(cfg.Platform.State, len(cfg.Peers)+1),
		readSemaphore:        make(semaphore, tuning.MaxStoreReadsInFlight),
		cloudSemaphore:       make(semaphore, tuning.MaxCloudCallsInFlight),
		commandSemaphore:     make(semaphore, connections.commands),
		workerQuerySemaphore: make(semaphore, connections.commands),
		peerSemaphore:        make(semaphore, tuning.MaxPeerCallsInFlight),
	}
	for i := range e.writeSemaphores {
		e.writeSemaphores[i] = make(semaphore, tuning.MaxStoreWritesInFlight)
	}
	return e
}

func transport(connections int, dialTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     tuning.IdleConnectionTimeout,
		DisableCompression:  true,
	}
}

// close closes the connections to peers.
func (e *processEffects) close() { e.peers.Close() }

// CallState implements Effects.
func (e *processEffects) CallState(call store.Call, done func(now time.Time, result store.Result)) {
	go func() {
		switch {
		case call.Priority == store.PriorityLease: // leases and watches are not limited
		case len(call.Transaction.Writes) > 0:
			defer e.writeSemaphores[call.Priority].acquire()()
		default:
			defer e.readSemaphore.acquire()()
		}
		e.waitForRateLimiter(call)
		start := time.Now()
		result := e.state.Execute(e.ctx, call)
		e.observeResult(call, result)
		if call.Op != store.OpWatch {
			e.latencies.record(latencyState, time.Since(start))
		}
		e.post(func(now time.Time) { done(now, result) })
	}()
}

// waitForRateLimiter blocks until the rate limiter permits a call or the process ends.
func (e *processEffects) waitForRateLimiter(call store.Call) {
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
			return // the call fails because its context is done
		}
	}
}

// observeResult reports the result of a call to the rate limiter.
func (e *processEffects) observeResult(call store.Call, result store.Result) {
	e.rateLimiterLock.Lock()
	lowered := e.rateLimiter.Observe(e.clock.Now(), call, result.Err)
	e.rateLimiterLock.Unlock()
	if lowered {
		e.log.Warn("state service appears to have lowered its limits; switching to the lower limits",
			"error", result.Err)
	}
}

// CallCloud implements Effects.
func (e *processEffects) CallCloud(call cloud.Call, done func(now time.Time, result cloud.Result)) {
	go func() {
		defer e.cloudSemaphore.acquire()()
		start := time.Now()
		if !call.Deadline.IsZero() && !e.clock.Advance().Before(call.Deadline) {
			e.post(func(now time.Time) { done(now, cloud.Result{}) })
			return
		}
		result := e.cloud.Do(e.ctx, call)
		e.latencies.record(latencyCloud, time.Since(start))
		e.post(func(now time.Time) { done(now, result) })
	}()
}

// SendCommands implements Effects.
func (e *processEffects) SendCommands(address string, commands wire.DirectCommands, deadline time.Time,
	done func(now time.Time, heartbeat *wire.Heartbeat, err error)) {
	go func() {
		// A message without commands only requests a heartbeat. After a failover these requests
		// go to all workers, and many may hang: commands must not wait for them.
		limit := e.commandSemaphore
		if len(commands.Commands) == 0 {
			limit = e.workerQuerySemaphore
		}
		defer limit.acquire()()
		if !e.clock.Advance().Before(deadline) {
			e.post(func(now time.Time) { done(now, nil, term.ErrDeadlinePassed) })
			return
		}
		ctx, cancel := context.WithTimeout(e.ctx, tuning.CommandTimeout)
		defer cancel()
		heartbeat, err := e.workers.send(ctx, address, commands)
		e.post(func(now time.Time) { done(now, heartbeat, err) })
	}()
}

// SendPeerHeartbeat implements Effects. Heartbeats are not limited: they are few, and must not wait
// for other calls to peers.
func (e *processEffects) SendPeerHeartbeat(member string, heartbeat *peerpb.PeerHeartbeat,
	done func(now time.Time, reply *peerpb.PeerHeartbeat, err error)) {
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, tuning.PeerHeartbeatTimeout)
		defer cancel()
		reply, err := e.peers.Peer(member).Pulse(ctx, heartbeat)
		e.post(func(now time.Time) { done(now, reply, err) })
	}()
}

// QueryProgress implements Effects.
func (e *processEffects) QueryProgress(member string, request *peerpb.ProgressRequest,
	done func(now time.Time, reply *peerpb.ProgressReply, err error)) {
	go func() {
		defer e.peerSemaphore.acquire()()
		ctx, cancel := context.WithTimeout(e.ctx, tuning.ProgressTimeout)
		defer cancel()
		reply, err := e.peers.Peer(member).Progress(ctx, request)
		e.post(func(now time.Time) { done(now, reply, err) })
	}()
}

// ProbeWorkers implements Effects.
func (e *processEffects) ProbeWorkers(member string, request *peerpb.ProbeRequest,
	done func(now time.Time, reply *peerpb.ProbeReply, err error)) {
	go func() {
		defer e.peerSemaphore.acquire()()
		ctx, cancel := context.WithTimeout(e.ctx, tuning.ProbeTimeout+tuning.ProgressTimeout)
		defer cancel()
		reply, err := e.peers.Peer(member).Probe(ctx, request)
		e.post(func(now time.Time) { done(now, reply, err) })
	}()
}

// probe queries workers concurrently and returns the number of those that respond within
// tuning.ProbeTimeout.
func (e *processEffects) probe(ctx context.Context, addresses []string) (responded int) {
	ctx, cancel := context.WithTimeout(ctx, tuning.ProbeTimeout)
	defer cancel()
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			defer e.workerQuerySemaphore.acquire()()
			results <- e.workers.probe(ctx, address)
		}()
	}
	for range addresses {
		if <-results {
			responded++
		}
	}
	return responded
}

// probeCloud makes a call to the cloud and returns the number of its responses within tuning.ProbeTimeout,
// which is 0 or 1.
func (e *processEffects) probeCloud(ctx context.Context) (responded int) {
	defer e.cloudSemaphore.acquire()()
	ctx, cancel := context.WithTimeout(ctx, tuning.ProbeTimeout)
	defer cancel()
	if result := e.cloud.Do(ctx, cloud.Call{Operation: cloud.ListMachineTypes}); result.Err() != nil {
		return 0
	}
	return 1
}
