package store

import "time"

// catchUp is the state of the catch-ups, the watches that CatchUp sends and that the service
// answers at once. At most one is in flight.
type catchUp struct {
	inFlight    bool
	notBefore   time.Time       // earliest start of the next catch-up
	waiters     []catchUpWaiter // of the catch-up in flight
	nextWaiters []catchUpWaiter // of the next catch-up
}

// catchUpWaiter is called at the end of a catch-up. ok reports whether the cache is current.
type catchUpWaiter func(now time.Time, ok bool)

// CatchUp applies all changes that are committed at the time of the call, and then calls
// done. ok is false if that failed or the cache is not synced. Calls that arrive while a
// catch-up is in flight share the next one, because the response to the one in flight may lack
// changes that were committed before these calls. Catch-ups start at least minInterval apart.
func (c *WatchCache) CatchUp(now time.Time, minInterval time.Duration, done func(now time.Time, ok bool)) {
	c.catchUp.nextWaiters = append(c.catchUp.nextWaiters, done)
	c.startCatchUp(now, minInterval)
}

// startCatchUp starts the next catch-up if it has waiters, none is in flight and the minimum
// interval has passed.
func (c *WatchCache) startCatchUp(now time.Time, minInterval time.Duration) {
	u := &c.catchUp
	if u.inFlight || len(u.nextWaiters) == 0 || now.Before(u.notBefore) {
		return
	}
	u.waiters, u.nextWaiters = u.nextWaiters, nil
	u.inFlight, u.notBefore = true, now.Add(minInterval)
	if !c.synced {
		c.finishCatchUp(now, minInterval, false)
		return
	}
	list := c.list.generation
	c.options.StateCall(c.watchCall(PriorityUser, 0), func(now time.Time, result Result) {
		c.finishCatchUp(now, minInterval, c.applyCatchUp(now, list, result))
	})
}

// applyCatchUp applies the changes and reports whether the cache is current. It discards the
// result if a new list has started, because the changes follow an older revision than the
// list's.
func (c *WatchCache) applyCatchUp(now time.Time, list int, result Result) bool {
	if !result.OK() || c.list.generation != list {
		return false
	}
	c.lastContact = now
	c.applyEvents(now, result)
	return true
}

// finishCatchUp calls the waiters and starts the next catch-up if it is due.
func (c *WatchCache) finishCatchUp(now time.Time, minInterval time.Duration, ok bool) {
	c.catchUp.inFlight = false
	waiters := c.catchUp.waiters
	c.catchUp.waiters = nil
	for _, done := range waiters {
		done(now, ok)
	}
	c.startCatchUp(now, minInterval)
}
