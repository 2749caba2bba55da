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

// queuedListener is a listener with a number of connections waiting.
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

// fakeConnection is a connection that only knows whether it was closed.
type fakeConnection struct {
	net.Conn
	closed bool
}

func (c *fakeConnection) Close() error {
	c.closed = true
	return nil
}

// markAsWorker tells the server that a worker's heartbeat came over a connection, and
// returns whether the connection is to be closed with the answer.
func markAsWorker(t *testing.T, connection net.Conn) bool {
	t.Helper()
	ctx := withClientConnection(t.Context(), connection)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "/checkin", nil)
	if err != nil {
		t.Fatal(err)
	}
	return markWorkerConnection(req)
}

// clientKind is the other end of a connection and what it does.
type clientKind string

const (
	idleUser   clientKind = "idle user"
	busyUser   clientKind = "busy user"
	idleWorker clientKind = "worker"
	busyWorker clientKind = "busy worker"
)

// none is the index of no connection.
const none = -1

// admissionCase is what happens to the open connections when one more comes.
type admissionCase struct {
	name     string
	open     []clientKind // oldest first
	accepted bool
	closed   int // which of the open ones makes room, or none
}

var admissionCases = []admissionCase{
	{
		name:     "there is room",
		open:     []clientKind{idleWorker, idleUser},
		accepted: true,
		closed:   none,
	},
	{
		name:     "the user idle longest makes room",
		open:     []clientKind{idleWorker, idleUser, idleUser},
		accepted: true,
		closed:   1,
	},
	{
		name:     "not one whose request is in hand",
		open:     []clientKind{busyUser, idleWorker, idleUser},
		accepted: true,
		closed:   2,
	},
	{
		name:     "the worker answered last does if there is no user",
		open:     []clientKind{idleWorker, idleWorker, idleWorker},
		accepted: true,
		closed:   2,
	},
	{
		name:     "not one whose heartbeat is in hand",
		open:     []clientKind{idleWorker, busyWorker, busyWorker},
		accepted: true,
		closed:   0,
	},
	{
		name:     "no worker while a user is idle",
		open:     []clientKind{idleUser, idleWorker, idleWorker},
		accepted: true,
		closed:   0,
	},
	{
		name:     "nobody can",
		open:     []clientKind{busyWorker, busyUser, busyUser},
		accepted: false,
		closed:   none,
	},
}

// Users took the place of workers, whose tasks were killed when their leases ran out.
func TestClientListener(t *testing.T) {
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
	for _, who := range c.open {
		accepted := &fakeConnection{}
		open = append(open, accepted)
		queue.connections = []net.Conn{accepted}
		connection, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		now = now.Add(time.Second)
		listener.trackState(connection, http.StateActive)
		if who == idleWorker || who == busyWorker {
			markAsWorker(t, connection)
		}
		if who == idleUser || who == idleWorker {
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
		if connection.closed != (i == c.closed) {
			t.Errorf("connection %d (%s): closed %v", i, c.open[i], connection.closed)
		}
	}
	if len(listener.open) > limit {
		t.Errorf("%d are open", len(listener.open))
	}
}

// A worker's connection is kept until nearly as many are open as there may be, and closed
// with the answer from then on.
func TestWorkerConnectionsNearLimit(t *testing.T) {
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
			t.Errorf("with %d of %d open: closed %v", n, limit, closes)
		}
	}
}

// Workers whose controller has fewer sockets than there are machines share them in time:
// every heartbeat is answered, and as many connections as there may be are kept open.
func TestSharedConnections(t *testing.T) {
	const (
		limit   = 50
		workers = 120
		rounds  = 10
		atOnce  = 8 // requests in hand
		// leastPause is the protocol's least time between an answer and the worker's next
		// heartbeat. The listener counts on it when it evicts the worker answered last.
		leastPause = 500 * time.Millisecond
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
	slots := make(chan struct{}, atOnce)
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
				time.Sleep(leastPause)
			}
		})
	}
	running.Wait()
	listener.lock.Lock()
	if n := len(listener.open); n > limit || n < limit*9/10 {
		t.Errorf("%d connections are open, the limit is %d", n, limit)
	}
	listener.lock.Unlock()
	for _, client := range clientsOfWorkers {
		client.CloseIdleConnections()
	}
}

// postHeartbeat sends a request and reads its answer, so that the connection can be kept.
func postHeartbeat(t *testing.T, client *http.Client, url string) {
	resp, err := client.Post(url, "application/json", strings.NewReader("{}"))
	if err != nil {
		t.Error(err)
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
}
