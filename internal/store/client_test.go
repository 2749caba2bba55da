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

// clientCase is a call with the request that it is sent as and the response to it.
type clientCase struct {
	name        string
	call        Call
	status      int
	response    string
	wantRequest string // method, path and body
	check       func(r Result) bool
}

var clientCases = []clientCase{
	{
		name:        "get",
		call:        Call{Op: OpGet, Key: "j/job-1"},
		status:      200,
		response:    `{"Path":"j/job-1","Value":{"x":1},"Stamp":412,"Hold":7}`,
		wantRequest: "GET /kv/j/job-1 ",
		check: func(r Result) bool {
			return r.OK() && r.KeyValue.Version == 412 && string(r.KeyValue.Value) == `{"x":1}`
		},
	},
	{
		name:        "get nothing",
		call:        Call{Op: OpGet, Key: "a"},
		status:      404,
		response:    `{"Epoch":431}`,
		wantRequest: "GET /kv/a ",
		check:       func(r Result) bool { return errors.Is(r.Err, ErrNotFound) },
	},
	{
		name:        "list",
		call:        Call{Op: OpList, Prefix: "q/0/", After: "q/0/x", PageSize: 10},
		status:      200,
		response:    `{"Items":[{"Path":"q/0/y","Value":1,"Stamp":2}],"More":true,"Epoch":9}`,
		wantRequest: "GET /kv?Under=q%2F0%2F&After=q%2F0%2Fx&Page=10 ",
		check:       func(r Result) bool { return len(r.KeyValues) == 1 && r.More && r.Revision == 9 },
	},
	{
		name: "transaction",
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
		name:        "grant a lease",
		call:        Call{Op: OpGrantLease, LeaseTTL: 3500 * time.Millisecond},
		status:      200,
		response:    `{"Hold":7}`,
		wantRequest: `POST /grants {"LifeMs":3500}`,
		check:       func(r Result) bool { return r.Lease == 7 },
	},
	{
		name:        "renew a lease",
		call:        Call{Op: OpRenewLease, Lease: 7},
		status:      404,
		wantRequest: `POST /grants/7/touch {}`,
		check:       func(r Result) bool { return errors.Is(r.Err, ErrNotFound) },
	},
	{
		name:        "watch",
		call:        Call{Op: OpWatch, Prefix: "c/", SinceRevision: 5, WatchWaitMs: 10},
		status:      200,
		response:    `{"Epoch":6,"Events":[{"Remove":"c/d","Stamp":6}]}`,
		wantRequest: "GET /changes?Under=c%2F&After=5&WaitMs=10 ",
		check:       func(r Result) bool { return r.Events[0].Delete == "c/d" },
	},
	{
		name:        "an unreadable response is none",
		call:        Call{Op: OpGet, Key: "a"},
		status:      200,
		response:    `{"Path"`,
		wantRequest: "GET /kv/a ",
		check:       func(r Result) bool { return errors.Is(r.Err, ErrNoResponse) },
	},
	{
		name:        "an unreadable rejection is one",
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

// testClient is a client of a service that ends with the test.
func testClient(t *testing.T, serve http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	return NewClient(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport, time.Now)
}

// A response to a watch that is longer than a member reads: a second watch would return
// as much, so the cache lists the keys again.
func TestOversizedWatchResponse(t *testing.T) {
	long := `{"Epoch":9,"Events":[{"Remove":"` + strings.Repeat("x", tuning.MaxStoreResponseBytes) + `"}]}`
	client := testClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) })
	result := client.Execute(t.Context(), Call{Op: OpWatch, Prefix: "c/", WatchWaitMs: 1})
	if !errors.Is(result.Err, ErrCompacted) {
		t.Fatalf("error %v", result.Err)
	}
	service := &heldCalls{}
	cache := NewWatchCache(WatchCacheOptions{
		Prefix:    "c/",
		StateCall: service.call,
		OnChange:  func(time.Time, string, wire.KeyValue, bool) {},
	})
	cache.Tick(time.Unix(100, 0))
	service.reply(t, Result{Revision: 5})
	service.reply(t, result)
	if len(service.calls) == 0 || service.calls[0].Op != OpList {
		t.Errorf("the keys are not listed again: %+v", service.calls)
	}
}
