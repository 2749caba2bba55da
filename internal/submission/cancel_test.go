package submission

import (
	"net/http"
	"testing"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// cancelTest is a cancellation of job-1, the results of the resulting state service calls, and the
// expected response.
type cancelTest struct {
	name       string
	results    []store.Result
	wantStatus int
	wantState  string // "" for an error response
}

var cancelTests = []cancelTest{
	{
		name:       "open job",
		results:    []store.Result{storedJob(wire.JobPending), success},
		wantStatus: http.StatusOK,
		wantState:  wire.JobCancelled,
	},
	{
		name:       "completed job",
		results:    []store.Result{notFound, storedJob(wire.JobDone)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobDone,
	},
	{
		name:       "job completed between read and write",
		results:    []store.Result{storedJob(wire.JobPending), conflict, notFound, storedJob(wire.JobDone)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobDone,
	},
	{
		name:       "write executed without a response",
		results:    []store.Result{storedJob(wire.JobPending), noResponse, notFound, storedJob(wire.JobCancelled)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobCancelled,
	},
	{
		name:       "unknown job",
		results:    []store.Result{notFound, notFound},
		wantStatus: http.StatusNotFound,
	},
	{
		name:       "state service unavailable on read",
		results:    []store.Result{outage},
		wantStatus: http.StatusServiceUnavailable,
	},
	{
		name:       "state service unavailable on write",
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
	// The final state is served from the cache and never changes.
	f.query(func(response Response) { got = &response })
	if body, ok := got.Body.(wire.JobState); !ok || body.State != test.wantState || len(f.calls) != 0 {
		t.Errorf("query after the cancellation: got %+v and %d calls in flight", got, len(f.calls))
	}
}
