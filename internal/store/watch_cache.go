package store

import (
	"errors"
	"maps"
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// WatchCacheOptions are what a WatchCache is made of.
type WatchCacheOptions struct {
	Prefix    string // of the keys
	StateCall Caller
	// OnChange is called for each change, in order, once the cache holds it. A deleted
	// key comes with its last value.
	OnChange func(now time.Time, key string, item wire.KeyValue, deleted bool)
}

// WatchCache keeps a copy of all keys with a prefix. It lists them, then watches for
// changes, and lists them again when it has fallen too far behind.
//
//	idle               Tick       -> watching; listing while not synced
//	listing            page       -> listing the next one; watching after the last
//	watching           changes    -> watching; idle until the next watch may be made
//	watching           compacted  -> listing
//	listing, watching  failed     -> idle until the retry
//
// Except when idle exactly one list or watch is in flight. A catch-up, for those who wait
// for a current cache, goes on beside them.
type WatchCache struct {
	// MinWatchInterval is the least time between two watches, so that a busy prefix does
	// not cost a call for each change. WaitCurrent does not wait for it.
	MinWatchInterval time.Duration

	options WatchCacheOptions
	state   watchCacheState
	retryAt time.Time // when an idle cache makes its next call

	items       map[string]wire.KeyValue
	revision    uint64 // up to which all changes have been applied
	synced      bool
	lastContact time.Time
	currentAsOf time.Time

	list    listProgress
	catchUp catchUp
}

type watchCacheState int

const (
	cacheIdle     watchCacheState = iota // nothing in flight
	cacheListing                         // a page of the list is in flight
	cacheWatching                        // a watch is in flight
)

// listProgress is how far a list of all keys has got.
type listProgress struct {
	number   int             // tells the lists of a cache apart
	revision uint64          // of the first page: changes after it are still to be watched; 0: no page yet
	sentAt   time.Time       // when the first page was asked for
	listed   map[string]bool // the keys on the pages so far
}

// NewWatchCache makes an empty cache. It makes no call before the first Tick.
func NewWatchCache(options WatchCacheOptions) *WatchCache {
	return &WatchCache{options: options, items: map[string]wire.KeyValue{}}
}

// Synced reports whether the cache holds all keys: they have been listed, and the changes
// since then can be watched.
func (c *WatchCache) Synced() bool { return c.synced }

// LastContact is when the state service last replied to this cache.
func (c *WatchCache) LastContact() time.Time { return c.lastContact }

// CurrentAsOf is the time up to which all changes have surely been applied.
func (c *WatchCache) CurrentAsOf() time.Time { return c.currentAsOf }

// Each calls visit for every key, in key order.
func (c *WatchCache) Each(visit func(item wire.KeyValue)) {
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		visit(c.items[key])
	}
}

// Get returns a key, and whether it exists.
func (c *WatchCache) Get(key string) (wire.KeyValue, bool) {
	item, ok := c.items[key]
	return item, ok
}

// Version returns a key's version, 0 when it does not exist.
func (c *WatchCache) Version(key string) uint64 { return c.items[key].Version }

// Tick makes the calls that are due.
func (c *WatchCache) Tick(now time.Time) {
	c.startCatchUp(now, 0)
	if c.state != cacheIdle || now.Before(c.retryAt) {
		return
	}
	if c.synced {
		c.startWatch()
	} else {
		c.startList()
	}
}

// pause makes the cache idle for some time.
func (c *WatchCache) pause(now time.Time, interval time.Duration) {
	c.state = cacheIdle
	c.retryAt = now.Add(interval)
}

func (c *WatchCache) startList() {
	c.list = listProgress{number: c.list.number + 1, listed: map[string]bool{}}
	c.requestPage("")
}

// requestPage asks for the keys after another one.
func (c *WatchCache) requestPage(after string) {
	c.state = cacheListing
	call := Call{
		Op:       OpList,
		Priority: PriorityLease,
		Prefix:   c.options.Prefix,
		After:    after,
		PageSize: tuning.ListPageSize,
	}
	c.options.StateCall(call, func(now time.Time, page Result) { c.applyPage(now, after, page) })
}

func (c *WatchCache) applyPage(now time.Time, after string, page Result) {
	if !page.OK() {
		c.pause(now, tuning.WatchCacheBackoff)
		return
	}
	c.lastContact = now
	if c.list.revision == 0 {
		c.list.revision, c.list.sentAt = page.Revision, page.SentAt
	}
	last := after
	for _, item := range page.KeyValues {
		c.list.listed[item.Key] = true
		c.put(now, item)
		last = item.Key
	}
	if page.More && last != after {
		c.requestPage(last)
		return
	}
	c.finishList(now)
}

// finishList removes what was not listed and goes on with the changes since the first page.
func (c *WatchCache) finishList(now time.Time) {
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		if !c.list.listed[key] {
			c.remove(now, key)
		}
	}
	c.list.listed = nil
	c.revision, c.synced = c.list.revision, true
	c.currentAsOf = latest(c.currentAsOf, c.list.sentAt)
	c.startWatch()
}

func (c *WatchCache) startWatch() {
	c.state = cacheWatching
	c.options.StateCall(c.watchCall(PriorityLease, tuning.WatchTimeout), c.applyWatch)
}

// watchCall asks for the changes since the cache's revision.
func (c *WatchCache) watchCall(priority Priority, wait time.Duration) Call {
	return Call{
		Op:            OpWatch,
		Priority:      priority,
		Prefix:        c.options.Prefix,
		SinceRevision: c.revision,
		WatchWaitMs:   int(wait.Milliseconds()),
	}
}

func (c *WatchCache) applyWatch(now time.Time, result Result) {
	switch {
	case errors.Is(result.Err, ErrCompacted):
		c.synced = false
		c.state = cacheIdle
		c.Tick(now)
	case !result.OK():
		c.pause(now, tuning.WatchCacheBackoff)
	default:
		c.lastContact = now
		c.applyEvents(now, result)
		if len(result.Events) > 0 && c.MinWatchInterval > 0 {
			c.pause(now, c.MinWatchInterval)
			return
		}
		c.startWatch()
	}
}

// applyEvents applies the changes up to the result's revision.
func (c *WatchCache) applyEvents(now time.Time, result Result) {
	if result.Revision > c.revision { // else a later watch or catch-up was faster
		for _, event := range result.Events {
			if event.Version > c.revision {
				c.applyEvent(now, event)
			}
		}
		c.revision = result.Revision
	}
	c.currentAsOf = latest(c.currentAsOf, result.SentAt)
}

func (c *WatchCache) applyEvent(now time.Time, event wire.Event) {
	if event.Put != "" {
		c.put(now, wire.KeyValue{Key: event.Put, Value: event.Value, Version: event.Version})
		return
	}
	if item, ok := c.items[event.Delete]; ok && item.Version < event.Version {
		c.remove(now, event.Delete)
	}
}

// put sets a key unless the cache holds this version or a newer one: a list may already
// have shown what a watch reports.
func (c *WatchCache) put(now time.Time, item wire.KeyValue) {
	if old, ok := c.items[item.Key]; ok && old.Version >= item.Version {
		return
	}
	c.items[item.Key] = item
	c.options.OnChange(now, item.Key, item, false)
}

func (c *WatchCache) remove(now time.Time, key string) {
	item := c.items[key]
	delete(c.items, key)
	c.options.OnChange(now, key, item, true)
}
