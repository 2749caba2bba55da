package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
)

// pools are how many of a controller's own connections may be under way at once,
// by what they are for, within the machine's limit of sockets.
type pools struct {
	do     int // direct commands, and as many again that only ask for an account
	guests int // connections of workers, users and health checks
}

// newPools divides the sockets. Commands get a part that grows with the limit, as
// a fifth of the machines may hang at once; workers need one connection each, so
// clients get whatever the controller itself does not need.
func newPools(l config.Limits, peers int) pools {
	p := pools{do: max(tuning.DoCalls, int(float64(l.Sockets)*tuning.DoShare))}
	own := 2*p.do + stateConns() + tuning.CloudCalls + 2*peers + tuning.OwnSockets
	p.guests = max(tuning.GuestsLeast, l.Sockets-own)
	return p
}

// stateConns is how many connections to the state service there may be.
func stateConns() int {
	return tuning.StateReads + store.Classes*tuning.StateWrites + tuning.StateExtra
}

// guests is the listener for workers, users and health checks. It keeps their
// connections within a limit: when that is reached, a new one takes the place of
// the user's connection that has been idle longest, so that users push no worker
// out and a successor has room for all workers at once. Only when no such
// connection is left is a new one refused, at once.
type guests struct {
	net.Listener
	limit int
	clock func() time.Time
	lock  sync.Mutex
	open  map[*guest]bool
}

func newGuests(l net.Listener, limit int, clock func() time.Time) *guests {
	return &guests{Listener: l, limit: limit, clock: clock, open: map[*guest]bool{}}
}

// guest is one connection.
type guest struct {
	net.Conn
	of     *guests
	worker bool      // it has brought a report
	idle   time.Time // since when it has waited for a request; zero: one is in hand
}

// Accept is part of net.Listener.
func (g *guests) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &guest{Conn: conn, of: g, idle: g.clock()}
		g.lock.Lock()
		room := len(g.open) < g.limit
		var out *guest
		if !room {
			out = g.longest()
		}
		if room || out != nil {
			g.open[c] = true
		}
		g.lock.Unlock()
		if out != nil {
			out.Close()
		} else if !room {
			conn.Close()
			continue
		}
		return c, nil
	}
}

// longest finds the connection without a worker that has been idle longest.
func (g *guests) longest() *guest {
	var out *guest
	for c := range g.open {
		if !c.worker && !c.idle.IsZero() && (out == nil || c.idle.Before(out.idle)) {
			out = c
		}
	}
	return out
}

// Close is part of net.Conn.
func (c *guest) Close() error {
	c.of.lock.Lock()
	delete(c.of.open, c)
	c.of.lock.Unlock()
	return c.Conn.Close()
}

// state follows a connection for http.Server.
func (g *guests) state(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*guest)
	if !ok {
		return
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	switch s {
	case http.StateActive:
		c.idle = time.Time{}
	case http.StateIdle:
		c.idle = g.clock()
	}
}

type guestKey struct{}

func withGuest(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, guestKey{}, conn)
}

// isWorker notes that a request's connection is a worker's.
func isWorker(req *http.Request) {
	if c, ok := req.Context().Value(guestKey{}).(*guest); ok {
		c.of.lock.Lock()
		c.worker = true
		c.of.lock.Unlock()
	}
}

// idleTimeout is after how long without a request a client's connection is closed:
// a worker reports, and a user asks, several times within it, so one that does not
// is dead, and after a cut there would be one of them for each machine.
func idleTimeout(w config.Workers) time.Duration {
	return max(tuning.IdleLeast, config.Seconds(w.ReportS*tuning.IdleReports))
}
