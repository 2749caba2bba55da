// Package clock tells the time by which leases are judged. It only goes forward, and it
// counts the time in which the machine was suspended, which the system's monotonic clock
// does not: a lease may end early by that, never late.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"juniperchute/internal/tuning"
)

// Clock is a steady clock. It may be used by several goroutines.
type Clock struct {
	readSuspended func() (time.Duration, error)
	base          time.Duration // of what suspended told at the start
	suspendedFor  atomic.Int64  // suspended time since the start
}

// New makes a clock. suspended tells how long the machine has been suspended in all, nil:
// that is not looked at.
func New(suspended func() (time.Duration, error)) *Clock {
	c := &Clock{readSuspended: suspended}
	if suspended == nil {
		return c
	}
	base, err := suspended()
	if err != nil {
		c.readSuspended = nil
		return c
	}
	c.base = base
	return c
}

// Now is the time, as of the last Advance if the machine was suspended since.
func (c *Clock) Now() time.Time { return time.Now().Add(time.Duration(c.suspendedFor.Load())) }

// SuspendedFor is by how much the clock has been moved forward since the start.
func (c *Clock) SuspendedFor() time.Duration { return time.Duration(c.suspendedFor.Load()) }

// Advance looks whether the machine was suspended, and tells the time. It is called before
// whatever a lease that may have ended must not do.
func (c *Clock) Advance() time.Time {
	if c.readSuspended != nil {
		if total, err := c.readSuspended(); err == nil {
			c.advanceTo(total - c.base)
		}
	}
	return c.Now()
}

// advanceTo moves the clock forward; differences that reading two clocks one after the other
// explains are not heeded.
func (c *Clock) advanceTo(total time.Duration) {
	for {
		old := c.suspendedFor.Load()
		if int64(total)-old < int64(tuning.MinSuspension) {
			return
		}
		if c.suspendedFor.CompareAndSwap(old, int64(total)) {
			return
		}
	}
}

// TimeSuspended is how long this machine has been suspended since it was started.
func TimeSuspended() (time.Duration, error) {
	var monotonic, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}
