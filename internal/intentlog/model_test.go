package intentlog_test

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/standin"
	"juniperchute/internal/store"
)

// choice draws a number below n; the label says what for.
type choice func(label string, n int) int

// plantedFault is a mistake that a holder makes on purpose, for tests of the checks.
type plantedFault int

const (
	noFault           plantedFault = iota
	sendsEarly                     // calls are made before the entry is durable
	ignoresInherited               // what earlier tenures entered is not looked at
	forgetsUnanswered              // an action whose call was not answered is forgotten
	writesUnfenced                 // writes are not conditioned on the tenure
)

const (
	blockKey   = "c/b/0"
	otherKey   = "c/other" // a record that never changes
	modelHosts = 4
	mostTenure = 6
)

// model is a block whose holders come and go, with all messages held until they are
// delivered, lost, repeated or delivered late. Any holder may act at any time, whether it
// was replaced or not: that covers every pause.
type model struct {
	choose   choice
	fault    plantedFault
	clk      *standin.Clock
	state    *standin.StateService
	machines map[string]*modelMachine
	hosts    []string
	holders  []*modelHolder
	calls    []*stateCall
	deletes  []*deleteCall
	entered  map[string]uint64 // tokens of the entries that were ever durable
	broken   []string
	history  []porcupine.Operation
	step     int64
}

// modelMachine is a machine as it is.
type modelMachine struct {
	exists bool
	seen   uint64 // the highest token it has seen
	work   uint64 // the token under which its work was started; 0: it has none
}

type stateCall struct {
	holder *modelHolder // nil: nobody waits for the answer any more
	call   store.Call
	then   func(now time.Time, r store.Result)
}

type deleteCall struct {
	holder *modelHolder // nil: nobody waits for the answer any more
	action *intentlog.Intent
	host   string
}

func newModel(choose choice, fault plantedFault) *model {
	clk := standin.NewClock(standin.Epoch)
	m := &model{choose: choose, fault: fault, clk: clk, state: standin.NewStateService(clk, rand.New(rand.NewPCG(1, 1))),
		machines: map[string]*modelMachine{}, entered: map[string]uint64{}}
	m.state.Put(otherKey, []byte("{}"))
	for i := range modelHosts {
		host := fmt.Sprintf("i-%d", i)
		m.hosts = append(m.hosts, host)
		m.machines[host] = &modelMachine{exists: true}
	}
	m.takeOver()
	return m
}

func (m *model) now() time.Time { return m.clk.Now() }

func (m *model) breaks(format string, args ...any) {
	m.broken = append(m.broken, fmt.Sprintf(format, args...))
}

// stored is the log as the state service has it.
func (m *model) stored() map[string]uint64 {
	out := map[string]uint64{}
	for key, it := range m.state.Keys {
		if len(key) > len(intentlog.Prefix) && key[:len(intentlog.Prefix)] == intentlog.Prefix {
			entries, err := intentlog.ReadPage(it.Value)
			if err != nil {
				m.breaks("page %s: %v", key, err)
			}
			for _, e := range entries {
				out[e.Target] = e.Token
			}
		}
	}
	return out
}

// takeOver gives the block to a new holder, which has still to read the log.
func (m *model) takeOver() {
	token := uint64(len(m.holders) + 1)
	m.state.Put(blockKey, fmt.Appendf(nil, `{"Baton":%d}`, token))
	h := &modelHolder{model: m, token: token, began: m.step}
	h.tenure = store.VersionEquals(blockKey, m.state.Revision)
	if m.fault == writesUnfenced {
		h.tenure = store.VersionEquals(otherKey, m.state.Keys[otherKey].Version)
	}
	h.log = intentlog.NewLog(intentlog.Options{Token: token, TermCompare: h.tenure, ValueKB: 1, StateCall: h.call, WallClock: m.now,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), OnTermLost: func(time.Time) { h.lost = true }})
	h.log.EnableDurability()
	m.holders = append(m.holders, h)
}

