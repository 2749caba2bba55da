package store

import (
	"errors"
	"maps"
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// WatchCacheOptions configures a WatchCache.
type WatchCacheOptions struct {
	Prefix    string // of the cached keys
	StateCall Caller
	// OnChange is called for each change, in order, after the cache has applied it. For a
	// deleted key, item is the last value.
	OnChange func(now time.Time, key string, item wire.KeyValue, deleted bool)
}

// WatchCache maintains a copy of all keys under a prefix. It lists the keys, then watches for
// changes, and lists again if the service has compacted the revision that it needs.
//
//	idle               Tick       -> watching; listing while not synced
//	listing            list page  -> listing the next page; watching after the last page
//	watching           changes    -> watching; idle until the minimum watch interval has passed
//	watching           compacted  -> listing
//	listing, watching  failed     -> idle until the retry
//
// Exactly one list or watch is in flight unless the cache is idle. A catch-up, which
// CatchUp starts, is a further watch that runs concurrently with them.
type WatchCache struct {
	// MinWatchInterval is the minimum time from a watch that returned changes to the next
	// one. It bounds the number of calls for a prefix with frequent changes. CatchUp does
	// not wait for it.
	MinWatchInterval time.Duration

	options    WatchCacheOptions
	state      watchCacheState
	nextCallAt time.Time // earliest time of an idle cache's next call

	items       map[string]wire.KeyValue
	revision    uint64 // all changes up to this revision have been applied
	synced      bool
	lastContact time.Time
	currentAsOf time.Time

	list    listProgress
	catchUp catchUp
}

type watchCacheState int

const (
	cacheIdle     watchCacheState = iota // no call in flight
	cacheListing                         // a list call is in flight
	cacheWatching                        // a watch is in flight
)

// listProgress is the state of a paginated list of all keys.
type listProgress struct {
	generation int             // number of the list, from 1
	revision   uint64          // of the first list page, from which the watch starts; 0 before that page
	sentAt     time.Time       // time at which the first list page was requested
	listed     map[string]bool // keys on the list pages received so far
}

// NewWatchCache returns an empty cache. It sends no call before the first Tick.
func NewWatchCache(options WatchCacheOptions) *WatchCache {
	return &WatchCache{options: options, items: map[string]wire.KeyValue{}}
}

// Synced reports whether the cache has listed all keys and can follow the changes since then
// with watches.
func (c *WatchCache) Synced() bool { return c.synced }

// LastContact returns the time of the state service's last response to this cache, or the zero
// time if there was none.
func (c *WatchCache) LastContact() time.Time { return c.lastContact }

// CurrentAsOf returns the time up to which every committed change has been applied. Later
// changes may have been applied, too.
func (c *WatchCache) CurrentAsOf() time.Time { return c.currentAsOf }

// Each calls visit for every cached key, in key order.
func (c *WatchCache) Each(visit func(item wire.KeyValue)) {
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		visit(c.items[key])
	}
}

// Get returns the cached value of a key, and false if the cache holds no such key.
func (c *WatchCache) Get(key string) (wire.KeyValue, bool) {
	item, ok := c.items[key]
	return item, ok
}

// Version returns the version of a key, 0 if the cache holds no such key.
func (c *WatchCache) Version(key string) uint64 { return c.items[key].Version }

// Tick starts the calls that are due. The controller calls it periodically.
func (c *WatchCache) Tick(now time.Time) {
	c.startCatchUp(now, 0)
	if c.state != cacheIdle || now.Before(c.nextCallAt) {
		return
	}
	if c.synced {
		c.startWatch()
	} else {
		c.startList()
	}
}

// backOff makes the cache idle for the given time.
func (c *WatchCache) backOff(now time.Time, interval time.Duration) {
	c.state = cacheIdle
	c.nextCallAt = now.Add(interval)
}

func (c *WatchCache) startList() {
	c.list = listProgress{generation: c.list.generation + 1, listed: map[string]bool{}}
	c.requestListPage("")
}

// requestListPage requests the list page with the keys that follow after.
func (c *WatchCache) requestListPage(after string) {
	c.state = cacheListing
	call := Call{
		Op:       OpList,
		Priority: PriorityLease,
		Prefix:   c.options.Prefix,
		After:    after,
		PageSize: tuning.ListPageSize,
	}
	c.options.StateCall(call, func(now time.Time, page Result) { c.applyListPage(now, after, page) })
}

func (c *WatchCache) applyListPage(now time.Time, after string, page Result) {
	if !page.OK() {
		c.backOff(now, tuning.WatchCacheBackoff)
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
		c.requestListPage(last)
		return
	}
	c.finishList(now)
}

// finishList removes the keys that were not listed and watches from the revision of the first
// page.
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

// watchCall returns a call that requests the changes since the cache's revision.
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
		c.backOff(now, tuning.WatchCacheBackoff)
	default:
		c.lastContact = now
		c.applyEvents(now, result)
		if len(result.Events) > 0 && c.MinWatchInterval > 0 {
			c.backOff(now, c.MinWatchInterval)
			return
		}
		c.startWatch()
	}
}

// applyEvents applies the changes up to the result's revision.
func (c *WatchCache) applyEvents(now time.Time, result Result) {
	if result.Revision > c.revision { // otherwise a concurrent call has applied them
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
	if event.PutKey != "" {
		c.put(now, wire.KeyValue{Key: event.PutKey, Value: event.Value, Version: event.Version})
		return
	}
	if item, ok := c.items[event.DeleteKey]; ok && item.Version < event.Version {
		c.remove(now, event.DeleteKey)
	}
}

// put sets a key unless the cache holds the same or a newer version, which happens because a
// list may already include changes that a watch reports.
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
