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

func addCancellations(log *CancellationLog, count int) {
	for i := range count {
		log.Add(startTime, fmt.Sprintf("job-%d", i))
	}
}

func acknowledgeCancellations(log *CancellationLog, count int, token uint64) {
	for i := range count {
		log.Acknowledge([]string{fmt.Sprintf("job-%d", i)}, 0, token)
	}
}

// At a high write rate of the state service, the minimum capacity would be too small for all cancellations
// that can be written within the retention time.
func TestCancellationLogCapacity(t *testing.T) {
	const (
		cancelTime = 40 * time.Second
		writesPerS = 200
		written    = 8000
	)
	log := NewCancellationLog(1, cancelTime, writesPerS)
	addCancellations(log, written)
	acknowledgeCancellations(log, written, 4)
	if _, complete := log.Pending(startTime, []uint64{4}); !complete {
		t.Error("a cancellation within the write rate was dropped")
	}
	log.Add(startTime, "job-last")
	if _, complete := log.Pending(startTime, []uint64{4}); complete {
		t.Error("complete although a cancellation was dropped")
	}
}

// secondsAfterStart returns the time s seconds after startTime.
func secondsAfterStart(s float64) time.Time {
	return startTime.Add(time.Duration(s * float64(time.Second)))
}

func addOne(log *CancellationLog) { log.Add(startTime, "job-1") }

// pendingTest is the content of a log, and the cancellations expected to be pending for the given tokens.
type pendingTest struct {
	name         string
	record       func(log *CancellationLog)
	atSeconds    float64
	tokens       []uint64
	wantIDs      []string
	wantComplete bool
}

var pendingTests = []pendingTest{
	{
		name:         "not acknowledged",
		record:       addOne,
		atSeconds:    1,
		tokens:       []uint64{4},
		wantIDs:      []string{"job-1"},
		wantComplete: true,
	},
	{
		name: "acknowledged",
		record: func(log *CancellationLog) {
			addOne(log)
			log.Acknowledge([]string{"job-1"}, 0, 4)
		},
		atSeconds:    1,
		tokens:       []uint64{4},
		wantComplete: true,
	},
	{
		name: "acknowledged by the previous lease holder",
		record: func(log *CancellationLog) {
			addOne(log)
			log.Acknowledge([]string{"job-1"}, 0, 4)
		},
		atSeconds:    1,
		tokens:       []uint64{5},
		wantIDs:      []string{"job-1"},
		wantComplete: true,
	},
	{
		name: "delayed acknowledgement of the previous lease holder",
		record: func(log *CancellationLog) {
			addOne(log)
			log.Acknowledge([]string{"job-1"}, 0, 5)
			log.Acknowledge([]string{"job-1"}, 0, 4)
		},
		atSeconds:    1,
		tokens:       []uint64{5},
		wantComplete: true,
	},
	{
		name: "acknowledged for one of two shards",
		record: func(log *CancellationLog) {
			addOne(log)
			log.Acknowledge([]string{"job-1"}, 0, 4)
		},
		atSeconds:    1,
		tokens:       []uint64{4, 7},
		wantIDs:      []string{"job-1"},
		wantComplete: true,
	},
	{
		name:         "shard without a lease holder",
		record:       addOne,
		atSeconds:    1,
		tokens:       []uint64{0},
		wantIDs:      []string{"job-1"},
		wantComplete: true,
	},
	{
		name: "added twice",
		record: func(log *CancellationLog) {
			addOne(log)
			log.Add(secondsAfterStart(1), "job-1")
		},
		atSeconds:    2,
		tokens:       []uint64{4},
		wantIDs:      []string{"job-1"},
		wantComplete: true,
	},
	{
		name:         "within the retention time",
		record:       addOne,
		atSeconds:    69,
		tokens:       []uint64{4},
		wantIDs:      []string{"job-1"},
		wantComplete: true,
	},
	{
		name: "past the retention time",
		record: func(log *CancellationLog) {
			addOne(log)
			log.Add(secondsAfterStart(20), "job-2")
		},
		atSeconds:    71,
		tokens:       []uint64{4},
		wantIDs:      []string{"job-2"},
		wantComplete: true,
	},
	{
		name: "entry dropped within the retention time",
		record: func(log *CancellationLog) {
			addCancellations(log, tuning.MinCancellationsKept+1)
			acknowledgeCancellations(log, tuning.MinCancellationsKept, 4)
		},
		atSeconds: 60,
		tokens:    []uint64{4},
	},
	{
		name: "entry dropped longer ago than the retention time",
		record: func(log *CancellationLog) {
			addCancellations(log, tuning.MinCancellationsKept+1)
		},
		atSeconds:    71,
		tokens:       []uint64{4},
		wantComplete: true,
	},
}

