package integration

import (
	"sync"
	"time"
)

// moment is when a gate holds a call.
type moment int

const (
	onTheWay moment = iota // it has been sent and not carried out
	answered               // it has been carried out, and its answer is on the way back
)

// gate holds one call that a test waits for. The zero gate lets everything pass.
type gate struct {
	lock sync.Mutex
	want func(call any) bool // nil: nothing is waited for
	at   moment
	held *heldCall
}

// heldCall is a call that is held at a gate.
type heldCall struct {
	caught   chan struct{} // closed when it is there
	released chan struct{} // closed to let it go on
}

// hold has the next call that is wanted held.
func (g *gate) hold(at moment, want func(call any) bool) *heldCall {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.want, g.at = want, at
	g.held = &heldCall{caught: make(chan struct{}), released: make(chan struct{})}
	return g.held
}

// pass holds a call if it is the one waited for.
func (g *gate) pass(at moment, call any) {
	g.lock.Lock()
	if g.want == nil || g.at != at || !g.want(call) {
		g.lock.Unlock()
		return
	}
	held := g.held
	g.want = nil
	g.lock.Unlock()
	close(held.caught)
	<-held.released
}

// wait waits until the call is there, and tells whether it came in time.
func (h *heldCall) wait(most time.Duration) bool {
	select {
	case <-h.caught:
		return true
	case <-time.After(most):
		return false
	}
}

func (h *heldCall) release() { close(h.released) }
