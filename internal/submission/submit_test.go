package submission

import (
	"net/http"
	"testing"

	"juniperchute/internal/wire"
)

func TestSubmit(t *testing.T) {
	for _, test := range submitTests {
		t.Run(test.name, test.run)
	}
}

func (test submitTest) run(t *testing.T) {
	machineTypes := testMachineTypes
	if test.machineTypesUnknown {
		machineTypes = nil
	}
	f := newFixture(machineTypes)
	if test.progress != nil {
		f.progress = *test.progress
	}
	var got *Response
	f.submit(newSpec(test.change), func(response Response) { got = &response })
	for _, result := range test.results {
		if got != nil {
			t.Fatalf("got status %d before all calls completed", got.Status)
		}
		f.complete(result)
	}
	if got == nil || got.Status != test.wantStatus {
		t.Fatalf("got %+v, want status %d", got, test.wantStatus)
	}
	if test.wantState != "" {
		checkState(t, got, test.wantState)
	}
	if retryAfter := got.RetryAfter > 0; retryAfter != (test.wantStatus == http.StatusServiceUnavailable) {
		t.Errorf("Retry-After %d with status %d", got.RetryAfter, got.Status)
	}
	if f.service.writesInFlight != 0 {
		t.Errorf("%d writes still in flight", f.service.writesInFlight)
	}
}

// Submissions beyond the limit of requests in flight must be rejected as retryable, without a call of the
// state service.
func TestSubmissionsInFlightLimit(t *testing.T) {
	const submissions = 500
	f := newFixture(testMachineTypes)
	rejected := 0
	for n := range submissions {
		spec := newSpec(func(spec *wire.JobSpec) { spec.ID = wire.TaskName("job", n+1) })
		f.submit(spec, func(response Response) {
			if response.Status == http.StatusServiceUnavailable && response.RetryAfter > 0 {
				rejected++
			}
		})
	}
	if rejected == 0 || rejected+len(f.calls) != submissions {
		t.Errorf("%d rejected and %d in flight, want %d together", rejected, len(f.calls), submissions)
	}
}
