package store

import (
	"testing"
	"time"
)

// heldCalls is a Caller that keeps the calls until the test replies to them, in order.
type heldCalls struct {
	calls []Call
	done  []func(time.Time, Result)
}

func (h *heldCalls) call(call Call, done func(time.Time, Result)) {
	h.calls, h.done = append(h.calls, call), append(h.done, done)
}

// reply ends the oldest call with a result and returns the call.
func (h *heldCalls) reply(t *testing.T, result Result) Call {
	t.Helper()
	if len(h.done) == 0 {
		t.Fatal("no call to reply to")
	}
	call, done := h.calls[0], h.done[0]
	h.calls, h.done = h.calls[1:], h.done[1:]
	done(time.Unix(0, 0), result)
	return call
}
