package controller

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/clock"
	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// unreachableAddress is a loopback address on which nothing listens.
const unreachableAddress = "127.0.0.1:1"

// newUnreachableRuntime returns a runtime without a running event loop whose state service and
// cloud cannot be reached.
func newUnreachableRuntime(tb testing.TB) *Runtime {
	cfg := testConfig(oneZone, steadyTeams, 1.5, 10)
	cfg.External = config.External{Cloud: unreachableAddress, State: unreachableAddress}
	rng := rand.New(rand.NewPCG(1, 1))
	r := NewRuntime(cfg, Options{Shards: tuning.Shards}, clock.New(nil), discardLogger(), rng)
	r.effects.ctx = tb.Context()
	return r
}

// handleEvents runs a minimal event loop until the test ends.
func handleEvents(tb testing.TB, r *Runtime) {
	for {
		select {
		case f := <-r.events:
			f(time.Now())
		case f := <-r.heartbeats:
			f(time.Now())
		case f := <-r.requests:
			f(time.Now())
		case <-tb.Context().Done():
			return
		}
	}
}

// fillQueues fills the request and heartbeat queues, as if the event loop were overloaded.
func fillQueues(r *Runtime) {
	for range cap(r.requests) {
		r.requests <- func(time.Time) {}
		r.heartbeats <- func(time.Time) {}
	}
}

// serve starts an HTTP server with the API of a controller. The server is closed at the end of the test.
func serve(t *testing.T, r *Runtime) *httptest.Server {
	srv := httptest.NewServer(r.api.Handler())
	t.Cleanup(srv.Close)
	return srv
}

// testHeartbeat is the body of a worker's first heartbeat.
const testHeartbeat = `{"Host":"i-1","Address":"1.2.3.4:5","Build":"g","Yard":"a","Loaners":false,` +
	`"Stint":1,"Tally":1,"Baton":0,"RecallS":null,"Pieces":[],"New":{}}`

// httpCase is a request and the expected response.
type httpCase struct {
	name       string
	method     string
	path       string
	body       string
	queuesFull bool // send the request to a controller with full queues
	status     int
	header     string // name of a response header
	value      string // expected value of the header
}

var httpCases = []httpCase{
	{
		name:   "unknown path",
		method: http.MethodGet,
		path:   "/nothing",
		status: http.StatusNotFound,
	},
	{
		name:   "unknown path below a job",
		method: http.MethodGet,
		path:   "/submissions/job-1/x",
		status: http.StatusNotFound,
	},
	{
		name:   "wrong method",
		method: http.MethodPut,
		path:   "/submissions",
		body:   "{}",
		status: http.StatusMethodNotAllowed,
		header: "Allow",
		value:  "POST",
	},
	{
		name:   "wrong method on a job",
		method: http.MethodDelete,
		path:   "/submissions/job-1",
		status: http.StatusMethodNotAllowed,
		header: "Allow",
		value:  "GET",
	},
	{
		name:   "wrong method on a cancellation",
		method: http.MethodGet,
		path:   "/submissions/job-1/cancel",
		status: http.StatusMethodNotAllowed,
		header: "Allow",
		value:  "POST",
	},
	{
		name:   "submission that is not JSON",
		method: http.MethodPost,
		path:   "/submissions",
		body:   "hello",
		status: http.StatusBadRequest,
	},
	{
		name:   "submission that is a JSON array",
		method: http.MethodPost,
		path:   "/submissions",
		body:   "[1]",
		status: http.StatusBadRequest,
	},
	{
		name:   "submission that exceeds the size limit",
		method: http.MethodPost,
		path:   "/submissions",
		body:   `{"Id":"` + strings.Repeat("x", tuning.MaxBodyBytes) + `"}`,
		status: http.StatusBadRequest,
	},
	{
		name:   "query with a malformed job ID",
		method: http.MethodGet,
		path:   "/submissions/bad%20id",
		status: http.StatusNotFound,
	},
	{
		name:   "cancellation with a malformed job ID",
		method: http.MethodPost,
		path:   "/submissions/bad/cancel",
		status: http.StatusNotFound,
	},
	{
		name:   "health check before the first read of the state service",
		method: http.MethodGet,
		path:   "/healthz",
		status: http.StatusServiceUnavailable,
		header: "Retry-After",
		value:  "2",
	},
	{
		name:   "heartbeat for a shard without a lease holder",
		method: http.MethodPost,
		path:   "/checkin",
		body:   testHeartbeat,
		status: http.StatusMisdirectedRequest,
	},
	{
		name:   "truncated heartbeat",
		method: http.MethodPost,
		path:   "/checkin",
		body:   testHeartbeat[:50],
		status: http.StatusBadRequest,
	},
	{
		name:   "heartbeat without a host",
		method: http.MethodPost,
		path:   "/checkin",
		body:   "{}",
		status: http.StatusBadRequest,
	},
	{
		name:   "query while the state service is unreachable",
		method: http.MethodGet,
		path:   "/submissions/job-1",
		status: http.StatusServiceUnavailable,
		header: "Retry-After",
		value:  "2",
	},
	{
		name:       "query with a full request queue",
		method:     http.MethodGet,
		path:       "/submissions/job-1",
		queuesFull: true,
		status:     http.StatusServiceUnavailable,
		header:     "Retry-After",
		value:      "1",
	},
	{
		name:       "heartbeat with a full heartbeat queue: rejected after the queue timeout",
		method:     http.MethodPost,
		path:       "/checkin",
		body:       testHeartbeat,
		queuesFull: true,
		status:     http.StatusServiceUnavailable,
		header:     "Retry-After",
		value:      "2",
	},
}

// Guards against changed statuses or headers of the HTTP API, on which workers and users rely.
func TestHTTPResponses(t *testing.T) {
	ready := newUnreachableRuntime(t)
	go handleEvents(t, ready)
	readyServer := serve(t, ready)
	full := newUnreachableRuntime(t)
	fillQueues(full)
	fullServer := serve(t, full)
	for _, c := range httpCases {
		t.Run(c.name, func(t *testing.T) {
			if c.queuesFull {
				c.run(t, fullServer)
			} else {
				c.run(t, readyServer)
			}
		})
	}
}

func (c httpCase) run(t *testing.T, srv *httptest.Server) {
	req, err := http.NewRequest(c.method, srv.URL+c.path, strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	value := resp.Header.Get(c.header)
	if resp.StatusCode != c.status || value != c.value {
		t.Errorf("got status %d, %s %q; want status %d, %q", resp.StatusCode, c.header, value, c.status, c.value)
	}
	var body map[string]any
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		t.Error("response body is not a JSON object")
	}
}
