package fakes

import (
	"container/heap"
	"time"
)

// Epoch is the time of day at which simulated time begins.
var Epoch = time.Unix(1_700_000_000, 0)

// Clock runs scheduled events one after the other, in order of their times. Events of
// the same time run in the order in which they were scheduled.
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

// Push is part of heap.Interface.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop is part of heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// NewClock makes a clock that shows the given time.
func NewClock(now time.Time) *Clock { return &Clock{now: now} }

// Now is the time that the clock shows.
func (c *Clock) Now() time.Time { return c.now }

// Schedule has a function run after a delay.
func (c *Clock) Schedule(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{c.now.Add(delay), c.sequence, run})
}

// Due reports whether an event is scheduled for a time no later than end.
func (c *Clock) Due(end time.Time) bool {
	return len(c.queue) > 0 && !c.queue[0].at.After(end)
}

// Step sets the clock to the next event's time and runs it.
func (c *Clock) Step() {
	next := heap.Pop(&c.queue).(event)
	c.now = next.at
	next.run()
}

// AdvanceTo moves the clock on to a time before which no event is due.
func (c *Clock) AdvanceTo(now time.Time) { c.now = now }

// RunUntil runs all events that are due by a time and sets the clock to it.
func (c *Clock) RunUntil(end time.Time) {
	for c.Due(end) {
		c.Step()
	}
	c.now = end
}
