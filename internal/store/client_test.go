package store

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

type clientCase struct {
	name        string
	call        Call
	status      int
	response    string
	wantRequest string // method, URI and body, separated by spaces
	check       func(r Result) bool
}

var clientCases = []clientCase{
	{
		name:        "get returns the value and version",
		call:        Call{Op: OpGet, Key: "j/job-1"},
		status:      200,
		response:    `{"Path":"j/job-1","Value":{"x":1},"Stamp":412,"Hold":7}`,
		wantRequest: "GET /kv/j/job-1 ",
		check: func(r Result) bool {
			return r.OK() && r.KeyValue.Version == 412 && string(r.KeyValue.Value) == `{"x":1}`
		},
	},
	{
		name:        "get of a missing key returns ErrNotFound",
		call:        Call{Op: OpGet, Key: "a"},
		status:      404,
		response:    `{"Epoch":431}`,
		wantRequest: "GET /kv/a ",
		check:       func(r Result) bool { return errors.Is(r.Err, ErrNotFound) },
	},
	{
		name:        "list returns a page and the revision",
		call:        Call{Op: OpList, Prefix: "q/0/", After: "q/0/x", PageSize: 10},
		status:      200,
		response:    `{"Items":[{"Path":"q/0/y","Value":1,"Stamp":2}],"More":true,"Epoch":9}`,
		wantRequest: "GET /kv?Under=q%2F0%2F&After=q%2F0%2Fx&Page=10 ",
		check:       func(r Result) bool { return len(r.KeyValues) == 1 && r.More && r.Revision == 9 },
	},
	{
		name: "transaction reports the failed compares",
		call: Call{Op: OpTransaction, Transaction: wire.Transaction{
			Compares: []wire.Compare{VersionEquals("a", 0)},
			Writes:   []wire.Write{Put("a", 1, 7), Delete("b")},
		}},
		status:   409,
		response: `{"failed":["a"],"Epoch":4}`,
		wantRequest: `POST /multi {"When":[{"Path":"a","Stamp":0}],` +
			`"Writes":[{"Write":"a","Value":1,"Hold":7},{"Remove":"b"}]}`,
		check: func(r Result) bool { return errors.Is(r.Err, ErrConflict) && r.ConflictsOn("a") },
	},
	{
		name:        "grant returns the lease",
		call:        Call{Op: OpGrantLease, LeaseTTL: 3500 * time.Millisecond},
		status:      200,
		response:    `{"Hold":7}`,
		wantRequest: `POST /grants {"LifeMs":3500}`,
		check:       func(r Result) bool { return r.Lease == 7 },
	},
	{
		name:        "renewal of an expired lease returns ErrNotFound",
		call:        Call{Op: OpRenewLease, Lease: 7},
		status:      404,
		wantRequest: `POST /grants/7/touch {}`,
		check:       func(r Result) bool { return errors.Is(r.Err, ErrNotFound) },
	},
	{
		name:        "watch returns the events",
		call:        Call{Op: OpWatch, Prefix: "c/", SinceRevision: 5, WatchWaitMs: 10},
		status:      200,
		response:    `{"Epoch":6,"Events":[{"Remove":"c/d","Stamp":6}]}`,
		wantRequest: "GET /changes?Under=c%2F&After=5&WaitMs=10 ",
		check:       func(r Result) bool { return r.Events[0].DeleteKey == "c/d" },
	},
	{
		name:        "truncated body with status 200 returns ErrNoResponse",
		call:        Call{Op: OpGet, Key: "a"},
		status:      200,
		response:    `{"Path"`,
		wantRequest: "GET /kv/a ",
		check:       func(r Result) bool { return errors.Is(r.Err, ErrNoResponse) },
	},
	{
		name:        "malformed body with an error status returns the status's error",
		call:        Call{Op: OpGet, Key: "a"},
		status:      503,
		response:    `oops`,
		wantRequest: "GET /kv/a ",
		check:       func(r Result) bool { return errors.Is(r.Err, ErrUnavailable) },
	},
}

func TestClient(t *testing.T) {
	for _, c := range clientCases {
		t.Run(c.name, func(t *testing.T) {
			request := ""
			client := testClient(t, func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				request = r.Method + " " + r.URL.RequestURI() + " " + string(body)
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.response)
			})
			result := client.Execute(t.Context(), c.call)
			if request != c.wantRequest {
				t.Errorf("sent %q, want %q", request, c.wantRequest)
			}
			if !c.check(result) {
				t.Errorf("result %+v", result)
			}
		})
	}
}

// testClient returns a client for a test server that is closed at the end of the test.
func testClient(t *testing.T, serve http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	return NewClient(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport, time.Now)
}

// Repeating a watch whose response exceeds the size limit would fail forever. The cache must
// list the keys instead.
func TestOversizedWatchResponseForcesList(t *testing.T) {
	long := `{"Epoch":9,"Events":[{"Remove":"` + strings.Repeat("x", tuning.MaxStoreResponseBytes) + `"}]}`
	client := testClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) })
	result := client.Execute(t.Context(), Call{Op: OpWatch, Prefix: "c/", WatchWaitMs: 1})
	if !errors.Is(result.Err, ErrCompacted) {
		t.Fatalf("error %v", result.Err)
	}
	service := &pendingCalls{}
	cache := NewWatchCache(WatchCacheOptions{
		Prefix:    "c/",
		StateCall: service.call,
		OnChange:  func(time.Time, string, wire.KeyValue, bool) {},
	})
	cache.Tick(time.Unix(100, 0))
	service.reply(t, Result{Revision: 5})
	service.reply(t, result)
	if len(service.calls) == 0 || service.calls[0].Op != OpList {
		t.Errorf("calls %+v, want a list", service.calls)
	}
}
