package node

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// clock is simulated time: events run one after the other, in order.
type clock struct {
	now time.Time
	q   eventHeap
	seq int
}

type event struct {
	at  time.Time
	seq int
	f   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (c *clock) in(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.q, event{c.now.Add(d), c.seq, f})
}

func (c *clock) step() {
	e := heap.Pop(&c.q).(event)
	c.now = e.at
	e.f()
}

// stateService is a stand-in for the state service, by the protocol.
type stateService struct {
	clk      *clock
	rng      *rand.Rand
	keys     map[string]wire.Item
	holds    map[uint64]*lease
	revision uint64
	log      []wire.Change
	oldest   uint64 // changes up to here have been forgotten
	next     uint64
	watches  []*watch
	down     bool
	page     int // keys a list shows at most
	limits   struct {
		value, ops int     // 0: none
		writes     float64 // a second; 0: no limit
	}
	spent   float64 // of a second's writes
	spentAt time.Time
	kept    int // changes that are remembered
}

type lease struct {
	life time.Duration
	ends time.Time
}

type watch struct {
	under string
	since uint64
	reply func(store.Result)
}

func newStateService(clk *clock, rng *rand.Rand) *stateService {
	s := &stateService{clk: clk, rng: rng, keys: map[string]wire.Item{}, holds: map[uint64]*lease{},
		page: 25, kept: 400} // few, so that paging and 410 happen
	s.sweep()
	return s
}

// sweep ends leases that were not renewed, up to 100 ms late.
func (s *stateService) sweep() {
	if !s.down {
		var over []uint64
		for id, h := range s.holds {
			if s.clk.now.After(h.ends) {
				over = append(over, id)
			}
		}
		sort.Slice(over, func(i, j int) bool { return over[i] < over[j] })
		for _, id := range over {
			delete(s.holds, id)
			var keys []string
			for k, it := range s.keys {
				if it.Lease == id {
					keys = append(keys, k)
				}
			}
			sort.Strings(keys)
			for _, k := range keys {
				s.revision++
				s.change(wire.Write{Remove: k})
			}
			s.wake()
		}
	}
	s.clk.in(50*time.Millisecond, s.sweep)
}

func (s *stateService) setDown(down bool) {
	if s.down && !down {
		for _, h := range s.holds {
			h.ends = s.clk.now.Add(h.life)
		}
	}
	s.down = down
	s.wake()
}

func (s *stateService) change(w wire.Write) {
	if w.Remove != "" {
		if _, ok := s.keys[w.Remove]; ok {
			delete(s.keys, w.Remove)
			s.log = append(s.log, wire.Change{Remove: w.Remove, Version: s.revision})
		}
	} else {
		s.keys[w.Write] = wire.Item{Path: w.Write, Value: w.Value, Version: s.revision, Lease: w.Lease}
		s.log = append(s.log, wire.Change{Write: w.Write, Value: w.Value, Version: s.revision})
	}
	if len(s.log) > s.kept {
		s.oldest = s.log[s.kept/2].Version
		s.log = append([]wire.Change{}, s.log[s.kept/2+1:]...)
	}
}

func (s *stateService) wake() {
	if s.down {
		return
	}
	var left []*watch
	for _, w := range s.watches {
		if r, ok := s.changes(w.under, w.since); ok {
			w.reply(r)
		} else {
			left = append(left, w)
		}
	}
	s.watches = left
}

func (s *stateService) changes(under string, since uint64) (store.Result, bool) {
	if since < s.oldest {
		return store.Result{Status: 410}, true
	}
	r := store.Result{Status: 200, Revision: s.revision}
	for _, c := range s.log {
		if c.Version > since && strings.HasPrefix(c.Write+c.Remove, under) {
			r.Events = append(r.Events, c)
		}
	}
	return r, len(r.Events) > 0
}

// call executes a call; reply may come later, for watches.
func (s *stateService) call(c store.Call, reply func(store.Result)) {
	if s.down && (c.Op != store.OpChanges || c.WaitMs == 0) {
		reply(store.Result{Status: 503})
		return
	}
	switch c.Op {
	case store.OpGet:
		if it, ok := s.keys[c.Key]; ok {
			reply(store.Result{Status: 200, Item: it})
		} else {
			reply(store.Result{Status: 404, Revision: s.revision})
		}
	case store.OpList:
		var keys []string
		for k := range s.keys {
			if strings.HasPrefix(k, c.Under) && k > c.After {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		r := store.Result{Status: 200, Revision: s.revision}
		for _, k := range keys {
			if len(r.Items) == s.page {
				r.More = true
				break
			}
			r.Items = append(r.Items, s.keys[k])
		}
		reply(r)
	case store.OpGrant:
		s.next++
		s.holds[s.next] = &lease{c.Life, s.clk.now.Add(c.Life)}
		reply(store.Result{Status: 200, Lease: s.next})
	case store.OpTouch:
		h := s.holds[c.Lease]
		if h == nil {
			reply(store.Result{Status: 404})
			return
		}
		h.ends = s.clk.now.Add(h.life)
		reply(store.Result{Status: 200, Lease: c.Lease})
	case store.OpMulti:
		reply(s.multi(c.Multi))
	case store.OpChanges:
		if r, ok := s.changes(c.Under, c.Since); (ok || c.WaitMs == 0) && !s.down {
			reply(r)
			return
		}
		w := &watch{c.Under, c.Since, reply}
		s.watches = append(s.watches, w)
		s.clk.in(time.Duration(c.WaitMs)*time.Millisecond, func() {
			for i, o := range s.watches {
				if o == w {
					s.watches = append(s.watches[:i:i], s.watches[i+1:]...)
					if !s.down {
						reply(store.Result{Status: 200, Revision: s.revision})
					}
					return
				}
			}
		})
	}
}

func (s *stateService) multi(m wire.Multi) store.Result {
	if s.limits.ops > 0 && len(m.Writes) > s.limits.ops {
		return store.Result{Status: 400}
	}
	for _, w := range m.Writes {
		if s.limits.value > 0 && len(w.Value) > s.limits.value {
			return store.Result{Status: 400}
		}
	}
	if n := float64(len(m.Writes)); s.limits.writes > 0 && n > 0 {
		s.spent = max(0, s.spent-s.clk.now.Sub(s.spentAt).Seconds()*s.limits.writes)
		s.spentAt = s.clk.now
		if s.spent+n > s.limits.writes {
			return store.Result{Status: 429}
		}
		s.spent += n
	}
	for _, w := range m.Writes {
		if w.Lease != 0 && s.holds[w.Lease] == nil {
			return store.Result{Status: 400}
		}
	}
	var failed []string
	for _, c := range m.When {
		if s.keys[c.Path].Version != c.Version {
			failed = append(failed, c.Path)
		}
	}
	if len(failed) > 0 {
		return store.Result{Status: 409, Failed: failed, Revision: s.revision}
	}
	if len(m.Writes) > 0 {
		s.revision++
		for _, w := range m.Writes {
			s.change(w)
		}
		s.wake()
	}
	return store.Result{Status: 200, Revision: s.revision}
}
