package httpapi

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// queuedListener is a net.Listener that accepts the connections in its queue.
type queuedListener struct {
	net.Listener
	connections []net.Conn
}

func (l *queuedListener) Accept() (net.Conn, error) {
	if len(l.connections) == 0 {
		return nil, net.ErrClosed
	}
	first := l.connections[0]
	l.connections = l.connections[1:]
	return first, nil
}

// fakeConnection is a net.Conn that records whether it was closed.
type fakeConnection struct {
	net.Conn
	closed bool
}

func (c *fakeConnection) Close() error {
	c.closed = true
	return nil
}

// markAsWorker simulates a heartbeat over a connection and reports whether the connection must be
// closed after the response.
func markAsWorker(t *testing.T, connection net.Conn) bool {
	t.Helper()
	ctx := withClientConnection(t.Context(), connection)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "/checkin", nil)
	if err != nil {
		t.Fatal(err)
	}
	return markWorkerConnection(req)
}

// clientKind is the kind of client of a connection, and whether it has a request in flight.
type clientKind string

const (
	idleUser   clientKind = "idle user"
	busyUser   clientKind = "busy user"
	idleWorker clientKind = "idle worker"
	busyWorker clientKind = "busy worker"
)

// noneEvicted is the value of admissionCase.evicted if no connection is evicted.
const noneEvicted = -1

// admissionCase describes the effect of one more connection at a limit of three.
type admissionCase struct {
	name     string
	open     []clientKind // oldest first
	accepted bool
	evicted  int // index in open, or noneEvicted
}

var admissionCases = []admissionCase{
	{
		name:     "below the limit: nothing is evicted",
		open:     []clientKind{idleWorker, idleUser},
		accepted: true,
		evicted:  noneEvicted,
	},
	{
		name:     "idle users: least recently used one is evicted",
		open:     []clientKind{idleWorker, idleUser, idleUser},
		accepted: true,
		evicted:  1,
	},
	{
		name:     "busy user: idle user is evicted instead",
		open:     []clientKind{busyUser, idleWorker, idleUser},
		accepted: true,
		evicted:  2,
	},
	{
		name:     "only idle workers: most recently used one is evicted",
		open:     []clientKind{idleWorker, idleWorker, idleWorker},
		accepted: true,
		evicted:  2,
	},
	{
		name:     "busy workers: idle worker is evicted instead",
		open:     []clientKind{idleWorker, busyWorker, busyWorker},
		accepted: true,
		evicted:  0,
	},
	{
		name:     "idle user and idle workers: user is evicted",
		open:     []clientKind{idleUser, idleWorker, idleWorker},
		accepted: true,
		evicted:  0,
	},
	{
		name:     "no idle connection: new connection is closed",
		open:     []clientKind{busyWorker, busyUser, busyUser},
		accepted: false,
		evicted:  noneEvicted,
	},
}

// Connections of users must not displace those of workers, whose leases would expire and whose
// tasks would be killed.
func TestConnectionEviction(t *testing.T) {
	for _, c := range admissionCases {
		t.Run(c.name, c.run)
	}
}

func (c admissionCase) run(t *testing.T) {
	const limit = 3
	now := time.Unix(1000, 0)
	queue := &queuedListener{}
	listener := newLimitedListener(queue, limit, func() time.Time { return now })
	var open []*fakeConnection
	for _, kind := range c.open {
		accepted := &fakeConnection{}
		open = append(open, accepted)
		queue.connections = []net.Conn{accepted}
		connection, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		now = now.Add(time.Second)
		listener.trackState(connection, http.StateActive)
		if kind == idleWorker || kind == busyWorker {
			markAsWorker(t, connection)
		}
		if kind == idleUser || kind == idleWorker {
			listener.trackState(connection, http.StateIdle)
		}
	}
	last := &fakeConnection{}
	queue.connections = []net.Conn{last}
	_, err := listener.Accept()
	if accepted := err == nil; accepted != c.accepted || last.closed == c.accepted {
		t.Errorf("accepted %v, closed %v; want accepted %v", accepted, last.closed, c.accepted)
	}
	for i, connection := range open {
		if connection.closed != (i == c.evicted) {
			t.Errorf("connection %d (%s): closed %v", i, c.open[i], connection.closed)
		}
	}
	if len(listener.open) > limit {
		t.Errorf("%d connections are open, limit %d", len(listener.open), limit)
	}
}

// Connections of workers must stay open until their number is close to the limit, and must be closed
// after each response from then on.
func TestWorkerConnectionsCloseNearLimit(t *testing.T) {
	const limit = 100
	queue := &queuedListener{}
	listener := newLimitedListener(queue, limit, time.Now)
	for n := 1; n <= limit; n++ {
		queue.connections = []net.Conn{&fakeConnection{}}
		connection, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if closes, want := markAsWorker(t, connection), n >= limit*98/100; closes != want {
			t.Errorf("with %d of %d connections open: close %v, want %v", n, limit, closes, want)
		}
	}
}

// With more workers than connections, every heartbeat must get a response and most of the permitted
// connections must stay open.
func TestWorkersShareConnections(t *testing.T) {
	const (
		limit       = 50
		workers     = 120
		rounds      = 10
		maxInFlight = 8 // concurrent requests
		// minHeartbeatDelay is the protocol's minimum time between a response and the worker's
		// next heartbeat. The choice of the evicted worker depends on it.
		minHeartbeatDelay = 500 * time.Millisecond
	)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := newLimitedListener(ln, limit, time.Now)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if markWorkerConnection(req) {
			w.Header().Set("Connection", "close")
		}
	}))
	srv.Listener.Close()
	srv.Listener = listener
	srv.Config.ConnState, srv.Config.ConnContext = listener.trackState, withClientConnection
	srv.Start()
	defer srv.Close()
	slots := make(chan struct{}, maxInFlight)
	var running sync.WaitGroup
	var clientsOfWorkers []*http.Client
	for range workers {
		client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		clientsOfWorkers = append(clientsOfWorkers, client)
		running.Go(func() {
			for range rounds {
				slots <- struct{}{}
				postHeartbeat(t, client, srv.URL)
				<-slots
				time.Sleep(minHeartbeatDelay)
			}
		})
	}
	running.Wait()
	listener.mu.Lock()
	if n := len(listener.open); n > limit || n < limit*9/10 {
		t.Errorf("%d connections are open, want %d to %d", n, limit*9/10, limit)
	}
	listener.mu.Unlock()
	for _, client := range clientsOfWorkers {
		client.CloseIdleConnections()
	}
}

// postHeartbeat sends a request and reads the whole response, so that the connection can be reused.
func postHeartbeat(t *testing.T, client *http.Client, url string) {
	resp, err := client.Post(url, "application/json", strings.NewReader("{}"))
	if err != nil {
		t.Error(err)
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
}
