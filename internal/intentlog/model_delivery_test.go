package intentlog_test

import (
	"slices"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
)

// inFlight holds the messages that have been sent and not been delivered.
type inFlight struct {
	stateCalls []*stateCall
	deletions  []*deletion
}

// stateCall is a call of the state service.
type stateCall struct {
	holder *modelHolder // nil if the caller has timed out
	call   store.Call
	reply  func(now time.Time, result store.Result)
}

func (c *stateCall) answer(now time.Time, result store.Result) {
	if c.holder != nil {
		c.reply(now, result)
	}
}

// deletion is a call of the cloud to delete a machine.
type deletion struct {
	holder    *modelHolder // nil if the caller has timed out
	intent    *intentlog.Intent
	machineID string
}

func (d *deletion) answer(outcome intentlog.Outcome) {
	if d.holder != nil {
		d.holder.finishCall(d.intent, outcome)
	}
}

// deliveryOutcomes is the number of equally likely outcomes of a message. Outcomes above the named
// ones are successful deliveries.
const deliveryOutcomes = 10

// stateCallOutcome is the outcome of sending a call to the state service.
type stateCallOutcome int

const (
	stateCallRejected stateCallOutcome = iota
	stateCallLost
	stateReplyLost
	stateCallDelayed // executed after the caller has timed out
	stateCallDelivered
)

// deletionOutcome is the outcome of sending a deletion to the cloud.
type deletionOutcome int

const (
	deletionRejected deletionOutcome = iota
	deletionLost
	deletionReplyLost
	deletionDelayed
	deletionDuplicated // executed at once, and again later
	deletionDelivered
)

func (m *model) deliverStateCall(i int, outcome stateCallOutcome) {
	c := m.inFlight.stateCalls[i]
	m.inFlight.stateCalls = slices.Delete(m.inFlight.stateCalls, i, i+1)
	noResponse := store.Result{Err: store.ErrNoResponse}
	switch outcome {
	case stateCallRejected:
		c.answer(m.now(), store.Result{Err: store.ErrThrottled})
	case stateCallLost:
		c.answer(m.now(), noResponse)
	case stateReplyLost:
		m.executeStateCall(c.call, func(store.Result) {})
		c.answer(m.now(), noResponse)
	case stateCallDelayed:
		c.answer(m.now(), noResponse)
		m.inFlight.stateCalls = append(m.inFlight.stateCalls, &stateCall{call: c.call})
	default:
		m.executeStateCall(c.call, func(result store.Result) { c.answer(m.now(), result) })
	}
}

func (m *model) executeStateCall(call store.Call, reply func(store.Result)) {
	m.state.Call(call, reply)
	m.observeStored()
}

func (m *model) deliverDeletion(i int, outcome deletionOutcome) {
	d := m.inFlight.deletions[i]
	m.inFlight.deletions = slices.Delete(m.inFlight.deletions, i, i+1)
	late := &deletion{machineID: d.machineID}
	switch outcome {
	case deletionRejected:
		d.answer(intentlog.NotExecuted)
	case deletionLost:
		d.answer(intentlog.Unknown)
	case deletionReplyLost:
		m.executeDeletion(d.machineID)
		d.answer(intentlog.Unknown)
	case deletionDelayed:
		m.inFlight.deletions = append(m.inFlight.deletions, late)
		d.answer(intentlog.Unknown)
	case deletionDuplicated:
		m.executeDeletion(d.machineID)
		m.inFlight.deletions = append(m.inFlight.deletions, late)
		d.answer(intentlog.Done)
	default:
		m.executeDeletion(d.machineID)
		d.answer(intentlog.Done)
	}
}

// executeDeletion deletes a machine in the cloud. A repeat has no effect.
func (m *model) executeDeletion(machineID string) {
	machine := m.machines[machineID]
	if !machine.exists {
		return
	}
	machine.exists = false
	m.checkDeletion(machineID)
}

// deliverAll delivers all messages without faults, including those sent meanwhile.
func (m *model) deliverAll() {
	for len(m.inFlight.stateCalls) > 0 {
		m.deliverStateCall(0, stateCallDelivered)
	}
	for len(m.inFlight.deletions) > 0 {
		m.deliverDeletion(0, deletionDelivered)
	}
}
