// Package httpapi is the HTTP server for users, workers and health checks. It parses and validates
// requests, passes them to the controller's event loop, and writes the responses. It holds no state
// other than the open connections.
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

// Controller handles requests. The server calls its methods on the controller's event loop. Each
// method with a reply callback must invoke it exactly once, immediately or later.
type Controller interface {
	// Submit accepts a job. It is idempotent: for a known job it replies with the job's state.
	Submit(now time.Time, spec wire.JobSpec, reply func(submission.Response))
	// Query replies with the state of a job.
	Query(now time.Time, job string, reply func(submission.Response))
	// Cancel cancels a job. It is idempotent.
	Cancel(now time.Time, job string, reply func(submission.Response))
	// HandleHeartbeat processes a worker's heartbeat and replies with a status and a JSON body.
	HandleHeartbeat(now time.Time, heartbeat *wire.Heartbeat, reply func(status int, body any))
	// ObserveQueueDelay records the time that a heartbeat has spent in the queue. It is called
	// before HandleHeartbeat.
	ObserveQueueDelay(delay time.Duration)
}

// Options configures a Server.
type Options struct {
	Controller Controller
	// Heartbeats and Requests are the bounded queues of the controller's event loop.
	Heartbeats, Requests chan<- func(now time.Time)
	// Healthy reports whether this controller can accept requests. It must not block on the
	// event loop.
	Healthy func() bool
	// ObserveLatency records the latency of a user's request.
	ObserveLatency func(time.Duration)
	// Now returns the time of the monotonic clock.
	Now     func() time.Time
	Workers config.Workers
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	Log            *slog.Logger
}

// Server is the HTTP server of one controller. Serve may be called once.
type Server struct {
	options Options
	http    *http.Server
}

// NewServer returns a server, which Serve starts.
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

// maxHeaderBytes bounds the header of a request. Users and workers send a few hundred bytes.
const maxHeaderBytes = 16 << 10

// Serve handles connections until the listener fails or the server is closed. It always returns a
// non-nil error.
func (s *Server) Serve(listener net.Listener) error {
	limited := newLimitedListener(listener, s.options.MaxConnections, s.options.Now)
	s.http.ConnState, s.http.ConnContext = limited.trackState, withClientConnection
	return s.http.Serve(limited)
}

// Close closes the listener and all connections immediately. Requests in flight are not completed.
func (s *Server) Close() error { return s.http.Close() }

// Handler returns the request handler, for use without a listener.
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

// idleTimeout returns the time without a request after which a connection is closed. Live workers and
// users send several requests within that time. After a network partition, each machine would
// otherwise leave a dead connection behind.
func idleTimeout(w config.Workers) time.Duration {
	return max(tuning.MinConnectionIdleTimeout, config.Seconds(w.HeartbeatS*tuning.IdleConnectionHeartbeats))
}
