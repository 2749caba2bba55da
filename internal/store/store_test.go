package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

func TestClient(t *testing.T) {
	var got *http.Request
	var body string
	status, answer := 200, ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		got, body = r, string(raw)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, answer)
	}))
	defer srv.Close()
	c := NewClient(strings.TrimPrefix(srv.URL, "http://"), http.DefaultTransport, time.Now)
	for _, k := range []struct {
		name   string
		call   Call
		status int
		answer string
		sent   string // method, path and body
		check  func(r Result) bool
	}{
		{"get", Call{Op: OpGet, Key: "j/job-1"}, 200, `{"Path":"j/job-1","Value":{"x":1},"Stamp":412,"Hold":7}`, "GET /kv/j/job-1 ",
			func(r Result) bool {
				return r.OK() && r.KeyValue.Version == 412 && string(r.KeyValue.Value) == `{"x":1}`
			}},
		{"get nothing", Call{Op: OpGet, Key: "a"}, 404, `{"Epoch":431}`, "GET /kv/a ", func(r Result) bool { return r.Status == 404 }},
		{"list", Call{Op: OpList, Prefix: "q/0/", After: "q/0/x", PageSize: 10}, 200, `{"Items":[{"Path":"q/0/y","Value":1,"Stamp":2}],"More":true,"Epoch":9}`,
			"GET /kv?Under=q%2F0%2F&After=q%2F0%2Fx&Page=10 ", func(r Result) bool { return len(r.KeyValues) == 1 && r.More && r.Revision == 9 }},
		{"transaction", Call{Op: OpTransaction, Transaction: wire.Transaction{Compares: []wire.Compare{VersionEquals("a", 0)}, Writes: []wire.Write{Put("a", 1, 7), Delete("b")}}}, 409,
			`{"failed":["a"],"Epoch":4}`, `POST /multi {"When":[{"Path":"a","Stamp":0}],"Writes":[{"Write":"a","Value":1,"Hold":7},{"Remove":"b"}]}`,
			func(r Result) bool { return r.Status == 409 && r.FailedKeys[0] == "a" }},
		{"grant", Call{Op: OpGrantLease, LeaseTTL: 3500 * time.Millisecond}, 200, `{"Hold":7}`, `POST /grants {"LifeMs":3500}`, func(r Result) bool { return r.Lease == 7 }},
		{"touch", Call{Op: OpRenewLease, Lease: 7}, 404, ``, `POST /grants/7/touch {}`, func(r Result) bool { return r.Status == 404 }},
		{"watch", Call{Op: OpWatch, Prefix: "c/", SinceRevision: 5, WatchWaitMs: 10}, 200, `{"Epoch":6,"Events":[{"Remove":"c/d","Stamp":6}]}`,
			"GET /changes?Under=c%2F&After=5&WaitMs=10 ", func(r Result) bool { return r.Events[0].Delete == "c/d" }},
		{"an answer that cannot be read is none", Call{Op: OpGet, Key: "a"}, 200, `{"Path"`, "GET /kv/a ", func(r Result) bool { return r.Status == 0 }},
		{"a refusal that cannot be read is one", Call{Op: OpGet, Key: "a"}, 503, `oops`, "GET /kv/a ", func(r Result) bool { return r.Refused() }},
	} {
		t.Run(k.name, func(t *testing.T) {
			status, answer = k.status, k.answer
			r := c.Execute(context.Background(), k.call)
			if s := got.Method + " " + got.URL.RequestURI() + " " + body; s != k.sent {
				t.Errorf("sent %q, want %q", s, k.sent)
			}
			if !k.check(r) {
				t.Errorf("result %+v", r)
			}
		})
	}
}

// fake answers calls from a script, in order.
type fake struct {
	calls []Call
	then  []func(time.Time, Result)
}

func (f *fake) call(c Call, then func(time.Time, Result)) {
	f.calls, f.then = append(f.calls, c), append(f.then, then)
}

func (f *fake) answer(t *testing.T, r Result) Call {
	t.Helper()
	if len(f.then) == 0 {
		t.Fatal("no call to answer")
	}
	c, then := f.calls[0], f.then[0]
	f.calls, f.then = f.calls[1:], f.then[1:]
	then(time.Unix(0, 0), r)
	return c
}

