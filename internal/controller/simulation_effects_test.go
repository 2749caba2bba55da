package controller

import (
	"juniperchute/internal/fakes"
)

// effect is a sort of effect just before which a process may freeze.
type effect string

const (
	anyEffect     effect = ""
	stateEffect   effect = "state"
	cloudEffect   effect = "cloud"
	deleteEffect  effect = "delete"
	commandEffect effect = "command"
	queryEffect   effect = "query"
)

// machineAddressPrefix stands before a machine's name in its address.
const machineAddressPrefix = "addr-"

// simulatedEffects carries out the effects of one process.
type simulatedEffects struct {
	node          *simulatedNode
	processNumber int
}

// current reports whether the process still runs: what an ended one waits for is void.
func (e *simulatedEffects) current() bool {
	return e.node.alive && e.node.processNumber == e.processNumber
}

// deferIfFrozen reports whether the process is frozen just before an effect; carryOut does it
// afterwards.
func (e *simulatedEffects) deferIfFrozen(at effect, carryOut func()) bool {
	n := e.node
	now := n.sim.clock.Now()
	if n.freezeFor > 0 && (n.freezeAt == anyEffect || n.freezeAt == at) {
		n.frozenUntil, n.freezeFor = now.Add(n.freezeFor), 0
	}
	if !now.Before(n.frozenUntil) {
		return false
	}
	n.whenRunning(carryOut)
	return true
}

// checkLeaseValid checks that whatever changes a machine's tasks is done with the lease.
func (e *simulatedEffects) checkLeaseValid(what string) {
	sim, member := e.node.sim, e.node.name
	membership := e.node.controller.membership
	if !membership.LeaseValid(sim.clock.Now()) {
		deadline := membership.LeaseDeadline().Sub(fakes.Epoch)
		sim.addViolation("%s: %s past its lease's end at %v", member, what, deadline)
	}
}
