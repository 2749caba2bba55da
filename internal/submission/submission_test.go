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

var startTime = time.Unix(1000, 0)

// fixture is the slice with a state service that answers from a script.
type fixture struct {
	service   *Service
	openJobs  *store.WatchCache
	calls     []store.Call
	replies   []func(time.Time, store.Result)
	cancelled []string // cancellations of which users are told
}

func newFixture(machineTypes map[string]wire.MachineType) *fixture {
	f := &fixture{}
	deployment := config.Platform{Zones: []string{"a", "b"}, State: config.StateLimits{ValueKB: 4}, Teams: []config.Team{{Name: "red", GPUsMax: 8}, {Name: "free"}}}
	callStore := func(call store.Call, callback func(time.Time, store.Result)) {
		f.calls, f.replies = append(f.calls, call), append(f.replies, callback)
	}
	f.openJobs = store.NewWatchCache(OpenJobPrefix, callStore, func(time.Time, string, wire.KeyValue, bool) {})
	f.openJobs.Tick(startTime)
	f.answer(store.Result{Status: 200, Revision: 10})
	f.answer(noAnswer) // no watch beside the questions
	f.service = New(deployment, 1, func() time.Time { return startTime }, callStore, slog.New(slog.NewTextHandler(io.Discard, nil)), func() map[string]wire.MachineType { return machineTypes }, f.openJobs,
		func(now time.Time, _ int, _ string, callback func(time.Time, Progress)) {
			callback(now, Progress{Known: true, Done: 3, Running: 2})
		}, func(_ time.Time, id string) { f.cancelled = append(f.cancelled, id) })
	return f
}

func (f *fixture) answer(r store.Result) {
	callback := f.replies[0]
	f.calls, f.replies = f.calls[1:], f.replies[1:]
	callback(startTime, r)
}

// jobResult is a job's record as it is read: its open entry, or how it ended.
func jobResult(stage string) store.Result {
	raw, _ := json.Marshal(JobEndRecord{Stage: stage})
	if stage == wire.JobPending {
		raw, _ = json.Marshal(OpenJobRecord{Spec: newSubmission(nil)})
	}
	return store.Result{Status: 200, KeyValue: wire.KeyValue{Value: raw, Version: 5}}
}

var (
	noAnswer         = store.Result{}
	success          = store.Result{Status: 200}
	notFound         = store.Result{Status: 404}
	conflict         = store.Result{Status: 409}
	outage           = store.Result{Status: 503}
	limited          = store.Result{Status: 429}
	testMachineTypes = map[string]wire.MachineType{"g8": {Name: "g8", Vcpus: 96, Gpus: 8, MemGb: 768, Zones: []string{"a", "b"}}, "c1": {Name: "c1", Vcpus: 4, MemGb: 8, Zones: []string{"a"}}}
)

func newSubmission(change func(s *wire.JobSpec)) wire.JobSpec {
	s := wire.JobSpec{ID: "job-1", Team: "red", Class: "l", Shape: wire.ShapeGang, Priority: "low", Tasks: 2, Vcpus: 8, Gpus: 1, MemGb: 10, AnyType: true}
	if change != nil {
		change(&s)
	}
	return s
}

