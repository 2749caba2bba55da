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

// unreachableAddress is the address of an outside service that cannot be reached.
const unreachableAddress = "127.0.0.1:1"

// newUnreachableRuntime is a controller whose outside services cannot be reached, and whose
// events nobody handles yet.
func newUnreachableRuntime(tb testing.TB) *Runtime {
	cfg := testConfig(oneZone, steadyTeams, 1.5, 10)
	cfg.External = config.External{Cloud: unreachableAddress, State: unreachableAddress}
	rng := rand.New(rand.NewPCG(1, 1))
	r := NewRuntime(cfg, Options{Shards: tuning.Shards}, clock.New(nil), discardLogger(), rng)
	r.effects.ctx = tb.Context()
	return r
}

// handleEvents handles what comes to a controller until the test ends.
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

// fillQueues makes a controller whose owner loop is far behind.
func fillQueues(r *Runtime) {
	for range cap(r.requests) {
		r.requests <- func(time.Time) {}
		r.heartbeats <- func(time.Time) {}
	}
}

// serve is a controller's HTTP server.
func serve(t *testing.T, r *Runtime) *httptest.Server {
	srv := httptest.NewServer(r.api.Handler())
	t.Cleanup(srv.Close)
	return srv
}

// testHeartbeat is a worker's first heartbeat.
const testHeartbeat = `{"Host":"i-1","Address":"1.2.3.4:5","Build":"g","Yard":"a","Loaners":false,` +
	`"Stint":1,"Tally":1,"Baton":0,"RecallS":null,"Pieces":[],"New":{}}`

// httpCase is a request and what it must be answered with.
type httpCase struct {
	name       string
	method     string
	path       string
	body       string
	queuesFull bool // the controller's owner loop is far behind
	status     int
	header     string // a header that must have the value
	value      string
}

var httpCases = []httpCase{
	{
		name:   "unknown path",
		method: http.MethodGet,
		path:   "/nothing",
		status: http.StatusNotFound,
	},
	{
		name:   "path below a job",
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
		name:   "get on cancel",
		method: http.MethodGet,
		path:   "/submissions/job-1/cancel",
		status: http.StatusMethodNotAllowed,
		header: "Allow",
		value:  "POST",
	},
	{
		name:   "not JSON",
		method: http.MethodPost,
		path:   "/submissions",
		body:   "hello",
		status: http.StatusBadRequest,
	},
	{
		name:   "not an object",
		method: http.MethodPost,
		path:   "/submissions",
		body:   "[1]",
		status: http.StatusBadRequest,
	},
	{
		name:   "oversized",
		method: http.MethodPost,
		path:   "/submissions",
		body:   `{"Id":"` + strings.Repeat("x", tuning.MaxBodyBytes) + `"}`,
		status: http.StatusBadRequest,
	},
	{
		name:   "an id that cannot be",
		method: http.MethodGet,
		path:   "/submissions/bad%20id",
		status: http.StatusNotFound,
	},
	{
		name:   "cancel of an id that cannot be",
		method: http.MethodPost,
		path:   "/submissions/bad/cancel",
		status: http.StatusNotFound,
	},
	{
		name:   "health before anything is known",
		method: http.MethodGet,
		path:   "/healthz",
		status: http.StatusServiceUnavailable,
		header: "Retry-After",
		value:  "2",
	},
	{
		name:   "a heartbeat while nobody holds the shard's lease",
		method: http.MethodPost,
		path:   "/checkin",
		body:   testHeartbeat,
		status: http.StatusMisdirectedRequest,
	},
	{
		name:   "a truncated heartbeat",
		method: http.MethodPost,
		path:   "/checkin",
		body:   testHeartbeat[:50],
		status: http.StatusBadRequest,
	},
	{
		name:   "a heartbeat of nobody",
		method: http.MethodPost,
		path:   "/checkin",
		body:   "{}",
		status: http.StatusBadRequest,
	},
	{
		name:   "state service out of reach",
		method: http.MethodGet,
		path:   "/submissions/job-1",
		status: http.StatusServiceUnavailable,
		header: "Retry-After",
		value:  "2",
	},
	{
		name:       "a full request queue",
		method:     http.MethodGet,
		path:       "/submissions/job-1",
		queuesFull: true,
		status:     http.StatusServiceUnavailable,
		header:     "Retry-After",
		value:      "1",
	},
	{
		name:       "a full heartbeat queue: not before the worker has waited",
		method:     http.MethodPost,
		path:       "/checkin",
		body:       testHeartbeat,
		queuesFull: true,
		status:     http.StatusServiceUnavailable,
		header:     "Retry-After",
		value:      "2",
	},
}

func TestHTTP(t *testing.T) {
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
		t.Errorf("%d, %s %q; want %d, %q", resp.StatusCode, c.header, value, c.status, c.value)
	}
	var body map[string]any
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		t.Error("the body is not a JSON object")
	}
}
