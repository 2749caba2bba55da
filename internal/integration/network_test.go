package integration

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

// slowReply is from when on a reply to a heartbeat counts as slow.
const slowReply = time.Second

// Nodes is part of fakes.Network.
func (d *deployment) Nodes() int { return len(d.controllers) }

// NodeIndex is part of fakes.Network.
func (d *deployment) NodeIndex(name string) int {
	return slices.IndexFunc(d.controllers, func(p *controllerProcess) bool { return p.config.Member == name })
}

// Send is part of fakes.Network: it posts a heartbeat. The lock is held, and is taken
// again for the reply.
func (d *deployment) Send(sender *fakes.Worker, node int, heartbeat *wire.Heartbeat, reply fakes.ReplyFunc) {
	raw, _ := json.Marshal(heartbeat)
	client, url := d.clients[sender.Host.ID], "http://"+d.controllers[node].config.APIAddr+"/checkin"
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		start := time.Now()
		status, body := httpPost(client, url, raw)
		var commands wire.HeartbeatResponse
		var redirect wire.Redirect
		_ = json.Unmarshal(body, &commands)
		_ = json.Unmarshal(body, &redirect)
		d.withLock(func() {
			elapsed := time.Since(start)
			d.heartbeats.sent++
			d.heartbeats.totalWait += elapsed
			if elapsed > slowReply || status == 0 || status == http.StatusServiceUnavailable {
				d.heartbeats.slow++
			}
			if status != http.StatusOK {
				client.CloseIdleConnections()
			}
			reply(status, commands, redirect.Member)
		})
	}()
}

// httpPost sends a request with a JSON body; status 0 means that no answer came.
func httpPost(client *http.Client, url string, raw []byte) (status int, body []byte) {
	return readReply(client.Post(url, "application/json", bytes.NewReader(raw)))
}

// httpGet sends a query; status 0 means that no answer came.
func httpGet(client *http.Client, url string) (status int, body []byte) {
	return readReply(client.Get(url))
}

// readReply reads a reply to its end; status 0 means that none came whole.
func readReply(response *http.Response, err error) (status int, body []byte) {
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}