func TestSubmit(t *testing.T) {
	for _, test := range []struct {
		name         string
		change       func(s *wire.JobSpec)
		machineTypes map[string]wire.MachineType
		answers      []store.Result
		status       int
		stage        string
	}{
		{"new", nil, testMachineTypes, []store.Result{success}, 201, wire.JobPending},
		{"known", nil, testMachineTypes, []store.Result{conflict, jobResult(wire.JobPending)}, 200, wire.JobPending},
		{"known and done", nil, testMachineTypes, []store.Result{conflict, notFound, jobResult(wire.JobDone)}, 200, wire.JobDone},
		{"no answer, and it was written", nil, testMachineTypes, []store.Result{noAnswer, conflict, jobResult(wire.JobPending)}, 200, wire.JobPending},
		{"no answer twice", nil, testMachineTypes, []store.Result{noAnswer, noAnswer}, 503, ""},
		{"outage", nil, testMachineTypes, []store.Result{outage}, 503, ""},
		{"rate limit", nil, testMachineTypes, []store.Result{limited}, 503, ""},
		{"unknown team", func(s *wire.JobSpec) { s.Team = "green" }, testMachineTypes, []store.Result{notFound, notFound}, 422, ""},
		{"unknown team, but accepted once", func(s *wire.JobSpec) { s.Team = "green" }, testMachineTypes, []store.Result{jobResult(wire.JobPending)}, 200, wire.JobPending},
		{"gang beyond the limit", func(s *wire.JobSpec) { s.Tasks = 9 }, testMachineTypes, []store.Result{notFound, notFound}, 422, ""},
		{"array beyond the limit in all", func(s *wire.JobSpec) { s.Tasks, s.Shape = 9, wire.ShapeBatch }, testMachineTypes, []store.Result{success}, 201, wire.JobPending},
		{"too large a task", func(s *wire.JobSpec) { s.MemGb = 800 }, testMachineTypes, []store.Result{notFound, notFound}, 422, ""},
		{"unknown types only", func(s *wire.JobSpec) { s.AnyType, s.Types = false, []string{"x"} }, testMachineTypes, []store.Result{notFound, notFound}, 422, ""},
		{"no type allowed", func(s *wire.JobSpec) { s.AnyType = false }, testMachineTypes, []store.Result{notFound, notFound}, 422, ""},
		{"unknown zone", func(s *wire.JobSpec) { s.Zone = "z" }, testMachineTypes, []store.Result{notFound, notFound}, 422, ""},
		{"a gang together and apart", func(s *wire.JobSpec) { s.SameZone, s.SpreadAcrossZones = true, true }, testMachineTypes, []store.Result{notFound, notFound}, 422, ""},
		{"one task together and apart", func(s *wire.JobSpec) { s.SameZone, s.SpreadAcrossZones, s.Tasks = true, true, 1 }, testMachineTypes, []store.Result{success}, 201, wire.JobPending},
		{"a service within the limit", func(s *wire.JobSpec) { s.Shape, s.Tasks, s.EstimatedRunTimeS = wire.ShapeService, 8, 0 }, testMachineTypes, []store.Result{success}, 201, wire.JobPending},
		{"a service beyond the limit in all", func(s *wire.JobSpec) { s.Shape, s.Tasks = wire.ShapeService, 9 }, testMachineTypes, []store.Result{notFound, notFound}, 422, ""},
		{"a service beyond the limit, but accepted once", func(s *wire.JobSpec) { s.Shape, s.Tasks = wire.ShapeService, 9 }, testMachineTypes, []store.Result{jobResult(wire.JobPending)}, 200, wire.JobPending},
		{"a service beyond the limit, but accepted and cancelled", func(s *wire.JobSpec) { s.Shape, s.Tasks = wire.ShapeService, 9 }, testMachineTypes, []store.Result{notFound, jobResult(wire.JobCancelled)}, 200, wire.JobCancelled},
		{"a service that no allowed type holds", func(s *wire.JobSpec) { s.Shape, s.AnyType, s.Types = wire.ShapeService, false, []string{"c1"} }, testMachineTypes, []store.Result{notFound, notFound}, 422, ""},
		{"a service apart in one zone", func(s *wire.JobSpec) { s.Shape, s.SpreadAcrossZones, s.Zone = wire.ShapeService, true, "a" }, testMachineTypes, []store.Result{notFound, notFound}, 422, ""},
		{"a service together and apart", func(s *wire.JobSpec) { s.Shape, s.SameZone, s.SpreadAcrossZones = wire.ShapeService, true, true }, testMachineTypes, []store.Result{notFound, notFound}, 422, ""},
		{"a service while types are not known", func(s *wire.JobSpec) { s.Shape = wire.ShapeService }, nil, []store.Result{notFound, notFound}, 503, ""},
		{"refused for its size by the state service", nil, testMachineTypes, []store.Result{{Status: 400}, notFound, notFound}, 400, ""},
		{"refused for its size, but accepted once", nil, testMachineTypes, []store.Result{{Status: 400}, jobResult(wire.JobPending)}, 200, wire.JobPending},
		{"a record that cannot be read", nil, testMachineTypes, []store.Result{conflict, {Status: 200, KeyValue: wire.KeyValue{Value: json.RawMessage(`{"Spec":{"Id":"job-1","Shape":"swarm","Pieces":1}}`)}}}, 503, ""},
		{"an end that cannot be read", nil, testMachineTypes, []store.Result{conflict, notFound, {Status: 200, KeyValue: wire.KeyValue{Value: json.RawMessage(`{"Stage":"paused"}`)}}}, 503, ""},
		{"types not known yet", nil, nil, []store.Result{notFound, notFound}, 503, ""},
		{"types not known yet, but accepted once", nil, nil, []store.Result{jobResult(wire.JobPending)}, 200, wire.JobPending},
		{"too large to be kept", func(s *wire.JobSpec) { s.Image = strings.Repeat("x", 5000) }, testMachineTypes, []store.Result{notFound, notFound}, 400, ""},
		{"too large to be kept, but accepted once", func(s *wire.JobSpec) { s.Image = strings.Repeat("x", 5000) }, testMachineTypes, []store.Result{jobResult(wire.JobPending)}, 200, wire.JobPending},
		{"too large to be kept, and the state service is down", func(s *wire.JobSpec) { s.Image = strings.Repeat("x", 5000) }, testMachineTypes, []store.Result{outage}, 503, ""},
		{"can never run, and the state service is down", func(s *wire.JobSpec) { s.Team = "green" }, testMachineTypes, []store.Result{outage}, 503, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(test.machineTypes)
			var got *Response
			f.service.Submit(startTime, newSubmission(test.change), func(r Response) { got = &r })
			for _, answer := range test.answers {
				if got != nil {
					t.Fatalf("answered %d before the state service had", got.Status)
				}
				f.answer(answer)
			}
			if got == nil || got.Status != test.status {
				t.Fatalf("got %+v, want %d", got, test.status)
			}
			if answer, accepted := got.Body.(wire.JobAccepted); test.stage != "" && (!accepted || answer.State != test.stage) {
				t.Errorf("body %+v, want stage %s", got.Body, test.stage)
			}
			if retryAfter := got.RetryAfter > 0; retryAfter != (test.status == 503) {
				t.Errorf("Retry-After %d with %d", got.RetryAfter, got.Status)
			}
			if f.service.writesInFlight != 0 {
				t.Errorf("%d still in hand", f.service.writesInFlight)
			}
		})
	}
}

