package submission

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// openJobEvent returns the watch event of job-1's submission.
func openJobEvent() wire.Event {
	return wire.Event{PutKey: OpenJobKey("job-1"), Value: storedJob(wire.JobPending).KeyValue.Value, Version: 12}
}

// A job that ends during the progress query must not be reported as open: another controller may already
// have reported its final state to a user.
func TestJobEndsDuringQuery(t *testing.T) {
	jobDeleted := []wire.Event{{DeleteKey: OpenJobKey("job-1"), Version: 13}}
	for _, test := range []struct {
		name      string
		events    []wire.Event // during the progress query
		results   []store.Result
		wantState string
	}{
		{
			name:      "job still open",
			wantState: wire.JobRunning,
		},
		{
			name:      "job cancelled",
			events:    jobDeleted,
			results:   []store.Result{storedJob(wire.JobCancelled)},
			wantState: wire.JobCancelled,
		},
		{
			name:      "job completed",
			events:    jobDeleted,
			results:   []store.Result{storedJob(wire.JobDone)},
			wantState: wire.JobDone,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(testMachineTypes)
			var reportProgress func(time.Time, Progress)
			f.service.options.QueryProgress = func(_ time.Time, _ int, _ string, callback func(time.Time, Progress)) {
				reportProgress = callback
			}
			var got *Response
			f.query(func(response Response) { got = &response })
			f.complete(store.Result{Revision: 12, Events: []wire.Event{openJobEvent()}})
			f.openJobs.CatchUp(startTime, 0, func(time.Time, bool) {})
			f.complete(store.Result{Revision: 13, Events: test.events})
			reportProgress(startTime, Progress{Known: true, Running: 1})
			f.completeAll(test.results)
			if got == nil || got.Status != http.StatusOK || got.Body.(wire.JobState).State != test.wantState {
				t.Errorf("got %+v, want state %s", got, test.wantState)
			}
		})
	}
}

// Guards against a job reported as pending because its lease holder cannot be asked: the controller does not know
// whether a task runs.
func TestQueryWithoutKnownProgress(t *testing.T) {
	f := newFixture(testMachineTypes)
	f.progress = Progress{}
	var got *Response
	f.query(func(response Response) { got = &response })
	f.complete(store.Result{Revision: 12, Events: []wire.Event{openJobEvent()}})
	if got == nil || got.Status != http.StatusServiceUnavailable || got.RetryAfter == 0 {
		t.Errorf("got %+v, want a retryable error", got)
	}
}

// A query must not be answered from a catch-up that was sent before the query: another controller may have
// reported a newer state to the same user in between.
func TestQueriesShareOneRefresh(t *testing.T) {
	f := newFixture(testMachineTypes)
	var got []int
	query := func() { f.query(func(response Response) { got = append(got, response.Status) }) }
	checkStatuses := func(want ...int) {
		t.Helper()
		if !slices.Equal(got, want) {
			t.Fatalf("statuses %v, want %v", got, want)
		}
	}
	query()
	query()
	query()
	if len(f.calls) != 1 || f.calls[0].Op != store.OpWatch || f.calls[0].WatchWaitMs != 0 {
		t.Fatalf("in flight %+v, want one watch that does not wait", f.calls)
	}
	f.complete(store.Result{Revision: 11}) // this catch-up precedes the submission of the job
	if len(f.calls) != 2 || f.calls[0].Key != JobEndKey("job-1") {
		t.Fatalf("in flight %+v, want the read of the job end record and another catch-up", f.calls)
	}
	f.complete(notFound)
	checkStatuses(http.StatusNotFound)
	f.complete(store.Result{Revision: 12, Events: []wire.Event{openJobEvent()}})
	checkStatuses(http.StatusNotFound, http.StatusOK, http.StatusOK)
	if len(f.calls) != 0 {
		t.Fatalf("in flight %+v, want no call", f.calls)
	}
	// With a catch-up interval, the next query waits for the interval to pass.
	f.service.catchUpInterval = time.Second
	query()
	f.complete(store.Result{Revision: 12})
	query()
	if len(f.calls) != 0 {
		t.Fatalf("in flight %+v within the interval, want no call", f.calls)
	}
	f.openJobs.Tick(startTime.Add(2 * time.Second))
	checkStatuses(http.StatusNotFound, http.StatusOK, http.StatusOK, http.StatusOK)
	if len(f.calls) == 0 {
		t.Fatal("no catch-up after the interval")
	}
	f.complete(outage)
	checkStatuses(http.StatusNotFound, http.StatusOK, http.StatusOK, http.StatusOK, http.StatusServiceUnavailable)
}
