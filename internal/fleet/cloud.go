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

// Op is a kind of call to the cloud.
type Op int

// The calls of the cloud.
const (
	OpMachineTypes Op = iota
	OpRent
	OpDelete
	OpList
)

// Call is one request to the cloud.
type Call struct {
	Op     Op
	Rental wire.ProvisionRequest
	Hosts  []string // OpDelete
	After  string   // OpList
	// By is until when the call may be made; zero: any time. A process that stood
	// still must not return machines on what it believed before.
	By time.Time
}

// Result is what came of a call.
type Result struct {
	Status       int // the HTTP status; 0 when no response came
	Error        string
	MachineTypes []wire.MachineType
	Hosts        []string
	Page         wire.MachinePage
}

// outcome is what came of a call that changes something.
func (r Result) outcome() intentlog.Outcome {
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

// Caller carries out a call elsewhere and brings the result back to the
// goroutine that owns all state.
type Caller func(Call, func(now time.Time, r Result))

// Client speaks to the cloud over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient makes a client of the cloud at addr.
func NewClient(addr string, rt http.RoundTripper) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: rt}}
}

// Do carries out a call. It blocks until the answer or the call's time limit.
func (c *Client) Do(ctx context.Context, call Call) Result {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	method, path, body := call.request()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return Result{}
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Result{}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, tuning.CloudAnswerBytes))
	if err != nil {
		return Result{}
	}
	return call.result(resp.StatusCode, raw)
}

// request is the call's HTTP request; a nil body means none.
func (c Call) request() (method, path string, body []byte) {
	switch c.Op {
	case OpRent:
		body, _ = json.Marshal(c.Rental)
		return http.MethodPost, "/machines", body
	case OpDelete:
		body, _ = json.Marshal(wire.MachineNames{Names: c.Hosts})
		return http.MethodPost, "/machines/delete", body
	case OpList:
		path = "/machines?Page=" + strconv.Itoa(tuning.CloudPage)
		if c.After != "" {
			path += "&After=" + url.QueryEscape(c.After)
		}
		return http.MethodGet, path, nil
	}
	return http.MethodGet, "/flavors", nil
}

// result reads the answer to the call. One that cannot be read is as good as none.
func (c Call) result(status int, raw []byte) Result {
	res := Result{Status: status}
	if status != http.StatusOK {
		var e struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(raw, &e) == nil {
			res.Error = e.Error
		}
		return res
	}
	var err error
	switch c.Op {
	case OpMachineTypes:
		var f wire.MachineTypes
		err = json.Unmarshal(raw, &f)
		res.MachineTypes = f.Types
	case OpRent:
		var h wire.MachineNames
		err = json.Unmarshal(raw, &h)
		res.Hosts = h.Names
	case OpList:
		err = json.Unmarshal(raw, &res.Page)
	}
	if err != nil {
		return Result{}
	}
	return res
}
