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

// slowReplyThreshold is the time after which the reply to a heartbeat counts as slow.
const slowReplyThreshold = time.Second

// Nodes implements fakes.Network.
func (d *deployment) Nodes() int { return len(d.controllers) }

// NodeIndex implements fakes.Network.
func (d *deployment) NodeIndex(name string) int {
	return slices.IndexFunc(d.controllers, func(p *controllerProcess) bool { return p.config.Member == name })
}

// Send implements fakes.Network: it posts a heartbeat in a goroutine. The lock must be held. The
// goroutine acquires the lock to handle the reply.
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
			if elapsed > slowReplyThreshold || status == 0 || status == http.StatusServiceUnavailable {
				d.heartbeats.slow++
			}
			if status != http.StatusOK {
				client.CloseIdleConnections()
			}
			reply(status, commands, redirect.Member)
		})
	}()
}

// httpPost sends a POST request with a JSON body. Status 0 means that there was no complete reply.
func httpPost(client *http.Client, url string, raw []byte) (status int, body []byte) {
	return readReply(client.Post(url, "application/json", bytes.NewReader(raw)))
}

// httpGet sends a GET request. Status 0 means that there was no complete reply.
func httpGet(client *http.Client, url string) (status int, body []byte) {
	return readReply(client.Get(url))
}

// readReply reads a reply and its whole body. Status 0 means that there was no complete reply.
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
