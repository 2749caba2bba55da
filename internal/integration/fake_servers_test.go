package integration

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
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// writeReply sends a reply with a status and a JSON body.
func writeReply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// parseStoreCall decodes an HTTP request to the state service.
func parseStoreCall(request *http.Request) store.Call {
	raw, _ := io.ReadAll(request.Body)
	query := request.URL.Query()
	number := func(s string) uint64 { n, _ := strconv.ParseUint(s, 10, 64); return n }
	call := store.Call{
		Op:            store.OpTransaction,
		Prefix:        query.Get("Under"),
		After:         query.Get("After"),
		SinceRevision: number(query.Get("After")),
		WatchWaitMs:   int(number(query.Get("WaitMs"))),
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
		call.Op, call.Lease = store.OpRenewLease, number(id)
	default:
		_ = json.Unmarshal(raw, &call.Transaction)
	}
	return call
}

// stateStatuses maps errors of the state service to HTTP statuses.
var stateStatuses = map[error]int{
	store.ErrInvalid:     http.StatusBadRequest,
	store.ErrNotFound:    http.StatusNotFound,
	store.ErrCompacted:   http.StatusGone,
	store.ErrThrottled:   http.StatusTooManyRequests,
	store.ErrUnavailable: http.StatusServiceUnavailable,
}

// stateStatus returns the HTTP status of a call's error, and the failed keys of a conflict.
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

// serveStore handles HTTP requests to the state service.
func (d *deployment) serveStore(w http.ResponseWriter, request *http.Request) {
	call := parseStoreCall(request)
	results := make(chan store.Result, 1)
	d.gate.pass(beforeCall, call)
	d.withLock(func() { d.store.Call(call, func(result store.Result) { results <- result }) })
	select {
	case result := <-results:
		d.gate.pass(afterCall, call)
		writeStoreResult(w, call, result)
	case <-request.Context().Done():
	}
}

// writeStoreResult encodes the state service's reply to a call.
func writeStoreResult(w http.ResponseWriter, call store.Call, result store.Result) {
	status, failedKeys := stateStatus(result.Err)
	if call.Op == store.OpGet && status == http.StatusOK {
		writeReply(w, status, result.KeyValue)
		return
	}
	writeReply(w, status, map[string]any{
		"Items":  result.KeyValues,
		"More":   result.More,
		"Epoch":  result.Revision,
		"failed": failedKeys,
		"Hold":   result.Lease,
		"Events": result.Events,
	})
}

// parseCloudCall decodes an HTTP request to the cloud.
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

// countCloudCall counts a call for each machine or request that it names; the lock must be held.
func (d *deployment) countCloudCall(call cloud.Call) {
	for _, host := range call.Hosts {
		d.cloudCalls[host]++
	}
	if call.Operation == cloud.CreateMachines {
		d.cloudCalls[call.Request.Name]++
	}
}

// serveCloud handles HTTP requests to the cloud.
func (d *deployment) serveCloud(w http.ResponseWriter, request *http.Request) {
	call := parseCloudCall(request)
	var result cloud.Result
	d.withLock(func() { d.countCloudCall(call) })
	d.gate.pass(beforeCall, call)
	d.withLock(func() { result = d.cloud.Call(call) })
	d.gate.pass(afterCall, call)
	response, err := result.Response()
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
}

// serveWorker handles HTTP requests to all workers and selects the worker by the local address.
func (d *deployment) serveWorker(w http.ResponseWriter, request *http.Request) {
	address := request.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	var commands wire.DirectCommands
	_ = json.NewDecoder(request.Body).Decode(&commands)
	status, heartbeat := http.StatusServiceUnavailable, (*wire.Heartbeat)(nil)
	d.withLock(func() {
		worker := d.byAddress[address]
		switch {
		case worker == nil || worker.Hung:
		case request.URL.Path == "/show":
			status, heartbeat = http.StatusOK, worker.Heartbeat()
		default:
			status, heartbeat = worker.HandleCommand(commands)
		}
	})
	writeReply(w, status, heartbeat)
}
