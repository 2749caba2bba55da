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

type mirrorState int

const (
	mirrorIdle      mirrorState = iota // nothing under way
	mirrorListing                      // reading all keys
	mirrorFollowing                    // waiting for changes
)

// Mirror keeps a copy of all keys with a prefix. It lists them, then follows
// their changes, and lists again when it has fallen too far behind.
type Mirror struct {
	// Pace is the least time between two watches, so that a busy prefix does
	// not cost a request for each change. Sync does not wait for it.
	Pace   time.Duration
	under  string
	call   Caller
	change func(now time.Time, key string, it wire.Item, gone bool)

	state    mirrorState
	round    int // tells answers of an abandoned round apart
	lists    int // counts the lists begun
	synced   bool
	revision uint64
	heard    time.Time
	fresh    time.Time // all that was written by then has been taken in
	listed   time.Time // when the first call of the list under way was sent
	retry    time.Time
	items    map[string]wire.Item
	seen     map[string]bool // keys listed in this round
	base     uint64          // the revision that this round's list began at

	syncing  bool
	syncDue  time.Time
	waiting  []func(now time.Time, ok bool) // for the sync under way
	waitNext []func(now time.Time, ok bool) // for the one after it
}

// NewMirror makes a mirror of the keys under a prefix; change is told of each
// change, in order.
func NewMirror(under string, call Caller,
	change func(now time.Time, key string, it wire.Item, gone bool)) *Mirror {
	return &Mirror{under: under, call: call, change: change, items: map[string]wire.Item{}}
}

// Synced tells whether all keys have been read at least once.
func (m *Mirror) Synced() bool { return m.synced }

// Heard is when the state service last answered this mirror.
func (m *Mirror) Heard() time.Time { return m.heard }

// Fresh is the moment up to which all changes have surely been taken in.
func (m *Mirror) Fresh() time.Time { return m.fresh }

// Sync brings the mirror up to whatever the service holds by now and then tells
// so. Calls that come while one is under way share the next one: the one under
// way may be older than they are. Two begin no sooner than gap after each other.
func (m *Mirror) Sync(now time.Time, gap time.Duration, then func(now time.Time, ok bool)) {
	m.waitNext = append(m.waitNext, then)
	m.sync(now, gap)
}

func (m *Mirror) sync(now time.Time, gap time.Duration) {
	if m.syncing || len(m.waitNext) == 0 || now.Before(m.syncDue) {
		return
	}
	m.waiting, m.waitNext = m.waitNext, nil
	m.syncing, m.syncDue = true, now.Add(gap)
	finish := func(now time.Time, ok bool) {
		m.syncing = false
		done := m.waiting
		m.waiting = nil
		for _, f := range done {
			f(now, ok)
		}
		m.sync(now, gap)
	}
	if !m.synced {
		finish(now, false)
		return
	}
	round := m.lists
	m.call(Call{Op: OpChanges, Class: ClassUser, Under: m.under, Since: m.revision}, func(now time.Time, r Result) {
		if !r.OK() || m.lists != round {
			finish(now, false) // a list under way tells what it finds in its own time
			return
		}
		m.heard = now
		m.took(now, r)
		finish(now, true)
	})
}

// took takes in the changes up to a revision.
func (m *Mirror) took(now time.Time, r Result) {
	defer func() {
		if r.Sent.After(m.fresh) {
			m.fresh = r.Sent
		}
	}()
	if r.Revision <= m.revision {
		return // another answer, sent later, was here first
	}
	for _, ev := range r.Events {
		if ev.Version > m.revision {
			m.apply(now, ev)
		}
	}
	m.revision = r.Revision
}

// Each calls f for every key, in key order.
func (m *Mirror) Each(f func(it wire.Item)) {
	for _, k := range slices.Sorted(maps.Keys(m.items)) {
		f(m.items[k])
	}
}

// Get returns a key.
func (m *Mirror) Get(key string) (wire.Item, bool) {
	it, ok := m.items[key]
	return it, ok
}

// Version returns a key's version, 0 when it does not exist.
func (m *Mirror) Version(key string) uint64 { return m.items[key].Version }

func (m *Mirror) set(s mirrorState) { m.state = s }

// Tick starts what is due.
func (m *Mirror) Tick(now time.Time) {
	m.sync(now, 0)
	if m.state != mirrorIdle || now.Before(m.retry) {
		return
	}
	if m.synced {
		m.follow(now)
		return
	}
	m.round++
	m.lists++
	m.seen, m.base = map[string]bool{}, 0
	m.list(now, "")
}

func (m *Mirror) failed(now time.Time) {
	m.set(mirrorIdle)
	m.retry = now.Add(tuning.WatchCacheRetry)
}

func (m *Mirror) list(now time.Time, after string) {
	m.set(mirrorListing)
	round := m.round
	m.call(Call{Op: OpList, Class: ClassLease, Under: m.under, After: after, Page: tuning.ListPageSize}, func(now time.Time, r Result) {
		if m.round != round {
			return
		}
		if !r.OK() {
			m.failed(now)
			return
		}
		m.heard = now
		if m.base == 0 {
			m.base, m.listed = r.Revision, r.Sent
		}
		last := after
		for _, it := range r.Items {
			m.seen[it.Path] = true
			m.put(now, it)
			last = it.Path
		}
		if r.More && last != after {
			m.list(now, last)
			return
		}
		for _, k := range slices.Sorted(maps.Keys(m.items)) {
			if it := m.items[k]; !m.seen[k] {
				delete(m.items, k)
				m.change(now, k, it, true)
			}
		}
		m.seen, m.revision, m.synced = nil, m.base, true
		if m.listed.After(m.fresh) {
			m.fresh = m.listed
		}
		m.follow(now)
	})
}

func (m *Mirror) put(now time.Time, it wire.Item) {
	if old, ok := m.items[it.Path]; ok && old.Version >= it.Version {
		return
	}
	m.items[it.Path] = it
	m.change(now, it.Path, it, false)
}

func (m *Mirror) follow(now time.Time) {
	m.set(mirrorFollowing)
	m.round++
	round := m.round
	m.call(Call{Op: OpChanges, Class: ClassLease, Under: m.under, Since: m.revision, WaitMs: int(tuning.WatchTimeout.Milliseconds())}, func(now time.Time, r Result) {
		if m.round != round {
			return
		}
		switch {
		case r.Status == 410:
			// too far behind: read all keys again
			m.synced = false
			m.set(mirrorIdle)
			m.Tick(now)
		case !r.OK():
			m.failed(now)
		default:
			m.heard = now
			m.took(now, r)
			if len(r.Events) > 0 && m.Pace > 0 {
				m.set(mirrorIdle)
				m.retry = now.Add(m.Pace)
				return
			}
			m.follow(now)
		}
	})
}

func (m *Mirror) apply(now time.Time, ev wire.Change) {
	if ev.Write != "" {
		m.put(now, wire.Item{Path: ev.Write, Value: ev.Value, Version: ev.Version})
		return
	}
	if it, ok := m.items[ev.Remove]; ok && it.Version < ev.Version {
		delete(m.items, ev.Remove)
		m.change(now, ev.Remove, it, true)
	}
}
