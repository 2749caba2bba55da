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

// relay starts a TCP relay to an address, through gates, and returns its address.
func (d *Deployment) relay(to string, gates ...*Gate) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		<-d.done
		listener.Close()
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.relayConn(conn, to, gates)
		}
	}()
	return listener.Addr().String(), nil
}

func (d *Deployment) relayConn(from net.Conn, address string, gates []*Gate) {
	defer from.Close()
	pass := func() {
		for _, gate := range gates {
			gate.Pass()
		}
	}
	pass()
	to, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer to.Close()
	ended := make(chan struct{}, 2)
	copyAll := func(dst, src net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			pass()
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
	go copyAll(to, from)
	go copyAll(from, to)
	select {
	case <-ended:
	case <-d.done:
	}
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