// deliverState lets something happen to a call of the state service.
func (m *model) deliverState(i, fate int) {
	c := m.calls[i]
	m.calls = slices.Delete(m.calls, i, i+1)
	execute := func(reply func(store.Result)) {
		m.state.Call(c.call, reply)
		for host, token := range m.stored() {
			m.entered[host] = token
		}
	}
	answer := func(r store.Result) {
		if c.holder != nil {
			c.then(m.now(), r)
		}
	}
	nobody := func(store.Result) {}
	switch fate {
	case 0:
		answer(store.Result{Err: store.ErrThrottled})
	case 1: // lost
		answer(store.Result{Err: store.ErrNoResponse})
	case 2: // the answer is lost
		execute(nobody)
		answer(store.Result{Err: store.ErrNoResponse})
	case 3: // it comes late, when nobody waits for it
		answer(store.Result{Err: store.ErrNoResponse})
		m.calls = append(m.calls, &stateCall{call: c.call})
	default:
		execute(answer)
	}
}

// deliverDelete lets something happen to a deletion.
func (m *model) deliverDelete(i, fate int) {
	c := m.deletes[i]
	m.deletes = slices.Delete(m.deletes, i, i+1)
	late := &deleteCall{host: c.host}
	answer := func(o intentlog.Outcome) {
		if c.holder != nil {
			c.holder.answered(c.action, o)
		}
	}
	switch fate {
	case 0:
		answer(intentlog.NotExecuted)
	case 1: // lost
		answer(intentlog.Unknown)
	case 2: // the answer is lost
		m.execute(c.host)
		answer(intentlog.Unknown)
	case 3: // it comes late
		m.deletes = append(m.deletes, late)
		answer(intentlog.Unknown)
	case 4: // it is carried out, and a repeat comes late
		m.execute(c.host)
		m.deletes = append(m.deletes, late)
		answer(intentlog.Done)
	default:
		m.execute(c.host)
		answer(intentlog.Done)
	}
}

// execute is the cloud's deletion of a machine; a repeat does nothing.
func (m *model) execute(host string) {
	machine := m.machines[host]
	if !machine.exists {
		return
	}
	machine.exists = false
	switch _, open := m.stored()[host]; {
	case m.entered[host] == 0:
		m.breaks("%s is deleted and was never entered", host)
	case !open:
		m.breaks("%s is deleted after its entry was settled", host)
	case machine.work != 0:
		m.breaks("%s is deleted with work of token %d, entered under %d", host, machine.work, m.entered[host])
	}
}

// act has something happen.
func (m *model) act() {
	m.step++
	switch m.choose("action", 9) {
	case 0:
		if len(m.holders) < mostTenure && m.choose("takeover", 3) == 0 {
			m.takeOver()
		}
	case 1, 2:
		if n := len(m.calls); n > 0 {
			m.deliverState(m.choose("call", n), m.choose("fate", 10))
		}
	case 3:
		if n := len(m.deletes); n > 0 {
			m.deliverDelete(m.choose("deletion", n), m.choose("fate", 10))
		}
	case 4:
		m.machines[m.someHost()].work = 0 // it has ended
	default:
		m.holders[m.choose("holder", len(m.holders))].act()
	}
	m.observe()
}

func (m *model) someHost() string { return m.hosts[m.choose("machine", len(m.hosts))] }

// observe notes which entries their holders know to be durable.
func (m *model) observe() {
	for _, h := range m.holders {
		for _, o := range h.entering {
			if a := h.log.Get(intentlog.Deprovision, o.host); o.open && a != nil && a.State() != intentlog.Recording {
				o.open = false
				m.record(o.host, o.at, m.step, operation{enter, h.token, o.host}, known)
			}
		}
	}
}

// finish ends all faults: the newest holder completes whatever was entered.
func (m *model) finish() {
	const rounds = 60
	h := m.holders[len(m.holders)-1]
	if h.lost {
		m.takeOver()
		h = m.holders[len(m.holders)-1]
	}
	for range rounds {
		m.step++
		for len(m.calls) > 0 {
			m.deliverState(0, math.MaxInt)
		}
		for len(m.deletes) > 0 {
			m.deliverDelete(0, math.MaxInt)
		}
		if !h.loaded {
			h.load()
		}
		h.tick()
		for len(h.log.Ready(intentlog.Deprovision)) > 0 {
			h.send()
		}
		m.observe()
	}
	for host := range m.entered {
		if m.machines[host].exists {
			m.breaks("%s was entered and is still there", host)
		}
	}
	if left := m.stored(); len(left) > 0 && m.fault != ignoresInherited {
		m.breaks("entries are left in the log: %v", left)
	}
	m.closeHistory()
}
