package submission

import (
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

var now = time.Unix(1000, 0)

// desk is the slice with a state service that answers from a script.
type desk struct {
	s     *Slice
	open  *store.WatchCache
	calls []store.Call
	then  []func(time.Time, store.Result)
	told  []string // cancellations of which users are told
}

func newDesk(machineTypes map[string]wire.MachineType) *desk {
	d := &desk{}
	facts := config.Platform{Zones: []string{"a", "b"}, State: config.StateLimits{ValueKB: 4}, Teams: []config.Team{{Name: "red", GPUsMax: 8}, {Name: "free"}}}
	call := func(c store.Call, then func(time.Time, store.Result)) {
		d.calls, d.then = append(d.calls, c), append(d.then, then)
	}
	d.open = store.NewWatchCache(store.WatchCacheOptions{
		Prefix:    OpenUnder,
		StateCall: call,
		OnChange:  func(time.Time, string, wire.KeyValue, bool) {},
	})
	d.open.Tick(now)
	d.answer(store.Result{Revision: 10})
	d.answer(none) // no watch beside the questions
	d.s = New(facts, 1, func() time.Time { return now }, call, slog.New(slog.NewTextHandler(io.Discard, nil)), func() map[string]wire.MachineType { return machineTypes }, d.open,
		func(now time.Time, _ int, _ string, then func(time.Time, Progress)) {
			then(now, Progress{Known: true, Done: 3, Running: 2})
		}, func(_ time.Time, id string) { d.told = append(d.told, id) })
	return d
}

func (d *desk) answer(r store.Result) {
	then := d.then[0]
	d.calls, d.then = d.calls[1:], d.then[1:]
	then(now, r)
}

// rec is a job's record as it is read: its open entry, or how it ended.
func rec(stage string) store.Result {
	raw, _ := json.Marshal(JobRec{Stage: stage})
	if stage == wire.JobPending {
		raw, _ = json.Marshal(OpenRec{Spec: job(nil)})
	}
	return store.Result{KeyValue: wire.KeyValue{Value: raw, Version: 5}}
}

var (
	none     = store.Result{Err: store.ErrNoResponse}
	ok       = store.Result{}
	missing  = store.Result{Err: store.ErrNotFound}
	conflict = store.Result{Err: &store.ConflictError{}}
	outage   = store.Result{Err: store.ErrUnavailable}
	limited  = store.Result{Err: store.ErrThrottled}
	types    = map[string]wire.MachineType{"g8": {Name: "g8", Vcpus: 96, Gpus: 8, MemGb: 768, Zones: []string{"a", "b"}}, "c1": {Name: "c1", Vcpus: 4, MemGb: 8, Zones: []string{"a"}}}
)

func job(change func(s *wire.JobSpec)) wire.JobSpec {
	s := wire.JobSpec{ID: "job-1", Team: "red", Class: "l", Shape: wire.ShapeGang, Priority: "low", Tasks: 2, Vcpus: 8, Gpus: 1, MemGb: 10, AnyType: true}
	if change != nil {
		change(&s)
	}
	return s
}

func TestSubmit(t *testing.T) {
	for _, c := range []struct {
		name         string
		change       func(s *wire.JobSpec)
		machineTypes map[string]wire.MachineType
		answers      []store.Result
		status       int
		stage        string
	}{
		{"new", nil, types, []store.Result{ok}, 201, wire.JobPending},
		{"known", nil, types, []store.Result{conflict, rec(wire.JobPending)}, 200, wire.JobPending},
		{"known and done", nil, types, []store.Result{conflict, missing, rec(wire.JobDone)}, 200, wire.JobDone},
		{"no answer, and it was written", nil, types, []store.Result{none, conflict, rec(wire.JobPending)}, 200, wire.JobPending},
		{"no answer twice", nil, types, []store.Result{none, none}, 503, ""},
		{"outage", nil, types, []store.Result{outage}, 503, ""},
		{"rate limit", nil, types, []store.Result{limited}, 503, ""},
		{"unknown team", func(s *wire.JobSpec) { s.Team = "green" }, types, []store.Result{missing, missing}, 422, ""},
		{"unknown team, but accepted once", func(s *wire.JobSpec) { s.Team = "green" }, types, []store.Result{rec(wire.JobPending)}, 200, wire.JobPending},
		{"gang beyond the limit", func(s *wire.JobSpec) { s.Tasks = 9 }, types, []store.Result{missing, missing}, 422, ""},
		{"array beyond the limit in all", func(s *wire.JobSpec) { s.Tasks, s.Shape = 9, wire.ShapeBatch }, types, []store.Result{ok}, 201, wire.JobPending},
		{"too large a task", func(s *wire.JobSpec) { s.MemGb = 800 }, types, []store.Result{missing, missing}, 422, ""},
		{"unknown types only", func(s *wire.JobSpec) { s.AnyType, s.Types = false, []string{"x"} }, types, []store.Result{missing, missing}, 422, ""},
		{"no type allowed", func(s *wire.JobSpec) { s.AnyType = false }, types, []store.Result{missing, missing}, 422, ""},
		{"unknown zone", func(s *wire.JobSpec) { s.Zone = "z" }, types, []store.Result{missing, missing}, 422, ""},
		{"a gang together and apart", func(s *wire.JobSpec) { s.SameZone, s.SpreadAcrossZones = true, true }, types, []store.Result{missing, missing}, 422, ""},
		{"one task together and apart", func(s *wire.JobSpec) { s.SameZone, s.SpreadAcrossZones, s.Tasks = true, true, 1 }, types, []store.Result{ok}, 201, wire.JobPending},
		{"a service within the limit", func(s *wire.JobSpec) { s.Shape, s.Tasks, s.EstimatedRunTimeS = wire.ShapeService, 8, 0 }, types, []store.Result{ok}, 201, wire.JobPending},
		{"a service beyond the limit in all", func(s *wire.JobSpec) { s.Shape, s.Tasks = wire.ShapeService, 9 }, types, []store.Result{missing, missing}, 422, ""},
		{"a service beyond the limit, but accepted once", func(s *wire.JobSpec) { s.Shape, s.Tasks = wire.ShapeService, 9 }, types, []store.Result{rec(wire.JobPending)}, 200, wire.JobPending},
		{"a service beyond the limit, but accepted and cancelled", func(s *wire.JobSpec) { s.Shape, s.Tasks = wire.ShapeService, 9 }, types, []store.Result{missing, rec(wire.JobCancelled)}, 200, wire.JobCancelled},
		{"a service that no allowed type holds", func(s *wire.JobSpec) { s.Shape, s.AnyType, s.Types = wire.ShapeService, false, []string{"c1"} }, types, []store.Result{missing, missing}, 422, ""},
		{"a service apart in one zone", func(s *wire.JobSpec) { s.Shape, s.SpreadAcrossZones, s.Zone = wire.ShapeService, true, "a" }, types, []store.Result{missing, missing}, 422, ""},
		{"a service together and apart", func(s *wire.JobSpec) { s.Shape, s.SameZone, s.SpreadAcrossZones = wire.ShapeService, true, true }, types, []store.Result{missing, missing}, 422, ""},
		{"a service while types are not known", func(s *wire.JobSpec) { s.Shape = wire.ShapeService }, nil, []store.Result{missing, missing}, 503, ""},
		{"refused for its size by the state service", nil, types, []store.Result{{Err: store.ErrInvalid}, missing, missing}, 400, ""},
		{"refused for its size, but accepted once", nil, types, []store.Result{{Err: store.ErrInvalid}, rec(wire.JobPending)}, 200, wire.JobPending},
		{"a record that cannot be read", nil, types, []store.Result{conflict, {KeyValue: wire.KeyValue{Value: json.RawMessage(`{"Spec":{"Id":"job-1","Shape":"swarm","Pieces":1}}`)}}}, 503, ""},
		{"an end that cannot be read", nil, types, []store.Result{conflict, missing, {KeyValue: wire.KeyValue{Value: json.RawMessage(`{"Stage":"paused"}`)}}}, 503, ""},
		{"types not known yet", nil, nil, []store.Result{missing, missing}, 503, ""},
		{"types not known yet, but accepted once", nil, nil, []store.Result{rec(wire.JobPending)}, 200, wire.JobPending},
		{"too large to be kept", func(s *wire.JobSpec) { s.Image = strings.Repeat("x", 5000) }, types, []store.Result{missing, missing}, 400, ""},
		{"too large to be kept, but accepted once", func(s *wire.JobSpec) { s.Image = strings.Repeat("x", 5000) }, types, []store.Result{rec(wire.JobPending)}, 200, wire.JobPending},
		{"too large to be kept, and the state service is down", func(s *wire.JobSpec) { s.Image = strings.Repeat("x", 5000) }, types, []store.Result{outage}, 503, ""},
		{"can never run, and the state service is down", func(s *wire.JobSpec) { s.Team = "green" }, types, []store.Result{outage}, 503, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDesk(c.machineTypes)
			var got *Response
			d.s.Submit(now, job(c.change), func(r Response) { got = &r })
			for _, a := range c.answers {
				if got != nil {
					t.Fatalf("answered %d before the state service had", got.Status)
				}
				d.answer(a)
			}
			if got == nil || got.Status != c.status {
				t.Fatalf("got %+v, want %d", got, c.status)
			}
			if a, is := got.Body.(wire.JobAccepted); c.stage != "" && (!is || a.State != c.stage) {
				t.Errorf("body %+v, want stage %s", got.Body, c.stage)
			}
			if retry := got.RetryAfter > 0; retry != (c.status == 503) {
				t.Errorf("Retry-After %d with %d", got.RetryAfter, got.Status)
			}
			if d.s.inHand != 0 {
				t.Errorf("%d still in hand", d.s.inHand)
			}
		})
	}
}

