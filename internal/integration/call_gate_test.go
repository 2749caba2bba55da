package integration

import (
	"fmt"
	"sync"
	"time"
)

// callPhase is the phase of a call in which a gate blocks it.
type callPhase int

const (
	beforeCall callPhase = iota // the call was received and not executed
	afterCall                   // the call was executed, and its reply is not sent
)

// callGate blocks one matching call until a test releases it. The zero value blocks no call.
type callGate struct {
	mutex sync.Mutex
	want  func(call any) bool // nil if no call is to be blocked
	phase callPhase           // in which the call is blocked
	call  *heldCall
}

// heldCall is a call that a gate blocks.
type heldCall struct {
	call     any           // nil before the call arrives at the gate
	reached  chan struct{} // closed when the call arrives at the gate
	released chan struct{} // closed to unblock the call
}

// hold blocks the next matching call. It replaces an earlier hold that has not matched.
func (g *callGate) hold(phase callPhase, want func(call any) bool) *heldCall {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.want, g.phase = want, phase
	g.call = &heldCall{reached: make(chan struct{}), released: make(chan struct{})}
	return g.call
}

// pass blocks until the call is released if it matches, and returns at once otherwise.
func (g *callGate) pass(phase callPhase, call any) {
	g.mutex.Lock()
	if g.want == nil || g.phase != phase || !g.want(call) {
		g.mutex.Unlock()
		return
	}
	held := g.call
	held.call = call
	g.want = nil
	g.mutex.Unlock()
	close(held.reached)
	<-held.released
}

// describe returns the state of the latest hold.
func (g *callGate) describe() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.call == nil {
		return "unused"
	}
	if g.call.call == nil {
		return "waits for a call"
	}
	return fmt.Sprintf("blocks or has released %+v", g.call.call)
}

// wait blocks until the call arrives at the gate, and reports whether it arrived before the timeout.
func (h *heldCall) wait(timeout time.Duration) bool {
	select {
	case <-h.reached:
		return true
	case <-time.After(timeout):
		return false
	}
}

// release unblocks the call. It must be called at most once.
func (h *heldCall) release() { close(h.released) }
