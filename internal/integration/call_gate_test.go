package integration

import (
	"sync"
	"time"
)

// callPhase is when a gate holds a call.
type callPhase int

const (
	beforeCall callPhase = iota // it has been sent and not carried out
	afterCall                   // it has been carried out, and its answer is on the way back
)

// callGate holds one call that a test waits for. The zero gate lets everything pass.
type callGate struct {
	mutex sync.Mutex
	want  func(call any) bool // nil: nothing is waited for
	phase callPhase           // at which the call is held
	call  *heldCall
}

// heldCall is a call that is held at a gate.
type heldCall struct {
	reached  chan struct{} // closed when it is there
	released chan struct{} // closed to let it go on
}

// hold has the next call that is wanted held.
func (g *callGate) hold(phase callPhase, want func(call any) bool) *heldCall {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.want, g.phase = want, phase
	g.call = &heldCall{reached: make(chan struct{}), released: make(chan struct{})}
	return g.call
}

// pass holds a call if it is the one waited for.
func (g *callGate) pass(phase callPhase, call any) {
	g.mutex.Lock()
	if g.want == nil || g.phase != phase || !g.want(call) {
		g.mutex.Unlock()
		return
	}
	held := g.call
	g.want = nil
	g.mutex.Unlock()
	close(held.reached)
	<-held.released
}

// wait waits until the call is there, and reports whether it came in time.
func (h *heldCall) wait(timeout time.Duration) bool {
	select {
	case <-h.reached:
		return true
	case <-time.After(timeout):
		return false
	}
}

// release lets the call go on.
func (h *heldCall) release() { close(h.released) }