func TestCancel(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []store.Result
		status  int
		stage   string
	}{
		{"open", []store.Result{rec(wire.JobPending), ok}, 200, wire.JobCancelled},
		{"done", []store.Result{missing, rec(wire.JobDone)}, 200, wire.JobDone},
		{"done meanwhile", []store.Result{rec(wire.JobPending), conflict, missing, rec(wire.JobDone)}, 200, wire.JobDone},
		{"no answer, and it was written", []store.Result{rec(wire.JobPending), none, missing, rec(wire.JobCancelled)}, 200, wire.JobCancelled},
		{"unknown", []store.Result{missing, missing}, 404, ""},
		{"outage", []store.Result{outage}, 503, ""},
		{"outage in between", []store.Result{rec(wire.JobPending), outage}, 503, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDesk(types)
			var got *Response
			d.s.Cancel(now, "job-1", func(r Response) { got = &r })
			for _, a := range c.answers {
				d.answer(a)
			}
			if got == nil || got.Status != c.status {
				t.Fatalf("got %+v, want %d", got, c.status)
			}
			if a, is := got.Body.(wire.JobAccepted); c.stage != "" && (!is || a.State != c.stage) {
				t.Errorf("body %+v, want stage %s", got.Body, c.stage)
			}
			if c.stage == "" {
				return
			}
			// final answers come from memory, and stay
			d.s.Query(now, "job-1", func(r Response) { got = &r })
			if s, is := got.Body.(wire.JobState); !is || s.State != c.stage || len(d.calls) != 0 {
				t.Errorf("asked again: %+v", got)
			}
		})
	}
}

