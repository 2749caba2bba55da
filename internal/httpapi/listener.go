package httpapi

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"juniperchute/internal/tuning"
)

// limitedListener bounds the number of open connections of workers, users and health checks. At
// the limit, a new connection evicts an idle one:
//
//   - the least recently used connection of a user, so that users cannot displace workers and a
//     controller can accept all workers at once after a failover;
//   - otherwise the most recently used connection of a worker. By the protocol, a worker sends its
//     next heartbeat no sooner than 500 ms after a response, so no heartbeat is lost.
//
// If no connection is idle, the new connection is closed.
type limitedListener struct {
	net.Listener
	limit          int
	keepAliveLimit int // number of open connections from which keep-alive is off for workers
	clock          func() time.Time
	mu             sync.Mutex
	open           map[*clientConnection]bool
}

func newLimitedListener(l net.Listener, limit int, clock func() time.Time) *limitedListener {
	return &limitedListener{
		Listener:       l,
		limit:          limit,
		keepAliveLimit: int(float64(limit) * tuning.KeepAliveConnectionShare),
		clock:          clock,
		open:           map[*clientConnection]bool{},
	}
}

// clientConnection is an accepted connection. The listener's mutex guards isWorker, idleSince and
// receivedRequest.
type clientConnection struct {
	net.Conn
	listener        *limitedListener
	isWorker        bool      // a heartbeat has arrived
	idleSince       time.Time // zero while a request is in flight
	receivedRequest bool      // a request has arrived
}

// Accept implements net.Listener. It blocks until a connection arrives for which there is room.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &clientConnection{Conn: conn, listener: l, idleSince: l.clock()}
		l.mu.Lock()
		room := len(l.open) < l.limit
		var evicted *clientConnection
		if !room {
			evicted = l.evictionCandidate()
		}
		if room || evicted != nil {
			l.open[c] = true
		}
		l.mu.Unlock()
		if evicted != nil {
			evicted.Close()
		} else if !room {
			conn.Close()
			continue
		}
		return c, nil
	}
}

// evictionCandidate returns the connection to evict, or nil if none is idle. The caller must hold
// the mutex.
func (l *limitedListener) evictionCandidate() *clientConnection {
	var user, worker *clientConnection
	now := l.clock()
	for c := range l.open {
		switch {
		case c.idleSince.IsZero():
		case !c.receivedRequest && now.Sub(c.idleSince) < tuning.FirstRequestTimeout:
			// Its first request is probably in transit. Without this case, a burst of new
			// connections would evict each other.
		case c.isWorker:
			if worker == nil || c.idleSince.After(worker.idleSince) {
				worker = c
			}
		case user == nil || c.idleSince.Before(user.idleSince):
			user = c
		}
	}
	if user != nil {
		return user
	}
	return worker
}

// nearLimit reports whether the connections of workers must be closed after each response, which
// makes room for other workers.
func (l *limitedListener) nearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) >= l.keepAliveLimit
}

// Close implements net.Conn. It also removes the connection from the listener's open connections.
func (c *clientConnection) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// trackState implements http.Server.ConnState to record when connections are idle.
func (l *limitedListener) trackState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*clientConnection)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateActive:
		c.idleSince, c.receivedRequest = time.Time{}, true
	case http.StateIdle:
		c.idleSince = l.clock()
	}
}

type clientConnectionKey struct{}

func withClientConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnectionKey{}, conn)
}

// markWorkerConnection marks the connection of a request as that of a worker. It reports whether the
// connection must be closed after the response.
func markWorkerConnection(req *http.Request) (closes bool) {
	c, ok := req.Context().Value(clientConnectionKey{}).(*clientConnection)
	if !ok {
		return false
	}
	c.listener.mu.Lock()
	c.isWorker = true
	c.listener.mu.Unlock()
	return c.listener.nearLimit()
}
