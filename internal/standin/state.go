package standin

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// StateLimits are the limits that the state service enforces; 0 means none.
type StateLimits struct {
	ValueBytes int     // of one value
	TxnOps     int     // puts and deletes in one transaction
	Writes     float64 // puts and deletes a second
	Requests   float64 // requests a second
}

// bucket holds one second's worth of a rate.
type bucket struct {
	spent float64
	at    time.Time
}

// take spends n of a rate, or tells that it is exceeded.
func (b *bucket) take(now time.Time, rate, n float64) bool {
	if rate <= 0 {
		return true
	}
	b.spent = max(0, b.spent-now.Sub(b.at).Seconds()*rate)
	b.at = now
	if b.spent+n > rate {
		return false
	}
	b.spent += n
	return true
}

// StateService is a stand-in for the state service, by the protocol.
type StateService struct {
	// Keys are the stored keys, Revision the newest change.
	Keys     map[string]wire.KeyValue
	Revision uint64
	Limits   StateLimits
	Page     int // keys that a list shows at most
	Kept     int // changes that are remembered
	// OnCall is told of each call that has been decided, before its reply; nil: nobody.
	OnCall func(c store.Call, err error)

	clk         *Clock
	rng         *rand.Rand
	leases      map[uint64]*lease
	log         []wire.Event
	oldest      uint64 // changes up to here have been forgotten
	nextLease   uint64
	watches     []*watch
	down        bool
	writeRate   bucket
	requestRate bucket
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

// Sizes with which paging and forgotten changes happen in short tests.
const (
	smallPage    = 25
	smallHistory = 400
)

// NewStateService makes an empty state service.
func NewStateService(clk *Clock, rng *rand.Rand) *StateService {
	s := &StateService{clk: clk, rng: rng, Keys: map[string]wire.KeyValue{}, leases: map[uint64]*lease{},
		Page: smallPage, Kept: smallHistory}
	s.sweep()
	return s
}

// sweep ends leases that were not renewed, up to 100 ms late.
func (s *StateService) sweep() {
	if !s.down {
		var over []uint64
		for id, h := range s.leases {
			if s.clk.Now().After(h.ends) {
				over = append(over, id)
			}
		}
		sort.Slice(over, func(i, j int) bool { return over[i] < over[j] })
		for _, id := range over {
			delete(s.leases, id)
			var keys []string
			for k, it := range s.Keys {
				if it.Lease == id {
					keys = append(keys, k)
				}
			}
			sort.Strings(keys)
			for _, k := range keys {
				s.Revision++
				s.change(wire.Write{Delete: k})
			}
			s.wake()
		}
	}
	s.clk.In(50*time.Millisecond, s.sweep)
}

// SetDown begins or ends an outage. After one every lease has its full time again.
func (s *StateService) SetDown(down bool) {
	if s.down && !down {
		for _, h := range s.leases {
			h.ends = s.clk.Now().Add(h.life)
		}
	}
	s.down = down
	s.wake()
}

// Put sets a key, as a test's own change.
func (s *StateService) Put(key string, value json.RawMessage) {
	s.Revision++
	s.change(wire.Write{Put: key, Value: value})
	s.wake()
}

func (s *StateService) change(w wire.Write) {
	if w.Delete != "" {
		if _, ok := s.Keys[w.Delete]; ok {
			delete(s.Keys, w.Delete)
			s.log = append(s.log, wire.Event{Delete: w.Delete, Version: s.Revision})
		}
	} else {
		s.Keys[w.Put] = wire.KeyValue{Key: w.Put, Value: w.Value, Version: s.Revision, Lease: w.Lease}
		s.log = append(s.log, wire.Event{Put: w.Put, Value: w.Value, Version: s.Revision})
	}
	if len(s.log) > s.Kept {
		s.oldest = s.log[s.Kept/2].Version
		s.log = append([]wire.Event{}, s.log[s.Kept/2+1:]...)
	}
}

func (s *StateService) wake() {
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

func (s *StateService) changes(under string, since uint64) (store.Result, bool) {
	if since < s.oldest {
		return store.Result{Err: store.ErrCompacted}, true
	}
	r := store.Result{Revision: s.Revision}
	for _, c := range s.log {
		if c.Version > since && strings.HasPrefix(c.Put+c.Delete, under) {
			r.Events = append(r.Events, c)
		}
	}
	return r, len(r.Events) > 0
}

// Call executes a call; reply may come later, for watches.
func (s *StateService) Call(c store.Call, reply func(store.Result)) {
	if s.OnCall != nil {
		then := reply
		reply = func(r store.Result) {
			s.OnCall(c, r.Err)
			then(r)
		}
	}
	if s.down && (c.Op != store.OpWatch || c.WatchWaitMs == 0) {
		reply(store.Result{Err: store.ErrUnavailable})
		return
	}
	if !s.requestRate.take(s.clk.Now(), s.Limits.Requests, 1) {
		reply(store.Result{Err: store.ErrThrottled})
		return
	}
	switch c.Op {
	case store.OpGet:
		if it, ok := s.Keys[c.Key]; ok {
			reply(store.Result{KeyValue: it})
		} else {
			reply(store.Result{Err: store.ErrNotFound, Revision: s.Revision})
		}
	case store.OpList:
		reply(s.list(c))
	case store.OpGrantLease:
		s.nextLease++
		s.leases[s.nextLease] = &lease{c.LeaseTTL, s.clk.Now().Add(c.LeaseTTL)}
		reply(store.Result{Lease: s.nextLease})
	case store.OpRenewLease:
		h := s.leases[c.Lease]
		if h == nil {
			reply(store.Result{Err: store.ErrNotFound})
			return
		}
		h.ends = s.clk.Now().Add(h.life)
		reply(store.Result{Lease: c.Lease})
	case store.OpTransaction:
		reply(s.multi(c.Transaction))
	case store.OpWatch:
		s.watch(c, reply)
	}
}

// list answers with the keys under a prefix, a page at a time.
func (s *StateService) list(c store.Call) store.Result {
	var keys []string
	for k := range s.Keys {
		if strings.HasPrefix(k, c.Prefix) && k > c.After {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	r := store.Result{Revision: s.Revision}
	for _, k := range keys {
		if len(r.KeyValues) == s.Page {
			r.More = true
			break
		}
		r.KeyValues = append(r.KeyValues, s.Keys[k])
	}
	return r
}

// watch answers once a key with the prefix has changed, or when the time has run out.
func (s *StateService) watch(c store.Call, reply func(store.Result)) {
	if r, ok := s.changes(c.Prefix, c.SinceRevision); (ok || c.WatchWaitMs == 0) && !s.down {
		reply(r)
		return
	}
	w := &watch{c.Prefix, c.SinceRevision, reply}
	s.watches = append(s.watches, w)
	s.clk.In(time.Duration(c.WatchWaitMs)*time.Millisecond, func() {
		i := slices.Index(s.watches, w)
		if i < 0 {
			return
		}
		s.watches = slices.Delete(s.watches, i, i+1)
		if !s.down {
			reply(store.Result{Revision: s.Revision})
		}
	})
}

// multi executes a transaction.
func (s *StateService) multi(m wire.Transaction) store.Result {
	if !s.allowed(m) {
		return store.Result{Err: store.ErrInvalid}
	}
	if n := float64(len(m.Writes)); n > 0 && !s.writeRate.take(s.clk.Now(), s.Limits.Writes, n) {
		return store.Result{Err: store.ErrThrottled}
	}
	var failed []string
	for _, c := range m.Compares {
		if s.Keys[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return store.Result{Err: &store.ConflictError{FailedKeys: failed}, Revision: s.Revision}
	}
	if len(m.Writes) > 0 {
		s.Revision++
		for _, w := range m.Writes {
			s.change(w)
		}
		s.wake()
	}
	return store.Result{Revision: s.Revision}
}

// allowed tells whether a transaction is within the limits of size and names no lease
// that has ended.
func (s *StateService) allowed(m wire.Transaction) bool {
	if s.Limits.TxnOps > 0 && len(m.Writes) > s.Limits.TxnOps {
		return false
	}
	return !slices.ContainsFunc(m.Writes, func(w wire.Write) bool {
		return s.Limits.ValueBytes > 0 && len(w.Value) > s.Limits.ValueBytes ||
			w.Lease != 0 && s.leases[w.Lease] == nil
	})
}
