package intentlog_test

import (
	"io"
	"log/slog"
	"math"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// modelOwner is a term of the shard, which uses its log as a shard's owner does.
type modelOwner struct {
	model      *model
	token      uint64
	log        *intentlog.Log
	loaded     bool
	superseded bool // it knows that a later term has started
	startedAt  int64
	recording  []*pendingRecord
}

// pendingRecord is an entry that an owner has written.
type pendingRecord struct {
	machineID    string
	startedAt    int64
	outcomeKnown bool // the owner knows that it is durable
}

func (p *pendingRecord) operation(owner *modelOwner) historyOperation {
	return historyOperation{kind: recordOperation, token: owner.token, machineID: p.machineID}
}

func newModelOwner(m *model, token uint64, termCompare wire.Compare) *modelOwner {
	owner := &modelOwner{model: m, token: token, startedAt: m.step}
	owner.log = intentlog.NewLog(intentlog.Options{
		Token:       token,
		TermCompare: termCompare,
		ValueKB:     1,
		StateCall:   owner.callState,
		WallClock:   m.now,
		Log:         slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnTermLost:  func(time.Time) { owner.superseded = true },
	})
	owner.log.EnableDurability()
	return owner
}

func (o *modelOwner) callState(call store.Call, reply func(now time.Time, result store.Result)) {
	c := &stateCall{owner: o, call: call, reply: reply}
	o.model.inFlight.stateCalls = append(o.model.inFlight.stateCalls, c)
}

// act does one thing, drawn by its weight.
func (o *modelOwner) act() {
	if o.superseded {
		return
	}
	if !o.loaded {
		o.load()
		return
	}
	switch o.model.choose("owner's action", 5) {
	case 0:
		o.record(o.model.chooseMachine())
	case 1:
		o.startWork(o.model.chooseMachine())
	case 2, 3:
		o.sendReady()
	default:
		o.tick()
	}
}

func (o *modelOwner) tick() {
	o.model.clock.RunUntil(o.model.now().Add(300 * time.Millisecond))
	o.log.Tick(o.model.now())
}

// load recovers the log.
func (o *modelOwner) load() {
	m := o.model
	var pages []wire.KeyValue
	list := store.Call{Op: store.OpList, Prefix: intentlog.ShardPrefix(0)}
	m.state.Call(list, func(result store.Result) { pages = result.KeyValues })
	o.loaded = true
	// An owner that is superseded already may read entries of a later term. It may not act on
	// them, so its read is no part of the history.
	if o == m.presentOwner() {
		o.addLoadToHistory()
	}
	if m.fault == ignoresRecovered {
		pages = nil
	}
	o.log.Load(pages)
	for _, intent := range o.log.Recovered(intentlog.Deprovision) {
		if !m.machines[intent.Target].exists {
			o.log.Complete(intent, "deleted already")
			o.forget(intent)
		}
	}
}

func (o *modelOwner) addLoadToHistory() {
	stored := o.model.storedTokens()
	for _, machineID := range o.model.machineIDs {
		_, found := stored[machineID]
		operation := historyOperation{kind: failoverOperation, token: o.token, machineID: machineID}
		o.model.addToHistory(operation, o.startedAt, o.model.step, operationResult{known: true, entryFound: found})
	}
}

// contact sends a command to a machine under the owner's token, and reports whether the machine
// executed it. One that has seen a higher token rejects it, which shows the owner that it was
// superseded.
func (o *modelOwner) contact(machineID string) bool {
	machine := o.model.machines[machineID]
	if machine.highestToken > o.token {
		o.superseded = true
		return false
	}
	machine.highestToken = o.token
	return machine.exists
}

// record decides to delete a machine, if it has no work.
func (o *modelOwner) record(machineID string) {
	m := o.model
	if !o.idle(machineID) {
		return
	}
	o.log.Record(m.now(), intentlog.Deprovision, machineID, "idle")
	o.recording = append(o.recording, &pendingRecord{machineID: machineID, startedAt: m.step})
	if m.fault == callsEarly {
		m.inFlight.deletions = append(m.inFlight.deletions, &deletion{machineID: machineID})
	}
}

// startWork starts work on a machine that has neither work nor an intent.
func (o *modelOwner) startWork(machineID string) {
	if !o.idle(machineID) {
		return
	}
	o.model.machines[machineID].workToken = o.token
	o.model.checkWorkStart(machineID, o.token)
}

// idle asks a machine for which there is no intent whether it has work.
func (o *modelOwner) idle(machineID string) bool {
	if o.log.Get(intentlog.Deprovision, machineID) != nil || !o.contact(machineID) {
		return false
	}
	return o.model.machines[machineID].workToken == 0
}

// sendReady calls the cloud for all intents that are ready.
func (o *modelOwner) sendReady() {
	for _, intent := range o.log.Ready(intentlog.Deprovision) {
		if o.log.StartCall(intent) {
			d := &deletion{owner: o, intent: intent, machineID: intent.Target}
			o.model.inFlight.deletions = append(o.model.inFlight.deletions, d)
		}
	}
}

func (o *modelOwner) finishCall(intent *intentlog.Intent, outcome intentlog.Outcome) {
	o.log.FinishCall(intent, outcome)
	if outcome == intentlog.Unknown && o.model.fault == forgetsUnanswered {
		o.log.Complete(intent, "not answered")
		o.forget(intent)
	}
	if intent.State() == intentlog.Completed {
		o.forget(intent)
	}
}

func (o *modelOwner) forget(intent *intentlog.Intent) {
	operation := historyOperation{kind: completeOperation, token: o.token, machineID: intent.Target}
	o.model.addToHistory(operation, o.model.step, math.MaxInt64, operationResult{})
	o.log.Forget(intent)
}
