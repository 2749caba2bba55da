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

// modelHolder is the lease holder of one term. It uses its log as the term of a controller does.
type modelHolder struct {
	model      *model
	token      uint64
	log        *intentlog.Log
	loaded     bool
	superseded bool // the holder knows that a later term has started
	startedAt  int64
	recording  []*pendingRecord
}

// pendingRecord is an entry whose write a holder has started.
type pendingRecord struct {
	machineID    string
	startedAt    int64
	outcomeKnown bool // the holder knows that the entry is durable
}

func (p *pendingRecord) operation(holder *modelHolder) historyOperation {
	return historyOperation{kind: recordOperation, token: holder.token, machineID: p.machineID}
}

func newModelHolder(m *model, token uint64, termCompare wire.Compare) *modelHolder {
	holder := &modelHolder{model: m, token: token, startedAt: m.step}
	holder.log = intentlog.NewLog(intentlog.Options{
		Token:       token,
		TermCompare: termCompare,
		ValueKB:     1,
		StateCall:   holder.callState,
		WallClock:   m.now,
		Log:         slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnTermLost:  func(time.Time) { holder.superseded = true },
	})
	holder.log.EnableDurability()
	return holder
}

func (h *modelHolder) callState(call store.Call, reply func(now time.Time, result store.Result)) {
	c := &stateCall{holder: h, call: call, reply: reply}
	h.model.inFlight.stateCalls = append(h.model.inFlight.stateCalls, c)
}

// randomAction executes an action, drawn by its weight.
func (h *modelHolder) randomAction() {
	if h.superseded {
		return
	}
	if !h.loaded {
		h.load()
		return
	}
	switch h.model.choose("holder's action", 5) {
	case 0:
		h.record(h.model.chooseMachine())
	case 1:
		h.startWork(h.model.chooseMachine())
	case 2, 3:
		h.callReady()
	default:
		h.tick()
	}
}

func (h *modelHolder) tick() {
	h.model.clock.RunUntil(h.model.now().Add(300 * time.Millisecond))
	h.log.Tick(h.model.now())
}

// load recovers the log from the state service.
func (h *modelHolder) load() {
	m := h.model
	var pages []wire.KeyValue
	list := store.Call{Op: store.OpList, Prefix: intentlog.ShardPrefix(0)}
	m.state.Call(list, func(result store.Result) { pages = result.KeyValues })
	h.loaded = true
	// A superseded holder may read entries of a later term. It may not act on them, so its read does
	// not belong to the history.
	if h == m.currentHolder() {
		h.addLoadToHistory()
	}
	if m.fault == skipsRecovery {
		pages = nil
	}
	h.log.Load(pages)
	for _, intent := range h.log.Recovered(intentlog.Deprovision) {
		if !m.machines[intent.Target].exists {
			h.log.Complete(intent, "deleted already")
			h.forget(intent)
		}
	}
}

func (h *modelHolder) addLoadToHistory() {
	stored := h.model.storedTokens()
	for _, machineID := range h.model.machineIDs {
		_, found := stored[machineID]
		operation := historyOperation{kind: failoverOperation, token: h.token, machineID: machineID}
		h.model.addToHistory(operation, h.startedAt, h.model.step, operationResult{known: true, entryFound: found})
	}
}

// contact sends a command under the holder's token and reports whether the machine executed it. A
// machine that has seen a higher token rejects it, which tells the holder that it is superseded.
func (h *modelHolder) contact(machineID string) bool {
	machine := h.model.machines[machineID]
	if machine.highestToken > h.token {
		h.superseded = true
		return false
	}
	machine.highestToken = h.token
	return machine.exists
}

// record records the intent to delete a machine if the machine has no work.
func (h *modelHolder) record(machineID string) {
	m := h.model
	if !h.idle(machineID) {
		return
	}
	h.log.Record(m.now(), intentlog.Deprovision, machineID, "idle")
	h.recording = append(h.recording, &pendingRecord{machineID: machineID, startedAt: m.step})
	if m.fault == callsBeforeDurable {
		m.inFlight.deletions = append(m.inFlight.deletions, &deletion{machineID: machineID})
	}
}

// startWork starts work on a machine without work or intent.
func (h *modelHolder) startWork(machineID string) {
	if !h.idle(machineID) {
		return
	}
	h.model.machines[machineID].workToken = h.token
	h.model.checkWorkStart(machineID, h.token)
}

// idle reports whether a machine without an intent answers that it has no work.
func (h *modelHolder) idle(machineID string) bool {
	if h.log.Get(intentlog.Deprovision, machineID) != nil || !h.contact(machineID) {
		return false
	}
	return h.model.machines[machineID].workToken == 0
}

// callReady sends a deletion to the cloud for each intent that is ready.
func (h *modelHolder) callReady() {
	for _, intent := range h.log.Ready(intentlog.Deprovision) {
		if h.log.StartCall(intent) {
			d := &deletion{holder: h, intent: intent, machineID: intent.Target}
			h.model.inFlight.deletions = append(h.model.inFlight.deletions, d)
		}
	}
}

func (h *modelHolder) finishCall(intent *intentlog.Intent, outcome intentlog.Outcome) {
	h.log.FinishCall(intent, outcome)
	if outcome == intentlog.Unknown && h.model.fault == forgetsUnknown {
		h.log.Complete(intent, "not answered")
		h.forget(intent)
	}
	if intent.State() == intentlog.Completed {
		h.forget(intent)
	}
}

func (h *modelHolder) forget(intent *intentlog.Intent) {
	operation := historyOperation{kind: completeOperation, token: h.token, machineID: intent.Target}
	h.model.addToHistory(operation, h.model.step, math.MaxInt64, operationResult{})
	h.log.Forget(intent)
}