func TestPendingCancellations(t *testing.T) {
	const cancelTime = 35 * time.Second // half of the retention
	for _, test := range pendingTests {
		t.Run(test.name, func(t *testing.T) {
			log := NewCancellationLog(2, cancelTime, 0)
			test.record(log)
			got, complete := log.Pending(secondsAfterStart(test.atSeconds), test.tokens)
			if !slices.Equal(got, test.wantIDs) || complete != test.wantComplete {
				t.Errorf("pending %v, complete %v; want %v, %v", got, complete, test.wantIDs, test.wantComplete)
			}
		})
	}
	log := NewCancellationLog(1, cancelTime, 0)
	addCancellations(log, tuning.MaxCancellationsPerMessage+1)
	got, complete := log.Pending(startTime, []uint64{1})
	if len(got) != tuning.MaxCancellationsPerMessage || complete {
		t.Errorf("%d pending, complete %v; want %d, false",
			len(got), complete, tuning.MaxCancellationsPerMessage)
	}
}

// recordedBeforeReplyTest is a request whose response may report that job-1 is cancelled.
type recordedBeforeReplyTest struct {
	name     string
	request  func(f *fixture, reply func(Response))
	results  []store.Result
	recorded int // number of cancellations recorded before the reply
}

var recordedBeforeReplyTests = []recordedBeforeReplyTest{
	{
		name:     "cancellation",
		request:  (*fixture).cancel,
		results:  []store.Result{storedJob(wire.JobPending), success},
		recorded: 1,
	},
	{
		name:     "cancellation executed without a response",
		request:  (*fixture).cancel,
		results:  []store.Result{storedJob(wire.JobPending), noResponse, notFound, storedJob(wire.JobCancelled)},
		recorded: 1,
	},
	{
		name:     "job cancelled by another controller",
		request:  (*fixture).cancel,
		results:  []store.Result{notFound, storedJob(wire.JobCancelled)},
		recorded: 1,
	},
	{
		name:     "query of a cancelled job",
		request:  (*fixture).query,
		results:  []store.Result{{Revision: 11}, storedJob(wire.JobCancelled)},
		recorded: 1,
	},
	{
		name:     "repeated submission of a cancelled job",
		request:  func(f *fixture, reply func(Response)) { f.submit(newSpec(nil), reply) },
		results:  []store.Result{conflict, notFound, storedJob(wire.JobCancelled)},
		recorded: 1,
	},
	{
		name: "repeated submission of a cancelled job that would be rejected now",
		request: func(f *fixture, reply func(Response)) {
			f.submit(newSpec(func(spec *wire.JobSpec) { spec.Team = "green" }), reply)
		},
		results:  []store.Result{notFound, storedJob(wire.JobCancelled)},
		recorded: 1,
	},
	{
		name:    "query of a completed job",
		request: (*fixture).query,
		results: []store.Result{{Revision: 11}, storedJob(wire.JobDone)},
	},
	{
		name:    "cancellation during an outage",
		request: (*fixture).cancel,
		results: []store.Result{storedJob(wire.JobPending), outage},
	},
}

// A lease holder without access to the state service would not learn of a cancellation that is reported to
// a user before it is recorded.
func TestCancellationRecordedBeforeReply(t *testing.T) {
	for _, test := range recordedBeforeReplyTests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(testMachineTypes)
			replied, recorded := false, 0
			test.request(f, func(Response) { replied, recorded = true, len(f.cancelled) })
			f.completeAll(test.results)
			if !replied || recorded != test.recorded {
				t.Errorf("replied %v with %d cancellations recorded, want %d", replied, recorded, test.recorded)
			}
		})
	}
}
