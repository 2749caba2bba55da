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
	log := NewCancellationLog(1, cancel, writesPerS)
	for i := range written {
		log.Add(startTime, fmt.Sprintf("job-%d", i))
		log.Acknowledge([]string{fmt.Sprintf("job-%d", i)}, 0, 4)
	}
	if _, complete := log.Pending(startTime, []uint64{4}); !complete {
		t.Error("a cancellation that could be written was left out")
	}
	log.Add(startTime, "job-last")
	if _, complete := log.Pending(startTime, []uint64{4}); complete {
		t.Error("vouches although one was left out")
	}
}

// What a node has to pass on of what it told, and when it cannot vouch for that.
func TestPendingCancellations(t *testing.T) {
	const cancel = 35 * time.Second
	at := func(s float64) time.Time { return startTime.Add(time.Duration(s * float64(time.Second))) }
	for _, test := range []struct {
		name   string
		play   func(log *CancellationLog)
		when   float64
		tokens []uint64
		want   []string
		whole  bool
	}{
		{"told, and no holder has it", func(log *CancellationLog) { log.Add(startTime, "job-1") }, 1, []uint64{4}, []string{"job-1"}, true},
		{"the holder has it", func(log *CancellationLog) { log.Add(startTime, "job-1"); log.Acknowledge([]string{"job-1"}, 0, 4) }, 1, []uint64{4}, nil, true},
		{"a later holder may not have it", func(log *CancellationLog) { log.Add(startTime, "job-1"); log.Acknowledge([]string{"job-1"}, 0, 4) }, 1, []uint64{5}, []string{"job-1"}, true},
		{"an earlier holder's word changes nothing", func(log *CancellationLog) {
			log.Add(startTime, "job-1")
			log.Acknowledge([]string{"job-1"}, 0, 5)
			log.Acknowledge([]string{"job-1"}, 0, 4)
		}, 1, []uint64{5}, nil, true},
		{"one block's holder has it, the other's not", func(log *CancellationLog) { log.Add(startTime, "job-1"); log.Acknowledge([]string{"job-1"}, 0, 4) }, 1, []uint64{4, 7}, []string{"job-1"}, true},
		{"no holder is known", func(log *CancellationLog) { log.Add(startTime, "job-1") }, 1, []uint64{0}, []string{"job-1"}, true},
		{"told twice", func(log *CancellationLog) { log.Add(startTime, "job-1"); log.Add(at(1), "job-1") }, 2, []uint64{4}, []string{"job-1"}, true},
		{"within the time its tasks have, still kept", func(log *CancellationLog) { log.Add(startTime, "job-1") }, 69, []uint64{4}, []string{"job-1"}, true},
		{"long told", func(log *CancellationLog) { log.Add(startTime, "job-1"); log.Add(at(20), "job-2") }, 71, []uint64{4}, []string{"job-2"}, true},
		{"no room for one: no vouching until its tasks are gone", func(log *CancellationLog) {
			for i := range tuning.MinCancellationsKept + 1 {
				log.Add(startTime, fmt.Sprintf("job-%d", i))
			}
			for i := range tuning.MinCancellationsKept {
				log.Acknowledge([]string{fmt.Sprintf("job-%d", i)}, 0, 4)
			}
		}, 60, []uint64{4}, nil, false},
		{"and after that again", func(log *CancellationLog) {
			for i := range tuning.MinCancellationsKept + 1 {
				log.Add(startTime, fmt.Sprintf("job-%d", i))
			}
		}, 71, []uint64{4}, nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := NewCancellationLog(2, cancel, 0)
			test.play(log)
			got, complete := log.Pending(at(test.when), test.tokens)
			if !slices.Equal(got, test.want) || complete != test.whole {
				t.Errorf("pending %v, all %v; want %v, %v", got, complete, test.want, test.whole)
			}
		})
	}
	log := NewCancellationLog(1, cancel, 0)
	for i := range tuning.MaxCancellationsPerMessage + 1 {
		log.Add(startTime, fmt.Sprintf("job-%d", i))
	}
	if got, complete := log.Pending(startTime, []uint64{1}); len(got) != tuning.MaxCancellationsPerMessage || complete {
		t.Errorf("more than fit one message: %d passed on, all %v", len(got), complete)
	}
}

// Whichever way a node comes to tell a user of a cancellation, it notes that first.
func TestCancellationRecordedFirst(t *testing.T) {
	read := store.Result{Status: 200, Revision: 11}
	for _, test := range []struct {
		name    string
		ask     func(f *fixture, reply func(Response))
		answers []store.Result
		told    bool
	}{
		{"its own cancellation", func(f *fixture, reply func(Response)) { f.service.Cancel(startTime, "job-1", reply) }, []store.Result{jobResult(wire.JobPending), success}, true},
		{"found after a lost answer", func(f *fixture, reply func(Response)) { f.service.Cancel(startTime, "job-1", reply) }, []store.Result{jobResult(wire.JobPending), noAnswer, notFound, jobResult(wire.JobCancelled)}, true},
		{"cancelled before, by another node", func(f *fixture, reply func(Response)) { f.service.Cancel(startTime, "job-1", reply) }, []store.Result{notFound, jobResult(wire.JobCancelled)}, true},
		{"a question", func(f *fixture, reply func(Response)) { f.service.Query(startTime, "job-1", reply) }, []store.Result{read, jobResult(wire.JobCancelled)}, true},
		{"a repeated submission", func(f *fixture, reply func(Response)) { f.service.Submit(startTime, newSubmission(nil), reply) }, []store.Result{conflict, notFound, jobResult(wire.JobCancelled)}, true},
		{"a repeat of one that would be refused now", func(f *fixture, reply func(Response)) {
			f.service.Submit(startTime, newSubmission(func(s *wire.JobSpec) { s.Team = "green" }), reply)
		}, []store.Result{notFound, jobResult(wire.JobCancelled)}, true},
		{"a job that is done", func(f *fixture, reply func(Response)) { f.service.Query(startTime, "job-1", reply) }, []store.Result{read, jobResult(wire.JobDone)}, false},
		{"no answer", func(f *fixture, reply func(Response)) { f.service.Cancel(startTime, "job-1", reply) }, []store.Result{jobResult(wire.JobPending), outage}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(testMachineTypes)
			answered, noted := false, 0
			test.ask(f, func(Response) { answered, noted = true, len(f.cancelled) })
			for _, answer := range test.answers {
				f.answer(answer)
			}
			if want := map[bool]int{true: 1}[test.told]; !answered || noted != want {
				t.Errorf("answered %v with %d noted, want %d", answered, noted, want)
			}
		})
	}
}
