package controller

import (
	"net"
	"net/http"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// Every worker keeps a connection to the block's one holder: the machines of a
// fleet half as large again as the settings' must fit beside users and the
// controller's own calls.
func TestConnectionLimits(t *testing.T) {
	for _, c := range []struct {
		name              string
		sockets, peers    int
		machines, clients int
	}{
		{"one of three, 1,350 machines", 2991, 2, 1350, 200},
		{"one of seven, 1,850 machines", 2179, 6, 1850, 50},
		{"one of three, 48 machines", 900, 2, 48, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newConnectionLimits(config.MachineLimits{Sockets: c.sockets}, c.peers)
			if p.clients < c.machines+c.clients {
				t.Errorf("%d connections for %d workers and %d users", p.clients, c.machines, c.clients)
			}
			own := 2*p.commands + stateConnections() + tuning.CloudCallsInFlight + 2*c.peers
			if p.clients+own > c.sockets {
				t.Errorf("%d and %d of its own are more than %d sockets", p.clients, own, c.sockets)
			}
		})
	}
}

// queuedListener is a listener with a number of connections waiting.
type queuedListener struct {
	net.Listener
	conns []net.Conn
}

func (p *queuedListener) Accept() (net.Conn, error) {
	if len(p.conns) == 0 {
		return nil, net.ErrClosed
	}
	c := p.conns[0]
	p.conns = p.conns[1:]
	return c, nil
}

// closeRecorder is a connection that only knows whether it was closed.
type closeRecorder struct {
	net.Conn
	closed bool
}

func (l *closeRecorder) Close() error {
	l.closed = true
	return nil
}

// What happens to the connections there are when one more comes: users took the
// place of workers, whose tasks were killed when their leases ran out.
func TestClientListener(t *testing.T) {
	const idleUser, busyUser, worker, busyWorker = "idle user", "busy user", "worker", "busy worker"
	for _, c := range []struct {
		name   string
		open   []string // oldest first
		taken  bool
		closed int // which of them makes room, -1: none
	}{
		{"there is room", []string{worker, idleUser}, true, -1},
		{"the user idle longest makes room", []string{worker, idleUser, idleUser}, true, 1},
		{"not one whose request is in hand", []string{busyUser, worker, idleUser}, true, 2},
		{"the worker answered last does if there is no user", []string{worker, worker, worker}, true, 2},
		{"not one whose report is in hand", []string{worker, busyWorker, busyWorker}, true, 0},
		{"no worker while a user is idle", []string{idleUser, worker, worker}, true, 0},
		{"nobody can", []string{busyWorker, busyUser, busyUser}, false, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			in := &queuedListener{}
			g := newLimitedListener(in, 3, func() time.Time { return now })
			var links []*closeRecorder
			for _, what := range c.open {
				l := &closeRecorder{}
				links = append(links, l)
				in.conns = []net.Conn{l}
				conn, err := g.Accept()
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(time.Second)
				g.trackState(conn, http.StateActive)
				if what == worker || what == busyWorker {
					req, _ := http.NewRequestWithContext(withClientConnection(t.Context(), conn), http.MethodPost, "/checkin", nil)
					markWorkerConnection(req)
				}
				if what != busyUser && what != busyWorker {
					g.trackState(conn, http.StateIdle)
				}
			}
			last := &closeRecorder{}
			in.conns = []net.Conn{last}
			_, err := g.Accept()
			if taken := err == nil; taken != c.taken || last.closed == c.taken {
				t.Errorf("taken %v, closed %v; want taken %v", taken, last.closed, c.taken)
			}
			for i, l := range links {
				if l.closed != (i == c.closed) {
					t.Errorf("connection %d (%s): closed %v", i, c.open[i], l.closed)
				}
			}
			if len(g.open) > 3 {
				t.Errorf("%d are open", len(g.open))
			}
		})
	}
}

// A worker's connection is kept until nearly as many are open as there may be, and closed
// with the answer from then on.
func TestWorkerConnectionsNearLimit(t *testing.T) {
	const limit = 100
	in := &queuedListener{}
	l := newLimitedListener(in, limit, time.Now)
	for n := 1; n <= limit; n++ {
		in.conns = []net.Conn{&closeRecorder{}}
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		req, _ := http.NewRequestWithContext(withClientConnection(t.Context(), conn), http.MethodPost, "/checkin", nil)
		if closes, want := markWorkerConnection(req), n >= limit*98/100; closes != want {
			t.Errorf("with %d of %d open: closed %v", n, limit, closes)
		}
	}
}
