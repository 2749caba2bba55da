package fakes

import (
	"encoding/json"
	"slices"
	"sort"
	"strings"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// Sizes small enough that short tests exercise pagination and the compaction of history.
const (
	defaultPageSize = 25
	defaultHistory  = 400
)

// StateLimits are the limits that the state service enforces. A limit of 0 is not enforced.
type StateLimits struct {
	MaxValueBytes int     // of one value
	MaxTxnOps     int     // puts and deletes in one transaction
	WritesPerS    float64 // puts and deletes per second
	RequestsPerS  float64 // requests per second
}

// StateService fakes the state service with its leases, watches and compare-and-swap transactions.
// Each transaction, and each key deleted by a lease expiry, gets its own revision.
type StateService struct {
	Keys       map[string]wire.KeyValue
	Revision   uint64 // of the latest change
	Limits     StateLimits
	PageSize   int // maximum number of keys in a page of a list
	MaxHistory int // changes kept for watches before compaction
	// OnCall is called with the outcome of each call, before its reply; may be nil.
	OnCall func(c store.Call, err error)

	clock         *Clock
	unavailable   bool
	writeBucket   tokenBucket
	requestBucket tokenBucket

	leases    map[uint64]*lease
	lastLease uint64

	watches           []*watch
	history           []wire.Event // oldest first
	compactedRevision uint64       // changes up to this revision are compacted
}

// NewStateService returns an empty state service without limits.
func NewStateService(clock *Clock) *StateService {
	service := &StateService{
		Keys:       map[string]wire.KeyValue{},
		PageSize:   defaultPageSize,
		MaxHistory: defaultHistory,
		clock:      clock,
		leases:     map[uint64]*lease{},
	}
	service.expireLeases()
	return service
}

// SetUnavailable starts or ends an outage. No lease expires during an outage, and all leases are
// renewed at its end.
func (s *StateService) SetUnavailable(unavailable bool) {
	if s.unavailable && !unavailable {
		s.renewAllLeases()
	}
	s.unavailable = unavailable
	s.notifyWatches()
}

// Put sets a key on behalf of the test, regardless of limits and outages.
func (s *StateService) Put(key string, value json.RawMessage) {
	s.Revision++
	s.apply(wire.Write{PutKey: key, Value: value})
	s.notifyWatches()
}

// Call executes a call and passes its result to reply, synchronously except for watches. A watch
// that times out during an outage gets no reply.
func (s *StateService) Call(call store.Call, reply func(store.Result)) {
	if s.OnCall != nil {
		next := reply
		reply = func(result store.Result) {
			s.OnCall(call, result.Err)
			next(result)
		}
	}
	if s.unavailable && (call.Op != store.OpWatch || call.WatchWaitMs == 0) {
		reply(store.Result{Err: store.ErrUnavailable})
		return
	}
	if !s.requestBucket.take(s.clock.Now(), s.Limits.RequestsPerS, 1) {
		reply(store.Result{Err: store.ErrThrottled})
		return
	}
	switch call.Op {
	case store.OpGet:
		reply(s.get(call.Key))
	case store.OpList:
		reply(s.list(call))
	case store.OpGrantLease:
		reply(s.grantLease(call.LeaseTTL))
	case store.OpRenewLease:
		reply(s.renewLease(call.Lease))
	case store.OpTransaction:
		reply(s.transact(call.Transaction))
	case store.OpWatch:
		s.watch(call, reply)
	}
}

func (s *StateService) get(key string) store.Result {
	item, ok := s.Keys[key]
	if !ok {
		return store.Result{Err: store.ErrNotFound, Revision: s.Revision}
	}
	return store.Result{KeyValue: item}
}

// list returns a page of the keys with a prefix, after a key.
func (s *StateService) list(call store.Call) store.Result {
	var keys []string
	for key := range s.Keys {
		if strings.HasPrefix(key, call.Prefix) && key > call.After {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	result := store.Result{Revision: s.Revision}
	for _, key := range keys {
		if len(result.KeyValues) == s.PageSize {
			result.More = true
			break
		}
		result.KeyValues = append(result.KeyValues, s.Keys[key])
	}
	return result
}

// transact applies the writes of a transaction if all its compares hold.
func (s *StateService) transact(transaction wire.Transaction) store.Result {
	if !s.allowed(transaction) {
		return store.Result{Err: store.ErrInvalid}
	}
	if n := float64(len(transaction.Writes)); n > 0 && !s.writeBucket.take(s.clock.Now(), s.Limits.WritesPerS, n) {
		return store.Result{Err: store.ErrThrottled}
	}
	if failed := s.failedCompares(transaction.Compares); len(failed) > 0 {
		return store.Result{Err: &store.ConflictError{FailedKeys: failed}, Revision: s.Revision}
	}
	if len(transaction.Writes) > 0 {
		s.Revision++
		for _, write := range transaction.Writes {
			s.apply(write)
		}
		s.notifyWatches()
	}
	return store.Result{Revision: s.Revision}
}

// allowed reports whether a transaction is within the size limits and references no expired
// lease.
func (s *StateService) allowed(transaction wire.Transaction) bool {
	if s.Limits.MaxTxnOps > 0 && len(transaction.Writes) > s.Limits.MaxTxnOps {
		return false
	}
	return !slices.ContainsFunc(transaction.Writes, func(write wire.Write) bool {
		tooLarge := s.Limits.MaxValueBytes > 0 && len(write.Value) > s.Limits.MaxValueBytes
		return tooLarge || write.Lease != 0 && s.leases[write.Lease] == nil
	})
}

// failedCompares returns the keys whose version differs from the compared one.
func (s *StateService) failedCompares(compares []wire.Compare) []string {
	var failed []string
	for _, compare := range compares {
		if s.Keys[compare.Key].Version != compare.Version {
			failed = append(failed, compare.Key)
		}
	}
	return failed
}

// apply executes one write at the current revision and appends it to the history.
func (s *StateService) apply(write wire.Write) {
	if write.DeleteKey != "" {
		if _, ok := s.Keys[write.DeleteKey]; ok {
			delete(s.Keys, write.DeleteKey)
			s.history = append(s.history, wire.Event{DeleteKey: write.DeleteKey, Version: s.Revision})
		}
	} else {
		s.Keys[write.PutKey] = wire.KeyValue{
			Key: write.PutKey, Value: write.Value, Version: s.Revision, Lease: write.Lease,
		}
		s.history = append(s.history, wire.Event{PutKey: write.PutKey, Value: write.Value, Version: s.Revision})
	}
	s.compactHistory()
}

// compactHistory drops the older half of the history once it exceeds MaxHistory.
func (s *StateService) compactHistory() {
	if len(s.history) <= s.MaxHistory {
		return
	}
	s.compactedRevision = s.history[s.MaxHistory/2].Version
	s.history = append([]wire.Event{}, s.history[s.MaxHistory/2+1:]...)
}