func TestCancel(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []store.Result
		status  int
		stage   string
	}{
		{"open", []store.Result{jobResult(wire.JobPending), success}, 200, wire.JobCancelled},
		{"done", []store.Result{notFound, jobResult(wire.JobDone)}, 200, wire.JobDone},
		{"done meanwhile", []store.Result{jobResult(wire.JobPending), conflict, notFound, jobResult(wire.JobDone)}, 200, wire.JobDone},
		{"no answer, and it was written", []store.Result{jobResult(wire.JobPending), noAnswer, notFound, jobResult(wire.JobCancelled)}, 200, wire.JobCancelled},
		{"unknown", []store.Result{notFound, notFound}, 404, ""},
		{"outage", []store.Result{outage}, 503, ""},
		{"outage in between", []store.Result{jobResult(wire.JobPending), outage}, 503, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(testMachineTypes)
			var got *Response
			f.service.Cancel(startTime, "job-1", func(r Response) { got = &r })
			for _, answer := range test.answers {
				f.answer(answer)
			}
			if got == nil || got.Status != test.status {
				t.Fatalf("got %+v, want %d", got, test.status)
			}
			if answer, isType := got.Body.(wire.JobAccepted); test.stage != "" && (!isType || answer.State != test.stage) {
				t.Errorf("body %+v, want stage %s", got.Body, test.stage)
			}
			if test.stage == "" {
				return
			}
			// final answers come from memory, and stay
			f.service.Query(startTime, "job-1", func(r Response) { got = &r })
			if s, isType := got.Body.(wire.JobState); !isType || s.State != test.stage || len(f.calls) != 0 {
				t.Errorf("asked again: %+v", got)
			}
		})
	}
}

// A query must not be answered from a look that began before it: in between,
// another node may have told the same user something newer.
func TestQueriesShareOneRefresh(t *testing.T) {
	f := newFixture(testMachineTypes)
	var got []int
	query := func() { f.service.Query(startTime, "job-1", func(r Response) { got = append(got, r.Status) }) }
	query()
	query()
	query()
	if len(f.calls) != 1 || f.calls[0].Op != store.OpWatch || f.calls[0].WatchWaitMs != 0 {
		t.Fatalf("under way: %+v, want one look at the changes", f.calls)
	}
	f.answer(store.Result{Status: 200, Revision: 11}) // the job was submitted after this look
	if len(f.calls) != 2 || f.calls[0].Key != JobEndKey("job-1") {
		t.Fatalf("under way: %+v, want how the job ended, and another look", f.calls)
	}
	f.answer(notFound)
	if len(got) != 1 || got[0] != 404 {
		t.Fatalf("answers %v", got)
	}
	f.answer(store.Result{Status: 200, Revision: 12, Events: []wire.Event{{Put: OpenJobKey("job-1"), Value: jobResult(wire.JobPending).KeyValue.Value, Version: 12}}})
	if len(got) != 3 || got[1] != 200 || got[2] != 200 || len(f.calls) != 0 {
		t.Fatalf("answers %v, under way %+v", got, f.calls)
	}
	// looks are spaced while questions keep coming
	f.service.refreshInterval = time.Second
	query()
	f.answer(store.Result{Status: 200, Revision: 12})
	query()
	if len(f.calls) != 0 {
		t.Fatal("a look too soon after another")
	}
	f.openJobs.Tick(startTime.Add(2 * time.Second))
	if len(got) != 4 || len(f.calls) == 0 {
		t.Fatalf("answers %v, under way %+v", got, f.calls)
	}
	f.answer(outage)
	if len(got) != 5 || got[4] != 503 {
		t.Fatalf("answers %v, want a refusal while the state service is down", got)
	}
}

func TestTooManyRequests(t *testing.T) {
	f := newFixture(testMachineTypes)
	n, busy := 0, 0
	for range 500 {
		spec := newSubmission(nil)
		n++
		spec.ID = wire.TaskName("job", n)
		f.service.Submit(startTime, spec, func(r Response) {
			if r.Status == 503 && r.RetryAfter > 0 {
				busy++
			}
		})
	}
	if busy == 0 || busy+len(f.calls) != 500 {
		t.Errorf("%d told to come back, %d under way", busy, len(f.calls))
	}
}
