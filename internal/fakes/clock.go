package fakes

import (
	"container/heap"
	"time"
)

// Epoch is the wall-clock time at which simulated time starts.
var Epoch = time.Unix(1_700_000_000, 0)

// Clock runs scheduled events one at a time, in order of time. Events with equal times run in
// the order in which they were scheduled.
type Clock struct {
	now      time.Time
	queue    eventQueue
	sequence int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// NewClock returns a clock that starts at now and has no events.
func NewClock(now time.Time) *Clock { return &Clock{now: now} }

// Now returns the current simulated time.
func (c *Clock) Now() time.Time { return c.now }

// Schedule queues run to be called after delay.
func (c *Clock) Schedule(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{c.now.Add(delay), c.sequence, run})
}

// Due reports whether an event is scheduled at or before end.
func (c *Clock) Due(end time.Time) bool {
	return len(c.queue) > 0 && !c.queue[0].at.After(end)
}

// Step advances the clock to the next event and runs it. At least one event must be scheduled.
func (c *Clock) Step() {
	next := heap.Pop(&c.queue).(event)
	c.now = next.at
	next.run()
}

// AdvanceTo sets the time without running events. No event may be due before now.
func (c *Clock) AdvanceTo(now time.Time) { c.now = now }

// RunUntil runs all events that are due by end, then advances the clock to end.
func (c *Clock) RunUntil(end time.Time) {
	for c.Due(end) {
		c.Step()
	}
	c.now = end
}
