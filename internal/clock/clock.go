// Package clock is the steady clock by which leases are judged. It never goes back, and it counts
// the time for which the machine was suspended, which the system's monotonic clock does not: a
// lease may expire early by that, but never late.
package clock

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"juniperchute/internal/tuning"
)

// Clock is a steady clock. It may be used by several goroutines.
type Clock struct {
	// timeSuspended is how long the machine has been suspended in all; nil if that is not known.
	timeSuspended func() (time.Duration, error)
	atStart       time.Duration // timeSuspended when the clock was made
	suspendedFor  atomic.Int64  // nanoseconds since then, as of the last Advance
}

// New makes a clock. timeSuspended returns how long the machine has been suspended in all, such as
// the function TimeSuspended. If it is nil or fails now, suspension is not counted.
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

// Now is the time. It lacks a suspension since the last Advance.
func (c *Clock) Now() time.Time { return time.Now().Add(c.SuspendedFor()) }

// SuspendedFor is how long the machine has been suspended since the clock was made, as of the last
// Advance.
func (c *Clock) SuspendedFor() time.Duration { return time.Duration(c.suspendedFor.Load()) }

// Advance counts any suspension up to now, and returns the time. It is called before whatever must
// not be done for a lease that may have expired.
func (c *Clock) Advance() time.Time {
	if c.timeSuspended != nil {
		if total, err := c.timeSuspended(); err == nil {
			c.advanceTo(total - c.atStart)
		}
	}
	return c.Now()
}

// advanceTo moves the clock forward. A difference too small for a suspension comes from reading
// two clocks one after the other, and does not count.
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

// TimeSuspended is how long this machine has been suspended since it was started.
func TimeSuspended() (time.Duration, error) {
	var monotonic, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, fmt.Errorf("reading the monotonic clock: %w", err)
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, fmt.Errorf("reading the boot time clock: %w", err)
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}
