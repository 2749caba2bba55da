package submission

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

var (
	startTime        = time.Unix(1000, 0)
	testMachineTypes = map[string]wire.MachineType{
		"g8": {Name: "g8", Vcpus: 96, Gpus: 8, MemGB: 768, Zones: []string{"a", "b"}},
		"c1": {Name: "c1", Vcpus: 4, MemGB: 8, Zones: []string{"a"}},
	}
)

// Results of state service calls.
var (
	noResponse = store.Result{Err: store.ErrNoResponse}
	success    = store.Result{}
	notFound   = store.Result{Err: store.ErrNotFound}
	conflict   = store.Result{Err: &store.ConflictError{}}
	outage     = store.Result{Err: store.ErrUnavailable}
	throttled  = store.Result{Err: store.ErrThrottled}
	invalid    = store.Result{Err: store.ErrInvalid}
)

// fixture is a Service whose state service calls are completed by the test.
type fixture struct {
	service   *Service
	openJobs  *store.WatchCache
	calls     []store.Call // in flight
	callbacks []func(time.Time, store.Result)
	progress  Progress // of every job
	cancelled []string // IDs of jobs passed to RecordCancellation
}

func newFixture(machineTypes map[string]wire.MachineType) *fixture {
	f := &fixture{progress: Progress{Known: true, CompletedTasks: 3, Running: 2}}
	f.openJobs = store.NewWatchCache(store.WatchCacheOptions{
		Prefix:    OpenJobPrefix,
		StateCall: f.callStore,
		OnChange:  func(time.Time, string, wire.KeyValue, bool) {},
	})
	f.openJobs.Tick(startTime)
	f.complete(store.Result{Revision: 10})
	f.complete(noResponse) // end the watch, so that the cache catches up only for queries
	f.service = New(Options{
		Platform: config.Platform{
			Zones: []string{"a", "b"},
			State: config.StateLimits{ValueKB: 4},
			Teams: []config.Team{{Name: "red", GPUsMax: 8}, {Name: "free"}},
		},
		Shards:       1,
		WallClock:    func() time.Time { return startTime },
		CallStore:    f.callStore,
		Log:          slog.New(slog.DiscardHandler),
		MachineTypes: func() map[string]wire.MachineType { return machineTypes },
		OpenJobs:     f.openJobs,
		QueryProgress: func(now time.Time, _ int, _ string, callback func(time.Time, Progress)) {
			callback(now, f.progress)
		},
		RecordCancellation: func(_ time.Time, id string) { f.cancelled = append(f.cancelled, id) },
	})
	return f
}

func (f *fixture) callStore(call store.Call, callback func(time.Time, store.Result)) {
	f.calls = append(f.calls, call)
	f.callbacks = append(f.callbacks, callback)
}

// complete completes the oldest call in flight.
func (f *fixture) complete(result store.Result) {
	callback := f.callbacks[0]
	f.calls, f.callbacks = f.calls[1:], f.callbacks[1:]
	callback(startTime, result)
}

// completeAll completes the calls in flight, and those that result from them, in order.
func (f *fixture) completeAll(results []store.Result) {
	for _, result := range results {
		f.complete(result)
	}
}

func (f *fixture) submit(spec wire.JobSpec, reply func(Response)) {
	f.service.Submit(spec, reply)
}

func (f *fixture) cancel(reply func(Response)) { f.service.Cancel("job-1", reply) }

func (f *fixture) query(reply func(Response)) { f.service.Query(startTime, "job-1", reply) }

// storedJob returns the result of reading the record of job-1 in the given state.
func storedJob(state string) store.Result {
	var record any = JobEndRecord{State: state}
	if state == wire.JobPending {
		record = OpenJobRecord{Spec: newSpec(nil)}
	}
	raw, _ := json.Marshal(record)
	return storedValue(string(raw))
}

// acceptedAt returns the result of reading the open record of job-1, accepted at the given time.
func acceptedAt(at time.Time) store.Result {
	raw, _ := json.Marshal(OpenJobRecord{Spec: newSpec(nil), AcceptedAt: at.UnixMilli()})
	return storedValue(string(raw))
}

func storedValue(value string) store.Result {
	return store.Result{KeyValue: wire.KeyValue{Value: json.RawMessage(value), Version: 5}}
}

// newSpec returns the spec of a feasible gang of two tasks, modified by change unless that is nil.
func newSpec(change func(spec *wire.JobSpec)) wire.JobSpec {
	spec := wire.JobSpec{
		ID: "job-1", Team: "red", Class: "l", Shape: wire.ShapeGang, Priority: "low",
		Tasks: 2, Vcpus: 8, Gpus: 1, MemGB: 10, AnyType: true,
	}
	if change != nil {
		change(&spec)
	}
	return spec
}

// checkState checks the state in the response to a submission or cancellation.
func checkState(t *testing.T, response *Response, want string) {
	t.Helper()
	if body, ok := response.Body.(wire.JobAccepted); !ok || body.State != want {
		t.Errorf("body %+v, want state %s", response.Body, want)
	}
}
