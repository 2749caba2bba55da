package integration

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/fleet"
	"juniperchute/internal/standin"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// stateCall reads a request to the state service.
func stateCall(req *http.Request) store.Call {
	raw, _ := io.ReadAll(req.Body)
	q := req.URL.Query()
	number := func(s string) uint64 { n, _ := strconv.ParseUint(s, 10, 64); return n }
	c := store.Call{Op: store.OpTransaction, Prefix: q.Get("Under"), After: q.Get("After"), SinceRevision: number(q.Get("After")), WatchWaitMs: int(number(q.Get("WaitMs")))}
	switch path := req.URL.Path; {
	case path == "/kv":
		c.Op = store.OpList
	case strings.HasPrefix(path, "/kv/"):
		c.Op, c.Key = store.OpGet, strings.TrimPrefix(path, "/kv/")
	case path == "/changes":
		c.Op = store.OpWatch
	case path == "/grants":
		var g struct{ LifeMs int64 }
		_ = json.Unmarshal(raw, &g)
		c.Op, c.LeaseTTL = store.OpGrantLease, time.Duration(g.LifeMs)*time.Millisecond
	case strings.HasPrefix(path, "/grants/"):
		c.Op, c.Lease = store.OpRenewLease, number(strings.TrimSuffix(strings.TrimPrefix(path, "/grants/"), "/touch"))
	default:
		_ = json.Unmarshal(raw, &c.Transaction)
	}
	return c
}

// stateStatuses are the HTTP statuses of the state service's errors.
var stateStatuses = map[error]int{
	store.ErrInvalid:     http.StatusBadRequest,
	store.ErrNotFound:    http.StatusNotFound,
	store.ErrCompacted:   http.StatusGone,
	store.ErrThrottled:   http.StatusTooManyRequests,
	store.ErrUnavailable: http.StatusServiceUnavailable,
}

// stateStatus is the HTTP status of a call's result, and the failed keys of a conflict.
func stateStatus(err error) (status int, failedKeys []string) {
	if err == nil {
		return http.StatusOK, nil
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return http.StatusConflict, conflict.FailedKeys
	}
	return stateStatuses[err], nil
}

func (d *deployment) serveState(w http.ResponseWriter, req *http.Request) {
	c := stateCall(req)
	ch := make(chan store.Result, 1)
	d.gate.pass(onTheWay, c)
	d.locked(func() { d.state.Call(c, func(r store.Result) { ch <- r }) })
	select {
	case r := <-ch:
		d.gate.pass(answered, c)
		status, failedKeys := stateStatus(r.Err)
		if c.Op == store.OpGet && status == http.StatusOK {
			reply(w, status, r.KeyValue)
			return
		}
		reply(w, status, map[string]any{"Items": r.KeyValues, "More": r.More, "Epoch": r.Revision, "failed": failedKeys, "Hold": r.Lease, "Events": r.Events})
	case <-req.Context().Done():
	}
}

func (d *deployment) serveCloud(w http.ResponseWriter, req *http.Request) {
	raw, _ := io.ReadAll(req.Body)
	c := fleet.Call{Op: fleet.OpList, After: req.URL.Query().Get("After")}
	switch {
	case req.URL.Path == "/flavors":
		c.Op = fleet.OpMachineTypes
	case req.URL.Path == "/machines/delete":
		var h wire.MachineNames
		_ = json.Unmarshal(raw, &h)
		c.Op, c.Hosts = fleet.OpDelete, h.Names
	case req.Method == http.MethodPost:
		c.Op = fleet.OpRent
		_ = json.Unmarshal(raw, &c.Rental)
	}
	var r fleet.Result
	d.gate.pass(onTheWay, c)
	d.locked(func() { r = d.cloud.Call(c) })
	d.gate.pass(answered, c)
	switch {
	case r.Status != http.StatusOK:
		reply(w, r.Status, map[string]string{"error": r.Error})
	case c.Op == fleet.OpMachineTypes:
		reply(w, r.Status, wire.MachineTypes{Types: r.MachineTypes})
	case c.Op == fleet.OpList:
		reply(w, r.Status, r.Page)
	default:
		reply(w, r.Status, wire.MachineNames{Names: r.Hosts})
	}
}

// serveWorker answers direct commands to all machines, told apart by their addresses.
func (d *deployment) serveWorker(w http.ResponseWriter, req *http.Request) {
	addr := req.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	var command wire.DirectCommands
	_ = json.NewDecoder(req.Body).Decode(&command)
	status, report := http.StatusServiceUnavailable, (*wire.Heartbeat)(nil)
	d.locked(func() {
		worker := d.byAddress[addr]
		switch {
		case worker == nil || worker.Hung:
		case req.URL.Path == "/show":
			status, report = http.StatusOK, worker.Report()
		default:
			status, report = worker.Command(command)
		}
	})
	reply(w, status, report)
}

// Nodes is part of standin.Network.
func (d *deployment) Nodes() int { return len(d.nodes) }

// NodeIndex is part of standin.Network.
func (d *deployment) NodeIndex(name string) int {
	return slices.IndexFunc(d.nodes, func(n *process) bool { return n.cfg.Member == name })
}

// Send is part of standin.Network: it posts a report. The lock is held, and is taken
// again for the answer.
func (d *deployment) Send(w *standin.Worker, node int, report *wire.Heartbeat, answer standin.AnswerFunc) {
	raw, _ := json.Marshal(report)
	client, url := d.clients[w.Host.ID], "http://"+d.nodes[node].cfg.APIAddr+"/checkin"
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		start := time.Now()
		status, body := post(client, url, raw)
		var commands wire.HeartbeatResponse
		var redirect wire.Redirect
		_ = json.Unmarshal(body, &commands)
		_ = json.Unmarshal(body, &redirect)
		d.locked(func() {
			took := time.Since(start)
			d.reports.sent++
			d.reports.wait += took
			if took > time.Second || status == 0 || status == http.StatusServiceUnavailable {
				d.reports.slow++
			}
			if status != http.StatusOK {
				client.CloseIdleConnections()
			}
			answer(status, commands, redirect.Member)
		})
	}()
}

// post sends a request; status 0 means that no answer came.
func post(client *http.Client, url string, raw []byte) (status int, body []byte) {
	resp, err := client.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}

// get asks a question; status 0 means that no answer came.
func get(client *http.Client, url string) (status int, body []byte) {
	resp, err := client.Get(url)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}
