// Package clock implements the monotonic clock that times leases. Unlike the system's monotonic clock
// it includes the time in which the machine was suspended, so that a lease holder does not act on an
// expired lease after a suspension.
package clock

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"juniperchute/internal/tuning"
)

// Clock is a suspend-aware monotonic clock. It is safe for concurrent use.
type Clock struct {
	// timeSuspended returns the total time in suspension since boot. It is nil if unsupported.
	timeSuspended func() (time.Duration, error)
	atStart       time.Duration // result of timeSuspended in New
	suspendedFor  atomic.Int64  // nanoseconds in suspension since New, as of the last Advance
}

// New returns a clock. timeSuspended, such as the function TimeSuspended, returns the total time in
// suspension since boot. If it is nil or its first call fails, the clock ignores suspensions.
func New(timeSuspended func() (time.Duration, error)) *Clock {
	if timeSuspended == nil {
		return &Clock{}
	}
	atStart, err := timeSuspended()
	if err != nil {
		return &Clock{}
	}
	return &Clock{timeSuspended: timeSuspended, atStart: atStart}
}

// Now returns the current time, without any suspension since the last Advance.
func (c *Clock) Now() time.Time { return time.Now().Add(c.SuspendedFor()) }

// SuspendedFor returns the time in suspension since the clock was created, as of the last Advance.
func (c *Clock) SuspendedFor() time.Duration { return time.Duration(c.suspendedFor.Load()) }

// Advance adds any suspension up to now and returns the current time. Callers call it before an action
// that requires an unexpired lease.
func (c *Clock) Advance() time.Time {
	if c.timeSuspended != nil {
		if total, err := c.timeSuspended(); err == nil {
			c.advanceTo(total - c.atStart)
		}
	}
	return c.Now()
}

// advanceTo moves the clock forward, never back. It ignores differences below tuning.MinSuspension,
// which result from the two system clocks not being read at the same instant.
func (c *Clock) advanceTo(suspended time.Duration) {
	for {
		current := c.suspendedFor.Load()
		if suspended-time.Duration(current) < tuning.MinSuspension {
			return
		}
		if c.suspendedFor.CompareAndSwap(current, int64(suspended)) {
			return
		}
	}
}

// TimeSuspended returns the total time for which this machine has been suspended since boot.
func TimeSuspended() (time.Duration, error) {
	var monotonic, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, fmt.Errorf("read monotonic clock: %w", err)
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, fmt.Errorf("read boot time clock: %w", err)
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}
