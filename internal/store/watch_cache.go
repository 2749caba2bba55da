package store

import (
	"maps"
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Caller carries out a call elsewhere and brings the result back to the
// goroutine that owns all state.
type Caller func(Call, func(now time.Time, r Result))

type watchState int

const (
	watchIdle      watchState = iota // nothing under way
	watchListing                     // reading all keys
	watchFollowing                   // waiting for changes
)

// WatchCache keeps a copy of all keys with a prefix. It lists them, then follows
// their changes, and lists again when it has fallen too far behind.
type WatchCache struct {
	// MinWatchInterval is the least time between two watches, so that a busy prefix does
	// not cost a request for each change. Sync does not wait for it.
	MinWatchInterval time.Duration
	prefix           string
	stateCall        Caller
	onChange         func(now time.Time, key string, it wire.KeyValue, gone bool)

	state        watchState
	round        int // tells answers of an abandoned round apart
	listCount    int // counts the lists begun
	synced       bool
	revision     uint64
	lastContact  time.Time
	currentAsOf  time.Time // all that was written by then has been taken in
	listSentAt   time.Time // when the first call of the list under way was sent
	retryAt      time.Time
	items        map[string]wire.KeyValue
	listedKeys   map[string]bool // keys listed in this round
	listRevision uint64          // the revision that this round's list began at

	catchingUp  bool
	catchUpAt   time.Time
	waiters     []func(now time.Time, ok bool) // for the sync under way
	nextWaiters []func(now time.Time, ok bool) // for the one after it
}

// NewWatchCache makes a mirror of the keys under a prefix; change is told of each
// change, in order.
func NewWatchCache(under string, call Caller,
	change func(now time.Time, key string, it wire.KeyValue, gone bool)) *WatchCache {
	return &WatchCache{prefix: under, stateCall: call, onChange: change, items: map[string]wire.KeyValue{}}
}

// Synced tells whether all keys have been read at least once.
func (m *WatchCache) Synced() bool { return m.synced }

// LastContact is when the state service last answered this mirror.
func (m *WatchCache) LastContact() time.Time { return m.lastContact }

// CurrentAsOf is the moment up to which all changes have surely been taken in.
func (m *WatchCache) CurrentAsOf() time.Time { return m.currentAsOf }

// WaitCurrent brings the mirror up to whatever the service holds by now and then tells
// so. Calls that come while one is under way share the next one: the one under
// way may be older than they are. Two begin no sooner than gap after each other.
func (m *WatchCache) WaitCurrent(now time.Time, gap time.Duration, then func(now time.Time, ok bool)) {
	m.nextWaiters = append(m.nextWaiters, then)
	m.catchUp(now, gap)
}

func (m *WatchCache) catchUp(now time.Time, gap time.Duration) {
	if m.catchingUp || len(m.nextWaiters) == 0 || now.Before(m.catchUpAt) {
		return
	}
	m.waiters, m.nextWaiters = m.nextWaiters, nil
	m.catchingUp, m.catchUpAt = true, now.Add(gap)
	finish := func(now time.Time, ok bool) {
		m.catchingUp = false
		done := m.waiters
		m.waiters = nil
		for _, f := range done {
			f(now, ok)
		}
		m.catchUp(now, gap)
	}
	if !m.synced {
		finish(now, false)
		return
	}
	round := m.listCount
	m.stateCall(Call{Op: OpWatch, Priority: PriorityUser, Prefix: m.prefix, SinceRevision: m.revision}, func(now time.Time, r Result) {
		if !r.OK() || m.listCount != round {
			finish(now, false) // a list under way tells what it finds in its own time
			return
		}
		m.lastContact = now
		m.applyEvents(now, r)
		finish(now, true)
	})
}

// applyEvents takes in the changes up to a revision.
func (m *WatchCache) applyEvents(now time.Time, r Result) {
	defer func() {
		if r.SentAt.After(m.currentAsOf) {
			m.currentAsOf = r.SentAt
		}
	}()
	if r.Revision <= m.revision {
		return // another answer, sent later, was here first
	}
	for _, ev := range r.Events {
		if ev.Version > m.revision {
			m.applyEvent(now, ev)
		}
	}
	m.revision = r.Revision
}

// Each calls f for every key, in key order.
func (m *WatchCache) Each(f func(it wire.KeyValue)) {
	for _, k := range slices.Sorted(maps.Keys(m.items)) {
		f(m.items[k])
	}
}

// Get returns a key.
func (m *WatchCache) Get(key string) (wire.KeyValue, bool) {
	it, ok := m.items[key]
	return it, ok
}

// Version returns a key's version, 0 when it does not exist.
func (m *WatchCache) Version(key string) uint64 { return m.items[key].Version }

func (m *WatchCache) setState(s watchState) { m.state = s }

// Tick starts what is due.
func (m *WatchCache) Tick(now time.Time) {
	m.catchUp(now, 0)
	if m.state != watchIdle || now.Before(m.retryAt) {
		return
	}
	if m.synced {
		m.watch(now)
		return
	}
	m.round++
	m.listCount++
	m.listedKeys, m.listRevision = map[string]bool{}, 0
	m.list(now, "")
}

func (m *WatchCache) backOff(now time.Time) {
	m.setState(watchIdle)
	m.retryAt = now.Add(tuning.WatchCacheRetry)
}

func (m *WatchCache) list(now time.Time, after string) {
	m.setState(watchListing)
	round := m.round
	m.stateCall(Call{Op: OpList, Priority: PriorityLease, Prefix: m.prefix, After: after, PageSize: tuning.ListPageSize}, func(now time.Time, r Result) {
		if m.round != round {
			return
		}
		if !r.OK() {
			m.backOff(now)
			return
		}
		m.lastContact = now
		if m.listRevision == 0 {
			m.listRevision, m.listSentAt = r.Revision, r.SentAt
		}
		last := after
		for _, it := range r.KeyValues {
			m.listedKeys[it.Key] = true
			m.put(now, it)
			last = it.Key
		}
		if r.More && last != after {
			m.list(now, last)
			return
		}
		for _, k := range slices.Sorted(maps.Keys(m.items)) {
			if it := m.items[k]; !m.listedKeys[k] {
				delete(m.items, k)
				m.onChange(now, k, it, true)
			}
		}
		m.listedKeys, m.revision, m.synced = nil, m.listRevision, true
		if m.listSentAt.After(m.currentAsOf) {
			m.currentAsOf = m.listSentAt
		}
		m.watch(now)
	})
}

func (m *WatchCache) put(now time.Time, it wire.KeyValue) {
	if old, ok := m.items[it.Key]; ok && old.Version >= it.Version {
		return
	}
	m.items[it.Key] = it
	m.onChange(now, it.Key, it, false)
}

func (m *WatchCache) watch(now time.Time) {
	m.setState(watchFollowing)
	m.round++
	round := m.round
	m.stateCall(Call{Op: OpWatch, Priority: PriorityLease, Prefix: m.prefix, SinceRevision: m.revision, WatchWaitMs: int(tuning.WatchTimeout.Milliseconds())}, func(now time.Time, r Result) {
		if m.round != round {
			return
		}
		switch {
		case r.Status == 410:
			// too far behind: read all keys again
			m.synced = false
			m.setState(watchIdle)
			m.Tick(now)
		case !r.OK():
			m.backOff(now)
		default:
			m.lastContact = now
			m.applyEvents(now, r)
			if len(r.Events) > 0 && m.MinWatchInterval > 0 {
				m.setState(watchIdle)
				m.retryAt = now.Add(m.MinWatchInterval)
				return
			}
			m.watch(now)
		}
	})
}

func (m *WatchCache) applyEvent(now time.Time, ev wire.Event) {
	if ev.Put != "" {
		m.put(now, wire.KeyValue{Key: ev.Put, Value: ev.Value, Version: ev.Version})
		return
	}
	if it, ok := m.items[ev.Delete]; ok && it.Version < ev.Version {
		delete(m.items, ev.Delete)
		m.onChange(now, ev.Delete, it, true)
	}
}
