// Package httpapi is the HTTP server for users, workers and health checks. It reads and
// checks requests, hands them to the goroutine that owns the controller's state, and writes
// the answers. It holds no state of its own beyond the open connections.
package httpapi

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Controller answers requests. Its methods are called on the goroutine that owns its state;
// each calls reply once, then or later.
type Controller interface {
	// Submit accepts a job, or answers what became of it if it is known already.
	Submit(now time.Time, spec wire.JobSpec, reply func(submission.Response))
	// Query answers a job's state.
	Query(now time.Time, job string, reply func(submission.Response))
	// Cancel cancels a job.
	Cancel(now time.Time, job string, reply func(submission.Response))
	// HandleHeartbeat answers a worker's heartbeat.
	HandleHeartbeat(now time.Time, heartbeat *wire.Heartbeat, reply func(status int, body any))
	// ObserveQueueDelay takes note of how long the next heartbeat has waited for its turn.
	ObserveQueueDelay(delay time.Duration)
}

// Options are what a server is made of.
type Options struct {
	Controller Controller
	// Heartbeats and Requests are the bounded queues of the goroutine that owns the
	// controller's state.
	Heartbeats, Requests chan<- func(now time.Time)
	// Healthy tells, without waiting for the owner, whether this node can take requests.
	Healthy func() bool
	// ObserveLatency takes note of how long a user's request took.
	ObserveLatency func(time.Duration)
	// Now is the steady clock.
	Now     func() time.Time
	Workers config.Workers
	// MaxConnections bounds the open connections.
	MaxConnections int
	Log            *slog.Logger
}

// Server is the HTTP server of one controller.
type Server struct {
	options Options
	http    *http.Server
}

// NewServer makes a server; Serve starts it.
func NewServer(options Options) *Server {
	s := &Server{options: options}
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: tuning.RequestReadTimeout,
		ReadTimeout:       tuning.RequestReadTimeout,
		IdleTimeout:       idleTimeout(options.Workers),
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

// maxHeaderBytes bounds a request's header: users and workers send a few hundred bytes.
const maxHeaderBytes = 16 << 10

// Serve accepts connections until the listener fails or the server is closed.
func (s *Server) Serve(listener net.Listener) error {
	limited := newLimitedListener(listener, s.options.MaxConnections, s.options.Now)
	s.http.ConnState, s.http.ConnContext = limited.trackState, withClientConnection
	return s.http.Serve(limited)
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// Handler is the server's handler of requests, without its listener.
func (s *Server) Handler() http.Handler { return s.http.Handler }

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", requireMethod(http.MethodGet, s.handleHealth))
	mux.HandleFunc("/submissions", requireMethod(http.MethodPost, s.handleSubmit))
	mux.HandleFunc("/submissions/", s.handleJob)
	mux.HandleFunc("/checkin", requireMethod(http.MethodPost, s.handleHeartbeat))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusNotFound, "no such path")
	})
	return mux
}

// idleTimeout is after how long without a request a client's connection is closed: a worker
// sends heartbeats, and a user asks, several times within it, so one that does not is dead,
// and after a network partition there would be one of them for each machine.
func idleTimeout(w config.Workers) time.Duration {
	return max(tuning.MinConnectionIdleTimeout, config.Seconds(w.HeartbeatS*tuning.IdleConnectionHeartbeats))
}
