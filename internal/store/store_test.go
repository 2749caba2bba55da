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
			func(r Result) bool { return r.OK() && r.Item.Version == 412 && string(r.Item.Value) == `{"x":1}` }},
		{"get nothing", Call{Op: OpGet, Key: "a"}, 404, `{"Epoch":431}`, "GET /kv/a ", func(r Result) bool { return r.Status == 404 }},
		{"list", Call{Op: OpList, Under: "q/0/", After: "q/0/x", Page: 10}, 200, `{"Items":[{"Path":"q/0/y","Value":1,"Stamp":2}],"More":true,"Epoch":9}`,
			"GET /kv?Under=q%2F0%2F&After=q%2F0%2Fx&Page=10 ", func(r Result) bool { return len(r.Items) == 1 && r.More && r.Revision == 9 }},
		{"transaction", Call{Op: OpMulti, Multi: wire.Multi{When: []wire.Cond{Is("a", 0)}, Writes: []wire.Write{Put("a", 1, 7), Remove("b")}}}, 409,
			`{"failed":["a"],"Epoch":4}`, `POST /multi {"When":[{"Path":"a","Stamp":0}],"Writes":[{"Write":"a","Value":1,"Hold":7},{"Remove":"b"}]}`,
			func(r Result) bool { return r.Status == 409 && r.Failed[0] == "a" }},
		{"grant", Call{Op: OpGrant, Life: 3500 * time.Millisecond}, 200, `{"Hold":7}`, `POST /grants {"LifeMs":3500}`, func(r Result) bool { return r.Lease == 7 }},
		{"touch", Call{Op: OpTouch, Lease: 7}, 404, ``, `POST /grants/7/touch {}`, func(r Result) bool { return r.Status == 404 }},
		{"watch", Call{Op: OpChanges, Under: "c/", Since: 5, WaitMs: 10}, 200, `{"Epoch":6,"Events":[{"Remove":"c/d","Stamp":6}]}`,
			"GET /changes?Under=c%2F&After=5&WaitMs=10 ", func(r Result) bool { return r.Events[0].Remove == "c/d" }},
		{"an answer that cannot be read is none", Call{Op: OpGet, Key: "a"}, 200, `{"Path"`, "GET /kv/a ", func(r Result) bool { return r.Status == 0 }},
		{"a refusal that cannot be read is one", Call{Op: OpGet, Key: "a"}, 503, `oops`, "GET /kv/a ", func(r Result) bool { return r.Refused() }},
	} {
		t.Run(k.name, func(t *testing.T) {
			status, answer = k.status, k.answer
			r := c.Do(context.Background(), k.call)
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
	m := NewMirror("q/", f.call, func(_ time.Time, key string, it wire.Item, gone bool) {
		if gone {
			seen += "-"
		}
		seen += key + string(it.Value) + " "
	})
	item := func(key, v string, version uint64) wire.Item {
		return wire.Item{Path: key, Value: json.RawMessage(v), Version: version}
	}
	now := time.Unix(0, 0)
	m.Tick(now)
	f.answer(t, Result{Status: 200, Revision: 10, More: true, Items: []wire.Item{item("q/a", "1", 3)}})
	f.answer(t, Result{Status: 200, Revision: 12, Items: []wire.Item{item("q/b", "2", 12)}})
	if c := f.calls[0]; c.Op != OpChanges || c.Since != 10 {
		t.Fatalf("follows from %d, want the first page's revision", c.Since)
	}
	// what the list already showed, and what is older than it, comes again
	f.answer(t, Result{Status: 200, Revision: 13, Events: []wire.Change{
		{Remove: "q/b", Version: 11}, {Write: "q/b", Value: json.RawMessage("2"), Version: 12}, {Remove: "q/a", Version: 13}}})
	// fallen too far behind: everything is read again
	f.answer(t, Result{Status: 410})
	f.answer(t, Result{Status: 200, Revision: 900, Items: []wire.Item{item("q/c", "3", 700)}})
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
		{"no answer, and it had been written", []Result{{}, {Status: 409, Failed: []string{"k"}}, {Status: 200, Item: wire.Item{Version: 4}}, {Status: 200, Revision: 5}}, true, false, 4},
		{"conflict, and the key is gone", []Result{{Status: 409, Failed: []string{"k"}}, {Status: 404}, {Status: 200, Revision: 5}}, true, false, 0},
		{"the tenure is over", []Result{{Status: 409, Failed: []string{"c/b/0"}}}, false, true, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fake{}
			lost := false
			r := NewRecord("k", 3, ClassTally, Is("c/b/0", 2), f.call, func(time.Time, int) {}, func(time.Time) { lost = true })
			r.Set(1)
			var last Call
			for i, a := range c.answers {
				r.Tick(now.Add(time.Duration(i) * time.Hour))
				if call := f.answer(t, a); call.Op == OpMulti {
					last = call
				}
			}
			if r.Settled() != c.kept || lost != c.lost {
				t.Errorf("settled %t, lost %t", r.Settled(), lost)
			}
			if last.Multi.When[0] != Is("c/b/0", 2) || last.Multi.When[1] != Is("k", c.version) {
				t.Errorf("conditions %v", last.Multi.When)
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
	r := c.Do(t.Context(), Call{Op: OpChanges, Under: "c/", WaitMs: 1})
	if r.Status != http.StatusGone {
		t.Fatalf("status %d", r.Status)
	}
	f := &fake{}
	m := NewMirror("c/", f.call, func(time.Time, string, wire.Item, bool) {})
	now := time.Unix(100, 0)
	m.Tick(now)
	f.answer(t, Result{Status: 200, Revision: 5})
	f.answer(t, r)
	if len(f.calls) == 0 || f.calls[0].Op != OpList {
		t.Errorf("the keys are not listed again: %+v", f.calls)
	}
}
