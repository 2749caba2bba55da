package submission

import (
	"testing"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// A job that ends while its holder is asked how far it is: whoever ended it may have told
// a user by now, so the answer is not what the look before said.
func TestEndsWhileAsked(t *testing.T) {
	for _, c := range []struct {
		name    string
		meets   []wire.Event
		answers []store.Result
		stage   string
	}{
		{"it goes on", nil, nil, wire.JobRunning},
		{"it was called off", []wire.Event{{Delete: OpenKey("job-1"), Version: 13}}, []store.Result{rec(wire.JobCancelled)}, wire.JobCancelled},
		{"it is done", []wire.Event{{Delete: OpenKey("job-1"), Version: 13}}, []store.Result{rec(wire.JobDone)}, wire.JobDone},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDesk(types)
			var told func(time.Time, Progress)
			d.s.progress = func(_ time.Time, _ int, _ string, then func(time.Time, Progress)) { told = then }
			var got *Response
			d.s.Query(now, "job-1", func(r Response) { got = &r })
			d.answer(store.Result{Revision: 12, Events: []wire.Event{{Put: OpenKey("job-1"), Value: rec(wire.JobPending).KeyValue.Value, Version: 12}}})
			d.open.WaitCurrent(now, 0, func(time.Time, bool) {})
			d.answer(store.Result{Revision: 13, Events: c.meets})
			told(now, Progress{Known: true, Running: 1})
			for _, a := range c.answers {
				d.answer(a)
			}
			if got == nil || got.Status != 200 || got.Body.(wire.JobState).State != c.stage {
				t.Errorf("answered %+v, want %s", got, c.stage)
			}
		})
	}
}
