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

func (p *pendingCalls) call(call Call, done func(time.Time, Result)) {
	p.calls, p.done = append(p.calls, call), append(p.done, done)
}

// reply completes the oldest call with a result and returns the call.
func (p *pendingCalls) reply(t *testing.T, result Result) Call {
	t.Helper()
	if len(p.done) == 0 {
		t.Fatal("no call is pending")
	}
	call, done := p.calls[0], p.done[0]
	p.calls, p.done = p.calls[1:], p.done[1:]
	done(time.Unix(0, 0), result)
	return call
}
