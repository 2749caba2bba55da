package stand2

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/fakes"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

func writeReply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func parseNumber(s string) uint64 { n, _ := strconv.ParseUint(s, 10, 64); return n }

// parseStateCall decodes a request to the state service.
func parseStateCall(request *http.Request) store.Call {
	raw, _ := io.ReadAll(request.Body)
	query := request.URL.Query()
	call := store.Call{
		Op: store.OpTransaction, Prefix: query.Get("Under"), After: query.Get("After"),
		SinceRevision: parseNumber(query.Get("After")), WatchWaitMs: int(parseNumber(query.Get("WaitMs"))),
	}
	switch path := request.URL.Path; {
	case path == "/kv":
		call.Op = store.OpList
	case strings.HasPrefix(path, "/kv/"):
		call.Op, call.Key = store.OpGet, strings.TrimPrefix(path, "/kv/")
	case path == "/changes":
		call.Op = store.OpWatch
	case path == "/grants":
		var grant struct{ LifeMs int64 }
		_ = json.Unmarshal(raw, &grant)
		call.Op, call.LeaseTTL = store.OpGrantLease, time.Duration(grant.LifeMs)*time.Millisecond
	case strings.HasPrefix(path, "/grants/"):
		id := strings.TrimSuffix(strings.TrimPrefix(path, "/grants/"), "/touch")
		call.Op, call.Lease = store.OpRenewLease, parseNumber(id)
	default:
		_ = json.Unmarshal(raw, &call.Transaction)
	}
	return call
}

var stateStatuses = map[error]int{
	store.ErrInvalid:     http.StatusBadRequest,
	store.ErrNotFound:    http.StatusNotFound,
	store.ErrCompacted:   http.StatusGone,
	store.ErrThrottled:   http.StatusTooManyRequests,
	store.ErrUnavailable: http.StatusServiceUnavailable,
}

// stateHandler is the state service as one controller sees it. A request that comes while the controller
// is cut off is held back and carried out once the cut is over.
func (d *Deployment) stateHandler(c *Controller) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		call := parseStateCall(request)
		c.Cut.Pass()
		results := make(chan store.Result, 1)
		d.With(func() { d.Store.Call(call, func(result store.Result) { results <- result }) })
		var result store.Result
		select {
		case result = <-results:
		case <-request.Context().Done():
			return
		case <-d.done:
			return
		}
		c.Cut.Pass()
		if call.Op == store.OpTransaction && len(call.Transaction.Writes) > 0 {
			raw, _ := json.Marshal(call.Transaction)
			d.Logf("%s -> state: %s: %v", c.Name, raw, result.Err)
		}
		writeStateResult(w, call, result)
	})
}

func writeStateResult(w http.ResponseWriter, call store.Call, result store.Result) {
	status, failed := http.StatusOK, []string(nil)
	var conflict *store.ConflictError
	switch {
	case errors.As(result.Err, &conflict):
		status, failed = http.StatusConflict, conflict.FailedKeys
	case result.Err != nil:
		status = stateStatuses[result.Err]
	}
	if call.Op == store.OpGet && status == http.StatusOK {
		writeReply(w, status, result.KeyValue)
		return
	}
	writeReply(w, status, map[string]any{
		"Items": result.KeyValues, "More": result.More, "Epoch": result.Revision, "failed": failed,
		"Hold": result.Lease, "Events": result.Events,
	})
}

// cloudLatency is the latency of the cloud in the site files.
const cloudLatency = 200 * time.Millisecond

func parseCloudCall(request *http.Request) cloud.Call {
	raw, _ := io.ReadAll(request.Body)
	call := cloud.Call{Operation: cloud.ListMachines, After: request.URL.Query().Get("After")}
	switch {
	case request.URL.Path == "/flavors":
		call.Operation = cloud.ListMachineTypes
	case request.URL.Path == "/machines/delete":
		var names wire.MachineNames
		_ = json.Unmarshal(raw, &names)
		call.Operation, call.Hosts = cloud.DeleteMachines, names.Names
	case request.Method == http.MethodPost:
		call.Operation = cloud.CreateMachines
		_ = json.Unmarshal(raw, &call.Request)
	}
	return call
}

// cloudHandler is the cloud as one controller sees it. A request that comes while the controller is cut
// off is held back and carried out once the cut is over.
func (d *Deployment) cloudHandler(c *Controller) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		call := parseCloudCall(request)
		if call.Operation == cloud.DeleteMachines {
			d.Logf("%s -> cloud: delete %v", c.Name, call.Hosts)
			if d.OnDelete != nil {
				d.OnDelete(c, call.Hosts)
			}
		}
		time.Sleep(cloudLatency)
		c.Cut.Pass()
		var result cloud.Result
		d.With(func() {
			d.deleting = c.Name
			result = d.Cloud.Call(call)
			d.deleting = ""
		})
		response, err := result.Response()
		if call.Operation == cloud.CreateMachines || call.Operation == cloud.DeleteMachines {
			d.Logf("cloud: carried out for %s: %v %+v %v: %v %v", c.Name, call.Operation, call.Request, call.Hosts,
				response.Hosts, err)
		}
		c.Cut.Pass()
		switch {
		case errors.Is(err, cloud.ErrNoCapacity):
			writeReply(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		case err != nil:
			writeReply(w, http.StatusServiceUnavailable, map[string]string{"error": "trouble"})
		case call.Operation == cloud.ListMachineTypes:
			writeReply(w, http.StatusOK, wire.MachineTypes{Types: response.MachineTypes})
		case call.Operation == cloud.ListMachines:
			writeReply(w, http.StatusOK, response.Page)
		default:
			writeReply(w, http.StatusOK, wire.MachineNames{Names: response.Hosts})
		}
	})
}

// whileHung blocks while the worker at an address hangs: it handles what it was sent when it goes on, also
// for a caller that has given up.
func (d *Deployment) whileHung(address string) {
	for hung := true; hung; time.Sleep(clockInterval) {
		d.With(func() {
			worker := d.byAddress[address]
			hung = worker != nil && worker.Hung
		})
	}
}

// serveWorker serves the direct commands to all workers; the local address tells which one.
func (d *Deployment) serveWorker(w http.ResponseWriter, request *http.Request) {
	address := request.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	raw, _ := io.ReadAll(request.Body)
	var commands wire.DirectCommands
	_ = json.Unmarshal(raw, &commands)
	var worker *fakes.Worker
	var heartbeat *wire.Heartbeat
	status := 0
	d.whileHung(address)
	d.With(func() {
		worker = d.byAddress[address]
		switch {
		case worker == nil || worker.Hung:
		case request.URL.Path == "/show":
			status, heartbeat = http.StatusOK, worker.Heartbeat()
		default:
			status, heartbeat = worker.HandleCommand(commands)
		}
	})
	if status == 0 { // nobody is there, or it hangs: no answer
		select {
		case <-request.Context().Done():
		case <-d.done:
		}
		return
	}
	if len(commands.Commands) > 0 {
		d.Logf("%s <- direct: %s: %d", worker.Host.ID, raw, status)
	}
	writeReply(w, status, heartbeat)
}
