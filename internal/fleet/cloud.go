// Package fleet rents and returns a block's machines.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// CloudOperation is a kind of call to the cloud.
type CloudOperation int

// The calls of the cloud.
const (
	ListMachineTypes CloudOperation = iota
	CreateMachines
	DeleteMachines
	ListMachines
)

// CloudCall is one request to the cloud.
type CloudCall struct {
	Operation CloudOperation
	Request   wire.ProvisionRequest
	Hosts     []string // OpDelete
	After     string   // OpList
	// Deadline is until when the call may be made; zero: any time. A process that stood
	// still must not return machines on what it believed before.
	Deadline time.Time
}

// CloudResult is what came of a call.
type CloudResult struct {
	Status       int // the HTTP status; 0 when no response came
	Error        string
	MachineTypes []wire.MachineType
	Hosts        []string
	Page         wire.MachinePage
}

// outcome is what came of a call that changes something.
func (r CloudResult) outcome() intentlog.Outcome {
	switch r.Status {
	case http.StatusOK:
		return intentlog.Done
	case 0:
		return intentlog.Unknown
	}
	return intentlog.NotExecuted
}

// NoCapacity is the cloud's word for a refusal that says: none available.
const NoCapacity = "no capacity"

// CloudCaller carries out a call elsewhere and brings the result back to the
// goroutine that owns all state.
type CloudCaller func(CloudCall, func(now time.Time, result CloudResult))

// CloudClient speaks to the cloud over HTTP.
type CloudClient struct {
	baseURL string
	http    *http.Client
}

// NewCloudClient makes a client of the cloud at addr.
func NewCloudClient(addr string, transport http.RoundTripper) *CloudClient {
	return &CloudClient{baseURL: "http://" + addr, http: &http.Client{Transport: transport}}
}

// Do carries out a call. It blocks until the answer or the call's time limit.
func (c *CloudClient) Do(ctx context.Context, call CloudCall) CloudResult {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	method, path, body := call.request()
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return CloudResult{}
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return CloudResult{}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, tuning.MaxCloudResponseBytes))
	if err != nil {
		return CloudResult{}
	}
	return call.result(response.StatusCode, raw)
}

// request is the call's HTTP request; a nil body means none.
func (c CloudCall) request() (method, path string, body []byte) {
	switch c.Operation {
	case CreateMachines:
		body, _ = json.Marshal(c.Request)
		return http.MethodPost, "/machines", body
	case DeleteMachines:
		body, _ = json.Marshal(wire.MachineNames{Names: c.Hosts})
		return http.MethodPost, "/machines/delete", body
	case ListMachines:
		path = "/machines?Page=" + strconv.Itoa(tuning.CloudPageSize)
		if c.After != "" {
			path += "&After=" + url.QueryEscape(c.After)
		}
		return http.MethodGet, path, nil
	}
	return http.MethodGet, "/flavors", nil
}

// result reads the answer to the call. One that cannot be read is as good as none.
func (c CloudCall) result(status int, raw []byte) CloudResult {
	result := CloudResult{Status: status}
	if status != http.StatusOK {
		var failure struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(raw, &failure) == nil {
			result.Error = failure.Error
		}
		return result
	}
	var err error
	switch c.Operation {
	case ListMachineTypes:
		var types wire.MachineTypes
		err = json.Unmarshal(raw, &types)
		result.MachineTypes = types.Types
	case CreateMachines:
		var names wire.MachineNames
		err = json.Unmarshal(raw, &names)
		result.Hosts = names.Names
	case ListMachines:
		err = json.Unmarshal(raw, &result.Page)
	}
	if err != nil {
		return CloudResult{}
	}
	return result
}