// A query must not be answered from a look that began before it: in between,
// another node may have told the same user something newer.
func TestQueriesShareTheNextLook(t *testing.T) {
	d := newDesk(types)
	var got []int
	ask := func() { d.s.Query(now, "job-1", func(r Response) { got = append(got, r.Status) }) }
	ask()
	ask()
	ask()
	if len(d.calls) != 1 || d.calls[0].Op != store.OpWatch || d.calls[0].WatchWaitMs != 0 {
		t.Fatalf("under way: %+v, want one look at the changes", d.calls)
	}
	d.answer(store.Result{Revision: 11}) // the job was submitted after this look
	if len(d.calls) != 2 || d.calls[0].Key != JobKey("job-1") {
		t.Fatalf("under way: %+v, want how the job ended, and another look", d.calls)
	}
	d.answer(missing)
	if len(got) != 1 || got[0] != 404 {
		t.Fatalf("answers %v", got)
	}
	d.answer(store.Result{Revision: 12, Events: []wire.Event{{Put: OpenKey("job-1"), Value: rec(wire.JobPending).KeyValue.Value, Version: 12}}})
	if len(got) != 3 || got[1] != 200 || got[2] != 200 || len(d.calls) != 0 {
		t.Fatalf("answers %v, under way %+v", got, d.calls)
	}
	// looks are spaced while questions keep coming
	d.s.gap = time.Second
	ask()
	d.answer(store.Result{Revision: 12})
	ask()
	if len(d.calls) != 0 {
		t.Fatal("a look too soon after another")
	}
	d.open.Tick(now.Add(2 * time.Second))
	if len(got) != 4 || len(d.calls) == 0 {
		t.Fatalf("answers %v, under way %+v", got, d.calls)
	}
	d.answer(outage)
	if len(got) != 5 || got[4] != 503 {
		t.Fatalf("answers %v, want a refusal while the state service is down", got)
	}
}

func TestFullStage(t *testing.T) {
	d := newDesk(types)
	n, busy := 0, 0
	for range 500 {
		s := job(nil)
		n++
		s.ID = wire.TaskName("job", n)
		d.s.Submit(now, s, func(r Response) {
			if r.Status == 503 && r.RetryAfter > 0 {
				busy++
			}
		})
	}
	if busy == 0 || busy+len(d.calls) != 500 {
		t.Errorf("%d told to come back, %d under way", busy, len(d.calls))
	}
}
