package stand2

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"

	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

// maxBody is the protocol's limit on a request body.
const maxBody = 64 << 10

// Gate holds back what passes while it is closed.
type Gate struct {
	mu     sync.Mutex
	closed chan struct{} // nil while open; closed when the gate opens again
}

func newGate() *Gate { return &Gate{} }

// Close holds back from now on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

// Open lets through what was held back.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// Closed reports whether the gate holds back.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed != nil
}

// Pass blocks while the gate is closed.
func (g *Gate) Pass() {
	for {
		g.mu.Lock()
		closed := g.closed
		g.mu.Unlock()
		if closed == nil {
			return
		}
		<-closed
	}
}

// relay is a TCP relay from one controller to a peer.
type relay struct {
	d        *Deployment
	to       string
	gates    []*Gate
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool // both ends of all connections
}

// relay starts a TCP relay to an address, through gates, and returns its address.
func (d *Deployment) relay(to string, gates ...*Gate) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r := &relay{d: d, to: to, gates: gates, listener: listener, conns: map[net.Conn]bool{}}
	d.relays = append(d.relays, r)
	go r.accept(listener)
	return listener.Addr().String(), nil
}

// RefusePeers makes all connections between controllers end and be refused, or lets them through again.
func (d *Deployment) RefusePeers(refuse bool) error {
	d.Logf("connections between controllers are refused: %v", refuse)
	for _, r := range d.relays {
		if refuse {
			r.close()
			continue
		}
		listener, err := net.Listen("tcp", r.listener.Addr().String())
		if err != nil {
			return err
		}
		r.listener = listener
		go r.accept(listener)
	}
	return nil
}

// close ends the listener and all connections.
func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		conn.Close()
	}
}

func (r *relay) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *relay) track(conn net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.conns[conn] = true
	} else {
		delete(r.conns, conn)
		conn.Close()
	}
}

func (r *relay) pass() {
	for _, gate := range r.gates {
		gate.Pass()
	}
}

func (r *relay) serve(from net.Conn) {
	r.track(from, true)
	defer r.track(from, false)
	r.pass()
	to, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	r.track(to, true)
	defer r.track(to, false)
	ended := make(chan struct{}, 2)
	go r.copyAll(to, from, ended)
	go r.copyAll(from, to, ended)
	select {
	case <-ended:
	case <-r.d.done:
	}
}

func (r *relay) copyAll(dst, src net.Conn, ended chan<- struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		r.pass()
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	ended <- struct{}{}
}

// Nodes implements fakes.Network.
func (d *Deployment) Nodes() int { return len(d.Controllers) }

// NodeIndex implements fakes.Network.
func (d *Deployment) NodeIndex(name string) int {
	return slices.IndexFunc(d.Controllers, func(c *Controller) bool { return c.Name == name })
}

// Send implements fakes.Network: it posts a worker's report. A report to a controller that is cut off gets
// no answer. A worker sends no body that is larger than the protocol allows.
func (d *Deployment) Send(w *fakes.Worker, node int, heartbeat *wire.Heartbeat, reply fakes.ReplyFunc) {
	raw, _ := json.Marshal(heartbeat)
	c, client, host := d.Controllers[node], d.clients[w.Host.ID], w.Host.ID
	if len(raw) > maxBody {
		d.Logf("%s: report of %d bytes with %d tasks is over the protocol's limit of %d; not sent", host, len(raw),
			len(heartbeat.Tasks), maxBody)
		return // the worker gives up after its timeout and goes on with the next node
	}
	if c.Cut.Closed() {
		return
	}
	go func() {
		status, body := post(client, "http://"+c.Config.APIAddr+"/checkin", raw)
		if c.Cut.Closed() {
			return
		}
		var response wire.HeartbeatResponse
		var redirect wire.Redirect
		_ = json.Unmarshal(body, &response)
		_ = json.Unmarshal(body, &redirect)
		if status != http.StatusOK || len(response.Commands) > 0 {
			d.Logf("%s -> %s: report of %d tasks under token %d: %d %.300s", host, c.Name, len(heartbeat.Tasks),
				heartbeat.Token, status, body)
		}
		d.With(func() {
			if status != http.StatusOK {
				client.CloseIdleConnections()
			}
			reply(status, response, redirect.Member)
		})
	}()
}

func post(client *http.Client, url string, raw []byte) (status int, body []byte) {
	return readReply(client.Post(url, "application/json", bytes.NewReader(raw)))
}

func get(client *http.Client, url string) (status int, body []byte) {
	return readReply(client.Get(url))
}

// readReply returns status 0 if there was no complete reply.
func readReply(response *http.Response, err error) (status int, body []byte) {
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if body, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}
