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
	MaxValueBytes int     // of one value
	MaxTxnOps     int     // puts and deletes in one transaction
	WritesPerS     float64 // puts and deletes a second
	RequestsPerS   float64 // requests a second
}

// tokenBucket holds one second's worth of a rate.
type tokenBucket struct {
	spent float64
	updatedAt    time.Time
}

// take spends n of a rate, or tells that it is exceeded.
func (b *tokenBucket) take(now time.Time, rate, n float64) bool {
	if rate <= 0 {
		return true
	}
	b.spent = max(0, b.spent-now.Sub(b.updatedAt).Seconds()*rate)
	b.updatedAt = now
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
	PageSize     int // keys that a list shows at most
	MaxHistory     int // changes that are remembered
	// OnCall is told of each call that has been decided, before its reply; nil: nobody.
	OnCall func(c store.Call, status int)

	clock         *Clock
	rng         *rand.Rand
	leases      map[uint64]*lease
	history         []wire.Event
	compactedRevision      uint64 // changes up to here have been forgotten
	lastLease   uint64
	watches     []*watch
	unavailable        bool
	writeBucket   tokenBucket
	requestBucket tokenBucket
}

type lease struct {
	ttl time.Duration
	expiresAt time.Time
}

type watch struct {
	prefix string
	since uint64
	reply func(store.Result)
}

// Sizes with which paging and forgotten changes happen in short tests.
const (
	defaultPageSize    = 25
	defaultHistory = 400
)

// NewStateService makes an empty state service.
func NewStateService(clock *Clock, rng *rand.Rand) *StateService {
	service := &StateService{clock: clock, rng: rng, Keys: map[string]wire.KeyValue{}, leases: map[uint64]*lease{},
		PageSize: defaultPageSize, MaxHistory: defaultHistory}
	service.expireLeases()
	return service
}

// expireLeases ends leases that were not renewed, up to 100 ms late.
func (s *StateService) expireLeases() {
	if !s.unavailable {
		var expired []uint64
		for id, lease := range s.leases {
			if s.clock.Now().After(lease.expiresAt) {
				expired = append(expired, id)
			}
		}
		sort.Slice(expired, func(i, j int) bool { return expired[i] < expired[j] })
		for _, id := range expired {
			delete(s.leases, id)
			var keys []string
			for key, item := range s.Keys {
				if item.Lease == id {
					keys = append(keys, key)
				}
			}
			sort.Strings(keys)
			for _, key := range keys {
				s.Revision++
				s.apply(wire.Write{Delete: key})
			}
			s.notifyWatches()
		}
	}
	s.clock.Schedule(50*time.Millisecond, s.expireLeases)
}

// SetUnavailable begins or ends an outage. After one every lease has its full time again.
func (s *StateService) SetUnavailable(unavailable bool) {
	if s.unavailable && !unavailable {
		for _, lease := range s.leases {
			lease.expiresAt = s.clock.Now().Add(lease.ttl)
		}
	}
	s.unavailable = unavailable
	s.notifyWatches()
}

// Put sets a key, as a test's own change.
func (s *StateService) Put(key string, value json.RawMessage) {
	s.Revision++
	s.apply(wire.Write{Put: key, Value: value})
	s.notifyWatches()
}

func (s *StateService) apply(write wire.Write) {
	if write.Delete != "" {
		if _, ok := s.Keys[write.Delete]; ok {
			delete(s.Keys, write.Delete)
			s.history = append(s.history, wire.Event{Delete: write.Delete, Version: s.Revision})
		}
	} else {
		s.Keys[write.Put] = wire.KeyValue{Key: write.Put, Value: write.Value, Version: s.Revision, Lease: write.Lease}
		s.history = append(s.history, wire.Event{Put: write.Put, Value: write.Value, Version: s.Revision})
	}
	if len(s.history) > s.MaxHistory {
		s.compactedRevision = s.history[s.MaxHistory/2].Version
		s.history = append([]wire.Event{}, s.history[s.MaxHistory/2+1:]...)
	}
}

func (s *StateService) notifyWatches() {
	if s.unavailable {
		return
	}
	var waiting []*watch
	for _, w := range s.watches {
		if r, ok := s.eventsSince(w.prefix, w.since); ok {
			w.reply(r)
		} else {
			waiting = append(waiting, w)
		}
	}
	s.watches = waiting
}