func TestMirror(t *testing.T) {
	f := &fake{}
	seen := ""
	m := NewWatchCache("q/", f.call, func(_ time.Time, key string, it wire.KeyValue, gone bool) {
		if gone {
			seen += "-"
		}
		seen += key + string(it.Value) + " "
	})
	item := func(key, v string, version uint64) wire.KeyValue {
		return wire.KeyValue{Key: key, Value: json.RawMessage(v), Version: version}
	}
	now := time.Unix(0, 0)
	m.Tick(now)
	f.answer(t, Result{Status: 200, Revision: 10, More: true, KeyValues: []wire.KeyValue{item("q/a", "1", 3)}})
	f.answer(t, Result{Status: 200, Revision: 12, KeyValues: []wire.KeyValue{item("q/b", "2", 12)}})
	if c := f.calls[0]; c.Op != OpWatch || c.SinceRevision != 10 {
		t.Fatalf("follows from %d, want the first page's revision", c.SinceRevision)
	}
	// what the list already showed, and what is older than it, comes again
	f.answer(t, Result{Status: 200, Revision: 13, Events: []wire.Event{
		{Delete: "q/b", Version: 11}, {Put: "q/b", Value: json.RawMessage("2"), Version: 12}, {Delete: "q/a", Version: 13}}})
	// fallen too far behind: everything is read again
	f.answer(t, Result{Status: 410})
	f.answer(t, Result{Status: 200, Revision: 900, KeyValues: []wire.KeyValue{item("q/c", "3", 700)}})
	if want := "q/a1 q/b2 -q/a1 q/c3 -q/b2 "; seen != want {
		t.Errorf("told of %q, want %q", seen, want)
	}
}

func TestRecord(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		name    string
		answers []Result
		kept    bool
		lost    bool
		version uint64 // condition of the last write
	}{
		{"written", []Result{{Status: 200, Revision: 5}}, true, false, 3},
		{"refused, then written", []Result{{Status: 503}, {Status: 200, Revision: 5}}, true, false, 3},
		{"no answer, and it had been written", []Result{{}, {Status: 409, FailedKeys: []string{"k"}}, {Status: 200, KeyValue: wire.KeyValue{Version: 4}}, {Status: 200, Revision: 5}}, true, false, 4},
		{"conflict, and the key is gone", []Result{{Status: 409, FailedKeys: []string{"k"}}, {Status: 404}, {Status: 200, Revision: 5}}, true, false, 0},
		{"the tenure is over", []Result{{Status: 409, FailedKeys: []string{"c/b/0"}}}, false, true, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fake{}
			lost := false
			r := NewDesiredValue("k", 3, PriorityCompletion, VersionEquals("c/b/0", 2), f.call, func(time.Time, int) {}, func(time.Time) { lost = true })
			r.Set(1)
			var last Call
			for i, a := range c.answers {
				r.Tick(now.Add(time.Duration(i) * time.Hour))
				if call := f.answer(t, a); call.Op == OpTransaction {
					last = call
				}
			}
			if r.Durable() != c.kept || lost != c.lost {
				t.Errorf("settled %t, lost %t", r.Durable(), lost)
			}
			if last.Transaction.Compares[0] != VersionEquals("c/b/0", 2) || last.Transaction.Compares[1] != VersionEquals("k", c.version) {
				t.Errorf("conditions %v", last.Transaction.Compares)
			}
		})
	}
}

// An answer to a watch that is longer than a node reads: asked for again it would be as
// long, so the mirror reads the keys anew.
func TestTooManyChanges(t *testing.T) {
	long := `{"Epoch":9,"Events":[{"Remove":"` + strings.Repeat("x", tuning.MaxStoreResponseBytes) + `"}]}`
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) }))
	defer srv.Close()
	c := NewClient(strings.TrimPrefix(srv.URL, "http://"), http.DefaultTransport, time.Now)
	r := c.Execute(t.Context(), Call{Op: OpWatch, Prefix: "c/", WatchWaitMs: 1})
	if r.Status != http.StatusGone {
		t.Fatalf("status %d", r.Status)
	}
	f := &fake{}
	m := NewWatchCache("c/", f.call, func(time.Time, string, wire.KeyValue, bool) {})
	now := time.Unix(100, 0)
	m.Tick(now)
	f.answer(t, Result{Status: 200, Revision: 5})
	f.answer(t, r)
	if len(f.calls) == 0 || f.calls[0].Op != OpList {
		t.Errorf("the keys are not listed again: %+v", f.calls)
	}
}
