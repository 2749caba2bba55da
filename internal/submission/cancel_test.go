package submission

import (
	"net/http"
	"testing"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// cancelTest is a cancellation of job-1, the results of the calls of the state service
// that it leads to, and the response to it.
type cancelTest struct {
	name       string
	results    []store.Result
	wantStatus int
	wantState  string // "" when the response reports an error
}

var cancelTests = []cancelTest{
	{
		name:       "open",
		results:    []store.Result{storedJob(wire.JobPending), success},
		wantStatus: http.StatusOK,
		wantState:  wire.JobCancelled,
	},
	{
		name:       "done",
		results:    []store.Result{notFound, storedJob(wire.JobDone)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobDone,
	},
	{
		name:       "done meanwhile",
		results:    []store.Result{storedJob(wire.JobPending), conflict, notFound, storedJob(wire.JobDone)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobDone,
	},
	{
		name:       "no response but written",
		results:    []store.Result{storedJob(wire.JobPending), noResponse, notFound, storedJob(wire.JobCancelled)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobCancelled,
	},
	{
		name:       "unknown",
		results:    []store.Result{notFound, notFound},
		wantStatus: http.StatusNotFound,
	},
	{
		name:       "outage",
		results:    []store.Result{outage},
		wantStatus: http.StatusServiceUnavailable,
	},
	{
		name:       "outage after the look-up",
		results:    []store.Result{storedJob(wire.JobPending), outage},
		wantStatus: http.StatusServiceUnavailable,
	},
}

func TestCancel(t *testing.T) {
	for _, test := range cancelTests {
		t.Run(test.name, test.run)
	}
}

func (test cancelTest) run(t *testing.T) {
	f := newFixture(testMachineTypes)
	var got *Response
	f.cancel(func(response Response) { got = &response })
	f.completeAll(test.results)
	if got == nil || got.Status != test.wantStatus {
		t.Fatalf("got %+v, want status %d", got, test.wantStatus)
	}
	if test.wantState == "" {
		return
	}
	checkState(t, got, test.wantState)
	// a final state is remembered, and never changes
	f.query(func(response Response) { got = &response })
	if body, ok := got.Body.(wire.JobState); !ok || body.State != test.wantState || len(f.calls) != 0 {
		t.Errorf("queried after the cancellation: %+v", got)
	}
}
