package submission

import (
	"testing"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// A job that ends while its holder is asked how far it is: whoever ended it may have told
// a user by now, so the answer is not what the look before said.
func TestJobEndsDuringQuery(t *testing.T) {
	for _, test := range []struct {
		name    string
		meets   []wire.Event
		answers []store.Result
		stage   string
	}{
		{"it goes on", nil, nil, wire.JobRunning},
		{"it was called off", []wire.Event{{Delete: OpenJobKey("job-1"), Version: 13}}, []store.Result{jobResult(wire.JobCancelled)}, wire.JobCancelled},
		{"it is done", []wire.Event{{Delete: OpenJobKey("job-1"), Version: 13}}, []store.Result{jobResult(wire.JobDone)}, wire.JobDone},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(testMachineTypes)
			var answerProgress func(time.Time, Progress)
			f.service.queryProgress = func(_ time.Time, _ int, _ string, callback func(time.Time, Progress)) { answerProgress = callback }
			var got *Response
			f.service.Query(startTime, "job-1", func(r Response) { got = &r })
			f.answer(store.Result{Status: 200, Revision: 12, Events: []wire.Event{{Put: OpenJobKey("job-1"), Value: jobResult(wire.JobPending).KeyValue.Value, Version: 12}}})
			f.openJobs.WaitCurrent(startTime, 0, func(time.Time, bool) {})
			f.answer(store.Result{Status: 200, Revision: 13, Events: test.meets})
			answerProgress(startTime, Progress{Known: true, Running: 1})
			for _, answer := range test.answers {
				f.answer(answer)
			}
			if got == nil || got.Status != 200 || got.Body.(wire.JobState).State != test.stage {
				t.Errorf("answered %+v, want %s", got, test.stage)
			}
		})
	}
}
