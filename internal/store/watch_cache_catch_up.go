package store

import "time"

// catchUp brings a WatchCache up to whatever the service holds by now, for those who wait
// for that. At most one is in flight.
type catchUp struct {
	inFlight    bool
	notBefore   time.Time       // when the next one may start
	waiters     []catchUpWaiter // for the one in flight
	nextWaiters []catchUpWaiter // for the one after it
}

// catchUpWaiter is called with whether the cache is current.
type catchUpWaiter func(now time.Time, ok bool)

// WaitCurrent brings the cache up to whatever the service holds by now and then calls
// done; ok is false when that failed, or the cache is not synced. Calls that come while a
// catch-up is in flight share the next one, as the one in flight may be older than they
// are. Two start no sooner than minInterval after each other.
func (c *WatchCache) WaitCurrent(now time.Time, minInterval time.Duration, done func(now time.Time, ok bool)) {
	c.catchUp.nextWaiters = append(c.catchUp.nextWaiters, done)
	c.startCatchUp(now, minInterval)
}

// startCatchUp starts the next catch-up if it is waited for and may start.
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
	list := c.list.number
	c.options.StateCall(c.watchCall(PriorityUser, 0), func(now time.Time, result Result) {
		c.finishCatchUp(now, minInterval, c.applyCatchUp(now, list, result))
	})
}

// applyCatchUp applies the changes and reports whether the cache is current. A list that
// was started meanwhile does not mix with changes since an earlier revision.
func (c *WatchCache) applyCatchUp(now time.Time, list int, result Result) bool {
	if !result.OK() || c.list.number != list {
		return false
	}
	c.lastContact = now
	c.applyEvents(now, result)
	return true
}

// finishCatchUp calls the waiters and starts the next catch-up.
func (c *WatchCache) finishCatchUp(now time.Time, minInterval time.Duration, ok bool) {
	c.catchUp.inFlight = false
	waiters := c.catchUp.waiters
	c.catchUp.waiters = nil
	for _, done := range waiters {
		done(now, ok)
	}
	c.startCatchUp(now, minInterval)
}
