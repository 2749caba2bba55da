package store

import (
	"testing"
	"time"
)

// pendingCalls provides a Caller that queues the calls until the test replies to them.
type pendingCalls struct {
	calls []Call
	done  []func(time.Time, Result)
}

func (h *pendingCalls) call(call Call, done func(time.Time, Result)) {
	h.calls, h.done = append(h.calls, call), append(h.done, done)
}

// reply completes the oldest call with a result and returns the call.
func (h *pendingCalls) reply(t *testing.T, result Result) Call {
	t.Helper()
	if len(h.done) == 0 {
		t.Fatal("no call is pending")
	}
	call, done := h.calls[0], h.done[0]
	h.calls, h.done = h.calls[1:], h.done[1:]
	done(time.Unix(0, 0), result)
	return call
}
