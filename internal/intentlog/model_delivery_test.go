package intentlog_test

import (
	"slices"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
)

// inFlight are the messages that have been sent and not been delivered.
type inFlight struct {
	stateCalls []*stateCall
	deletions  []*deletion
}

// stateCall is a call of the state service.
type stateCall struct {
	owner *modelOwner // nil: nobody waits for the answer any more
	call  store.Call
	reply func(now time.Time, result store.Result)
}

func (c *stateCall) answer(now time.Time, result store.Result) {
	if c.owner != nil {
		c.reply(now, result)
	}
}

// deletion is a call of the cloud to delete a machine.
type deletion struct {
	owner     *modelOwner // nil: nobody waits for the answer any more
	intent    *intentlog.Intent
	machineID string
}

func (d *deletion) answer(outcome intentlog.Outcome) {
	if d.owner != nil {
		d.owner.finishCall(d.intent, outcome)
	}
}

// fates is the number that the fate of a message is drawn from. Those without a name of their
// own are executed and answered.
const fates = 10

// stateCallFate is what becomes of a call of the state service.
type stateCallFate int

const (
	stateCallRefused stateCallFate = iota
	stateCallLost
	stateAnswerLost
	stateCallLate // it comes when nobody waits for it
	stateCallDelivered
)

// deletionFate is what becomes of a deletion.
type deletionFate int

const (
	deletionRefused deletionFate = iota
	deletionLost
	deletionAnswerLost
	deletionLate
	deletionRepeated // it is executed, and a repeat comes late
	deletionDelivered
)

func (m *model) deliverStateCall(i int, fate stateCallFate) {
	c := m.inFlight.stateCalls[i]
	m.inFlight.stateCalls = slices.Delete(m.inFlight.stateCalls, i, i+1)
	noAnswer := store.Result{Err: store.ErrNoResponse}
	switch fate {
	case stateCallRefused:
		c.answer(m.now(), store.Result{Err: store.ErrThrottled})
	case stateCallLost:
		c.answer(m.now(), noAnswer)
	case stateAnswerLost:
		m.executeStateCall(c.call, func(store.Result) {})
		c.answer(m.now(), noAnswer)
	case stateCallLate:
		c.answer(m.now(), noAnswer)
		m.inFlight.stateCalls = append(m.inFlight.stateCalls, &stateCall{call: c.call})
	default:
		m.executeStateCall(c.call, func(result store.Result) { c.answer(m.now(), result) })
	}
}

func (m *model) executeStateCall(call store.Call, reply func(store.Result)) {
	m.state.Call(call, reply)
	m.observeStored()
}

func (m *model) deliverDeletion(i int, fate deletionFate) {
	d := m.inFlight.deletions[i]
	m.inFlight.deletions = slices.Delete(m.inFlight.deletions, i, i+1)
	late := &deletion{machineID: d.machineID}
	switch fate {
	case deletionRefused:
		d.answer(intentlog.NotExecuted)
	case deletionLost:
		d.answer(intentlog.Unknown)
	case deletionAnswerLost:
		m.executeDeletion(d.machineID)
		d.answer(intentlog.Unknown)
	case deletionLate:
		m.inFlight.deletions = append(m.inFlight.deletions, late)
		d.answer(intentlog.Unknown)
	case deletionRepeated:
		m.executeDeletion(d.machineID)
		m.inFlight.deletions = append(m.inFlight.deletions, late)
		d.answer(intentlog.Done)
	default:
		m.executeDeletion(d.machineID)
		d.answer(intentlog.Done)
	}
}

// executeDeletion has the cloud delete a machine; a repeat does nothing.
func (m *model) executeDeletion(machineID string) {
	machine := m.machines[machineID]
	if !machine.exists {
		return
	}
	machine.exists = false
	m.checkDeletion(machineID)
}

// deliverAll delivers all messages without faults, those sent meanwhile included.
func (m *model) deliverAll() {
	for len(m.inFlight.stateCalls) > 0 {
		m.deliverStateCall(0, stateCallDelivered)
	}
	for len(m.inFlight.deletions) > 0 {
		m.deliverDeletion(0, deletionDelivered)
	}
}
