package httpapi

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"juniperchute/internal/tuning"
)

// limitedListener is the listener for workers, users and health checks. It keeps their
// connections within a limit. When that is reached, a new one takes the place of the
// user's connection that has been idle longest, so that users push no worker out and a
// successor has room for all workers at once. If there is none, it takes the place of
// the idle worker's connection that was answered last: a worker reports no sooner than
// half a second after an answer, so no report is lost by that. Only when every
// connection has a request in hand is a new one refused, at once.
type limitedListener struct {
	net.Listener
	limit      int
	sharedFrom int // from so many open connections on, workers share them in time
	clock      func() time.Time
	lock       sync.Mutex
	open       map[*clientConnection]bool
}

func newLimitedListener(l net.Listener, limit int, clock func() time.Time) *limitedListener {
	return &limitedListener{
		Listener:   l,
		limit:      limit,
		sharedFrom: int(float64(limit) * tuning.KeepAliveConnectionShare),
		clock:      clock,
		open:       map[*clientConnection]bool{},
	}
}

// clientConnection is one connection.
type clientConnection struct {
	net.Conn
	listener   *limitedListener
	isWorker   bool      // it has brought a report
	idleSince  time.Time // since when it has waited for a request; zero: one is in hand
	hadRequest bool      // it has brought a request
}

// Accept is part of net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &clientConnection{Conn: conn, listener: l, idleSince: l.clock()}
		l.lock.Lock()
		room := len(l.open) < l.limit
		var evicted *clientConnection
		if !room {
			evicted = l.evictionCandidate()
		}
		if room || evicted != nil {
			l.open[c] = true
		}
		l.lock.Unlock()
		if evicted != nil {
			evicted.Close()
		} else if !room {
			conn.Close()
			continue
		}
		return c, nil
	}
}

// evictionCandidate finds the idle connection whose end costs least: the user's that has been
// idle longest, or else the worker's that has been idle shortest.
func (l *limitedListener) evictionCandidate() *clientConnection {
	var user, worker *clientConnection
	now := l.clock()
	for c := range l.open {
		switch {
		case c.idleSince.IsZero():
		case !c.hadRequest && now.Sub(c.idleSince) < tuning.FirstRequestTimeout:
			// its first request is on its way: in a burst of new connections each
			// would take the place of the one before
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

// crowded reports whether a worker's connection is to be closed with the answer to its
// report, so that another worker's has room.
func (l *limitedListener) crowded() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return len(l.open) >= l.sharedFrom
}

// Close is part of net.Conn.
func (c *clientConnection) Close() error {
	c.listener.lock.Lock()
	delete(c.listener.open, c)
	c.listener.lock.Unlock()
	return c.Conn.Close()
}

// trackState follows a connection for http.Server.
func (l *limitedListener) trackState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*clientConnection)
	if !ok {
		return
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	switch s {
	case http.StateActive:
		c.idleSince, c.hadRequest = time.Time{}, true
	case http.StateIdle:
		c.idleSince = l.clock()
	}
}

type clientConnectionKey struct{}

func withClientConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnectionKey{}, conn)
}

// markWorkerConnection notes that a request's connection is a worker's, and reports whether it is to
// be closed with the answer.
func markWorkerConnection(req *http.Request) (closes bool) {
	c, ok := req.Context().Value(clientConnectionKey{}).(*clientConnection)
	if !ok {
		return false
	}
	c.listener.lock.Lock()
	c.isWorker = true
	c.listener.lock.Unlock()
	return c.listener.crowded()
}
