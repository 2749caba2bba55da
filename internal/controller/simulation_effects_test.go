package controller

import (
	"juniperchute/internal/fakes"
)

// effect names a kind of I/O operation before which a process can freeze.
type effect string

const (
	anyEffect     effect = ""
	stateEffect   effect = "state"
	cloudEffect   effect = "cloud"
	deleteEffect  effect = "delete"
	commandEffect effect = "command"
	queryEffect   effect = "query"
)

// machineAddressPrefix precedes the name of a machine in its address.
const machineAddressPrefix = "addr-"

// simulatedEffects implements Effects for one process of a controller. It drops the results that
// arrive after the process has ended.
type simulatedEffects struct {
	node          *simulatedNode
	processNumber int
}

// current reports whether the process still runs.
func (e *simulatedEffects) current() bool {
	return e.node.alive && e.node.processNumber == e.processNumber
}

// deferIfFrozen reports whether the process is frozen before an effect of the given kind. If so,
// it schedules resume for the end of the freeze. It starts the freeze that freezeFor and freezeAt request.
func (e *simulatedEffects) deferIfFrozen(kind effect, resume func()) bool {
	n := e.node
	now := n.sim.clock.Now()
	if n.freezeFor > 0 && (n.freezeAt == anyEffect || n.freezeAt == kind) {
		n.frozenUntil, n.freezeFor = now.Add(n.freezeFor), 0
	}
	if !now.Before(n.frozenUntil) {
		return false
	}
	n.whenRunning(resume)
	return true
}

// checkLeaseValid adds a violation if the controller performs an action on machines or tasks without
// a valid lease of its membership.
func (e *simulatedEffects) checkLeaseValid(action string) {
	sim, member := e.node.sim, e.node.name
	membership := e.node.controller.membership
	if !membership.LeaseValid(sim.clock.Now()) {
		deadline := membership.LeaseDeadline().Sub(fakes.Epoch)
		sim.addViolation("%s %s after the expiry of its lease at %v", member, action, deadline)
	}
}