func (s *StateService) eventsSince(prefix string, since uint64) (store.Result, bool) {
	if since < s.compactedRevision {
		return store.Result{Status: 410}, true
	}
	result := store.Result{Status: 200, Revision: s.Revision}
	for _, change := range s.history {
		if change.Version > since && strings.HasPrefix(change.Put+change.Delete, prefix) {
			result.Events = append(result.Events, change)
		}
	}
	return result, len(result.Events) > 0
}

// Call executes a call; reply may come later, for watches.
func (s *StateService) Call(call store.Call, reply func(store.Result)) {
	if s.OnCall != nil {
		next := reply
		reply = func(r store.Result) {
			s.OnCall(call, r.Status)
			next(r)
		}
	}
	if s.unavailable && (call.Op != store.OpWatch || call.WatchWaitMs == 0) {
		reply(store.Result{Status: 503})
		return
	}
	if !s.requestBucket.take(s.clock.Now(), s.Limits.RequestsPerS, 1) {
		reply(store.Result{Status: 429})
		return
	}
	switch call.Op {
	case store.OpGet:
		if item, ok := s.Keys[call.Key]; ok {
			reply(store.Result{Status: 200, KeyValue: item})
		} else {
			reply(store.Result{Status: 404, Revision: s.Revision})
		}
	case store.OpList:
		reply(s.list(call))
	case store.OpGrantLease:
		s.lastLease++
		s.leases[s.lastLease] = &lease{call.LeaseTTL, s.clock.Now().Add(call.LeaseTTL)}
		reply(store.Result{Status: 200, Lease: s.lastLease})
	case store.OpRenewLease:
		held := s.leases[call.Lease]
		if held == nil {
			reply(store.Result{Status: 404})
			return
		}
		held.expiresAt = s.clock.Now().Add(held.ttl)
		reply(store.Result{Status: 200, Lease: call.Lease})
	case store.OpTransaction:
		reply(s.transact(call.Transaction))
	case store.OpWatch:
		s.watch(call, reply)
	}
}

// list answers with the keys under a prefix, a page at a time.
func (s *StateService) list(call store.Call) store.Result {
	var keys []string
	for key := range s.Keys {
		if strings.HasPrefix(key, call.Prefix) && key > call.After {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	result := store.Result{Status: 200, Revision: s.Revision}
	for _, key := range keys {
		if len(result.KeyValues) == s.PageSize {
			result.More = true
			break
		}
		result.KeyValues = append(result.KeyValues, s.Keys[key])
	}
	return result
}

// watch answers once a key with the prefix has changed, or when the time has run out.
func (s *StateService) watch(call store.Call, reply func(store.Result)) {
	if r, ok := s.eventsSince(call.Prefix, call.SinceRevision); (ok || call.WatchWaitMs == 0) && !s.unavailable {
		reply(r)
		return
	}
	pending := &watch{call.Prefix, call.SinceRevision, reply}
	s.watches = append(s.watches, pending)
	s.clock.Schedule(time.Duration(call.WatchWaitMs)*time.Millisecond, func() {
		i := slices.Index(s.watches, pending)
		if i < 0 {
			return
		}
		s.watches = slices.Delete(s.watches, i, i+1)
		if !s.unavailable {
			reply(store.Result{Status: 200, Revision: s.Revision})
		}
	})
}

// transact executes a transaction.
func (s *StateService) transact(transaction wire.Transaction) store.Result {
	if !s.allowed(transaction) {
		return store.Result{Status: 400}
	}
	if n := float64(len(transaction.Writes)); n > 0 && !s.writeBucket.take(s.clock.Now(), s.Limits.WritesPerS, n) {
		return store.Result{Status: 429}
	}
	var failed []string
	for _, compare := range transaction.Compares {
		if s.Keys[compare.Key].Version != compare.Version {
			failed = append(failed, compare.Key)
		}
	}
	if len(failed) > 0 {
		return store.Result{Status: 409, FailedKeys: failed, Revision: s.Revision}
	}
	if len(transaction.Writes) > 0 {
		s.Revision++
		for _, write := range transaction.Writes {
			s.apply(write)
		}
		s.notifyWatches()
	}
	return store.Result{Status: 200, Revision: s.Revision}
}

// allowed tells whether a transaction is within the limits of size and names no lease
// that has ended.
func (s *StateService) allowed(transaction wire.Transaction) bool {
	if s.Limits.MaxTxnOps > 0 && len(transaction.Writes) > s.Limits.MaxTxnOps {
		return false
	}
	return !slices.ContainsFunc(transaction.Writes, func(write wire.Write) bool {
		return s.Limits.MaxValueBytes > 0 && len(write.Value) > s.Limits.MaxValueBytes ||
			write.Lease != 0 && s.leases[write.Lease] == nil
	})
}
