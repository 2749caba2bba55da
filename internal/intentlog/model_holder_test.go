package intentlog_test

import (
	"math"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// modelHolder is a tenure, which does with its log what a block's holder does.
type modelHolder struct {
	model    *model
	token    uint64
	tenure   wire.Compare
	log      *intentlog.Log
	loaded   bool
	lost     bool // it knows that it was replaced
	began    int64
	entering []*enterOperation
}

// enterOperation is an entry whose outcome its holder does not know yet.
type enterOperation struct {
	host string
	at   int64
	open bool
}

func (h *modelHolder) call(c store.Call, then func(now time.Time, r store.Result)) {
	h.model.calls = append(h.model.calls, &stateCall{h, c, then})
}

func (h *modelHolder) act() {
	m := h.model
	switch {
	case h.lost:
	case !h.loaded:
		h.load()
	default:
		switch m.choose("holder's action", 5) {
		case 0:
			h.enter(m.someHost())
		case 1:
			h.giveWork(m.someHost())
		case 2, 3:
			h.send()
		default:
			h.tick()
		}
	}
}

func (h *modelHolder) tick() {
	h.model.clk.RunUntil(h.model.now().Add(300 * time.Millisecond))
	h.log.Tick(h.model.now())
}

// load reads the log and plans on it.
func (h *modelHolder) load() {
	m := h.model
	var items []wire.KeyValue
	m.state.Call(store.Call{Op: store.OpList, Prefix: intentlog.LogPrefix(0)}, func(r store.Result) { items = r.KeyValues })
	h.loaded = true
	found := m.stored()
	for _, host := range m.hosts {
		if h != m.holders[len(m.holders)-1] {
			break // replaced since: what it reads may be newer than its tenure
		}
		_, there := found[host]
		m.record(host, h.began, m.step, operation{takeOver, h.token, host}, outcome{known: true, entered: there})
	}
	if m.fault == ignoresInherited {
		items = nil
	}
	h.log.Load(m.now(), items)
	for _, a := range h.log.Recovered(intentlog.Deprovision) {
		if !m.machines[a.Target].exists {
			h.log.Complete(m.now(), a, "gone already")
			h.forget(a)
		}
	}
}

// reaches sends a machine something under the holder's token. One that has seen a higher
// token refuses it, which tells the holder that it was replaced.
func (h *modelHolder) reaches(host string) bool {
	machine := h.model.machines[host]
	if machine.seen > h.token {
		h.lost = true
		return false
	}
	machine.seen = h.token
	return machine.exists
}

func (h *modelHolder) enter(host string) {
	m := h.model
	if h.log.Get(intentlog.Deprovision, host) != nil || !h.reaches(host) || m.machines[host].work != 0 {
		return
	}
	h.log.Record(m.now(), intentlog.Deprovision, host, "idle")
	h.entering = append(h.entering, &enterOperation{host, m.step, true})
	if m.fault == sendsEarly {
		m.deletes = append(m.deletes, &deleteCall{host: host})
	}
}

// giveWork starts work on a machine that is not given up.
func (h *modelHolder) giveWork(host string) {
	machine := h.model.machines[host]
	if h.log.Get(intentlog.Deprovision, host) != nil || !h.reaches(host) || machine.work != 0 {
		return
	}
	machine.work = h.token
	if e := h.model.entered[host]; e != 0 && e < h.token {
		h.model.breaks("%s gets work under token %d, entered under %d", host, h.token, e)
	}
}

// send calls the cloud for what is ready.
func (h *modelHolder) send() {
	for _, a := range h.log.Ready(intentlog.Deprovision) {
		if h.log.StartCall(h.model.now(), a) {
			h.model.deletes = append(h.model.deletes, &deleteCall{h, a, a.Target})
		}
	}
}

func (h *modelHolder) answered(a *intentlog.Intent, o intentlog.Outcome) {
	h.log.FinishCall(h.model.now(), a, o)
	if o == intentlog.Unknown && h.model.fault == forgetsUnanswered {
		h.log.Complete(h.model.now(), a, "not answered")
		h.forget(a)
	}
	if a.State() == intentlog.Completed {
		h.forget(a)
	}
}

func (h *modelHolder) forget(a *intentlog.Intent) {
	h.model.record(a.Target, h.model.step, math.MaxInt64, operation{settle, h.token, a.Target}, outcome{})
	h.log.Forget(a)
}
