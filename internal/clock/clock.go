// Package clock implements the monotonic clock that times leases. Unlike the system's monotonic clock
// it can include the time in which the machine was suspended, so that a lease holder does not act on an
// expired lease after a suspension. The feature gate of the intent log determines whether the process includes it.
package clock

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"juniperchute/internal/tuning"
)

// Clock is a monotonic clock that includes suspensions if New got a function that reads them. It is safe
// for concurrent use.
type Clock struct {
	// suspendedSinceBoot returns the total time in suspension since boot. It is nil if unsupported.
	suspendedSinceBoot func() (time.Duration, error)
	suspendedAtNew     time.Duration // result of suspendedSinceBoot in New
	suspendedSinceNew  atomic.Int64  // nanoseconds in suspension since New, as of the last Advance
}

// New returns a clock. suspendedSinceBoot, such as the function SuspendedSinceBoot, returns the total time
// in suspension since boot. If it is nil or its first call fails, the clock ignores suspensions.
func New(suspendedSinceBoot func() (time.Duration, error)) *Clock {
	if suspendedSinceBoot == nil {
		return &Clock{}
	}
	suspendedAtNew, err := suspendedSinceBoot()
	if err != nil {
		return &Clock{}
	}
	return &Clock{suspendedSinceBoot: suspendedSinceBoot, suspendedAtNew: suspendedAtNew}
}

// Now returns the current time, without any suspension since the last Advance.
func (c *Clock) Now() time.Time { return time.Now().Add(c.SuspendedSinceNew()) }

// SuspendedSinceNew returns the time in suspension since New returned the clock, as of the last Advance.
func (c *Clock) SuspendedSinceNew() time.Duration { return time.Duration(c.suspendedSinceNew.Load()) }

// Advance adds any suspension up to now and returns the current time. Callers call it before an action
// that requires an unexpired lease.
func (c *Clock) Advance() time.Time {
	if c.suspendedSinceBoot != nil {
		if total, err := c.suspendedSinceBoot(); err == nil {
			c.advanceTo(total - c.suspendedAtNew)
		}
	}
	return c.Now()
}

// advanceTo moves the clock forward, never back. It ignores differences below tuning.MinSuspension,
// which result from the two system clocks not being read at the same instant.
func (c *Clock) advanceTo(suspended time.Duration) {
	for {
		current := c.suspendedSinceNew.Load()
		if suspended-time.Duration(current) < tuning.MinSuspension {
			return
		}
		if c.suspendedSinceNew.CompareAndSwap(current, int64(suspended)) {
			return
		}
	}
}

// SuspendedSinceBoot returns the total time for which this machine has been suspended since boot.
func SuspendedSinceBoot() (time.Duration, error) {
	var monotonic, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, fmt.Errorf("read monotonic clock: %w", err)
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, fmt.Errorf("read boot time clock: %w", err)
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}
