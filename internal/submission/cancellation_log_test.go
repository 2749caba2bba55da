package submission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// A deployment whose state service takes many changes can have more cancellations than the
// least number noted: there is room for all that can be written while they are kept.
func TestCancellationLogSize(t *testing.T) {
	const cancel, writesPerS, written = 40 * time.Second, 200, 8000
	l := NewCancellationLog(1, cancel, writesPerS)
	for i := range written {
		l.Add(now, fmt.Sprintf("job-%d", i))
		l.Had([]string{fmt.Sprintf("job-%d", i)}, 0, 4)
	}
	if _, whole := l.Pending(now, []uint64{4}); !whole {
		t.Error("a cancellation that could be written was left out")
	}
	l.Add(now, "job-last")
	if _, whole := l.Pending(now, []uint64{4}); whole {
		t.Error("vouches although one was left out")
	}
}

// What a node has to pass on of what it told, and when it cannot vouch for that.
func TestTold(t *testing.T) {
	const cancel = 35 * time.Second
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name   string
		play   func(l *CancellationLog)
		when   float64
		tokens []uint64
		want   []string
		whole  bool
	}{
		{"told, and no holder has it", func(l *CancellationLog) { l.Add(now, "job-1") }, 1, []uint64{4}, []string{"job-1"}, true},
		{"the holder has it", func(l *CancellationLog) { l.Add(now, "job-1"); l.Had([]string{"job-1"}, 0, 4) }, 1, []uint64{4}, nil, true},
		{"a later holder may not have it", func(l *CancellationLog) { l.Add(now, "job-1"); l.Had([]string{"job-1"}, 0, 4) }, 1, []uint64{5}, []string{"job-1"}, true},
		{"an earlier holder's word changes nothing", func(l *CancellationLog) {
			l.Add(now, "job-1")
			l.Had([]string{"job-1"}, 0, 5)
			l.Had([]string{"job-1"}, 0, 4)
		}, 1, []uint64{5}, nil, true},
		{"one block's holder has it, the other's not", func(l *CancellationLog) { l.Add(now, "job-1"); l.Had([]string{"job-1"}, 0, 4) }, 1, []uint64{4, 7}, []string{"job-1"}, true},
		{"no holder is known", func(l *CancellationLog) { l.Add(now, "job-1") }, 1, []uint64{0}, []string{"job-1"}, true},
		{"told twice", func(l *CancellationLog) { l.Add(now, "job-1"); l.Add(at(1), "job-1") }, 2, []uint64{4}, []string{"job-1"}, true},
		{"within the time its tasks have, still kept", func(l *CancellationLog) { l.Add(now, "job-1") }, 69, []uint64{4}, []string{"job-1"}, true},
		{"long told", func(l *CancellationLog) { l.Add(now, "job-1"); l.Add(at(20), "job-2") }, 71, []uint64{4}, []string{"job-2"}, true},
		{"no room for one: no vouching until its tasks are gone", func(l *CancellationLog) {
			for i := range tuning.CancellationsKept + 1 {
				l.Add(now, fmt.Sprintf("job-%d", i))
			}
			for i := range tuning.CancellationsKept {
				l.Had([]string{fmt.Sprintf("job-%d", i)}, 0, 4)
			}
		}, 60, []uint64{4}, nil, false},
		{"and after that again", func(l *CancellationLog) {
			for i := range tuning.CancellationsKept + 1 {
				l.Add(now, fmt.Sprintf("job-%d", i))
			}
		}, 71, []uint64{4}, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewCancellationLog(2, cancel, 0)
			c.play(l)
			got, whole := l.Pending(at(c.when), c.tokens)
			if !slices.Equal(got, c.want) || whole != c.whole {
				t.Errorf("pending %v, all %v; want %v, %v", got, whole, c.want, c.whole)
			}
		})
	}
	l := NewCancellationLog(1, cancel, 0)
	for i := range tuning.CancellationsAtOnce + 1 {
		l.Add(now, fmt.Sprintf("job-%d", i))
	}
	if got, whole := l.Pending(now, []uint64{1}); len(got) != tuning.CancellationsAtOnce || whole {
		t.Errorf("more than fit one message: %d passed on, all %v", len(got), whole)
	}
}

// Whichever way a node comes to tell a user of a cancellation, it notes that first.
func TestTellsOfCancellation(t *testing.T) {
	read := store.Result{Revision: 11}
	for _, c := range []struct {
		name    string
		ask     func(d *desk, reply func(Response))
		answers []store.Result
		told    bool
	}{
		{"its own cancellation", func(d *desk, r func(Response)) { d.s.Cancel(now, "job-1", r) }, []store.Result{rec(wire.JobPending), ok}, true},
		{"found after a lost answer", func(d *desk, r func(Response)) { d.s.Cancel(now, "job-1", r) }, []store.Result{rec(wire.JobPending), none, missing, rec(wire.JobCancelled)}, true},
		{"cancelled before, by another node", func(d *desk, r func(Response)) { d.s.Cancel(now, "job-1", r) }, []store.Result{missing, rec(wire.JobCancelled)}, true},
		{"a question", func(d *desk, r func(Response)) { d.s.Query(now, "job-1", r) }, []store.Result{read, rec(wire.JobCancelled)}, true},
		{"a repeated submission", func(d *desk, r func(Response)) { d.s.Submit(now, job(nil), r) }, []store.Result{conflict, missing, rec(wire.JobCancelled)}, true},
		{"a repeat of one that would be refused now", func(d *desk, r func(Response)) {
			d.s.Submit(now, job(func(s *wire.JobSpec) { s.Team = "green" }), r)
		}, []store.Result{missing, rec(wire.JobCancelled)}, true},
		{"a job that is done", func(d *desk, r func(Response)) { d.s.Query(now, "job-1", r) }, []store.Result{read, rec(wire.JobDone)}, false},
		{"no answer", func(d *desk, r func(Response)) { d.s.Cancel(now, "job-1", r) }, []store.Result{rec(wire.JobPending), outage}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDesk(types)
			answered, noted := false, 0
			c.ask(d, func(Response) { answered, noted = true, len(d.told) })
			for _, a := range c.answers {
				d.answer(a)
			}
			if want := map[bool]int{true: 1}[c.told]; !answered || noted != want {
				t.Errorf("answered %v with %d noted, want %d", answered, noted, want)
			}
		})
	}
}
