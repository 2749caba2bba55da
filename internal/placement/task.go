// Package placement decides what runs where within one block: paired queues
// for array tasks, whole placement for gangs, and what is handed out when.
package placement

import (
	"maps"
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Phase is the state of a task's one copy. Copies that only wait in queues
// are nowhere; at most one is handed out at any time.
type Phase int

// The phases of a task.
const (
	// Idle: on no machine.
	Idle Phase = iota
	// Sent: handed out to a machine that has not yet reported it.
	Sent
	// Live: on its machine, as reported.
	Live
	// Stopping: told to stop and not yet known gone.
	Stopping
	// Finished: completed.
	Finished
)

func (p Phase) String() string {
	return [...]string{"idle", "sent", "live", "stopping", "finished"}[p]
}

// Task is a task that is queued or on a machine.
type Task struct {
	Job   *Job
	N     int
	phase Phase

	// the copy handed out
	at       *worker.Machine
	attempt  uint64
	spare    bool
	reported bool      // a report has shown this attempt
	ordered  bool      // the run order has gone out at least once
	session  uint64    // the worker's session when it was ordered
	seq      uint64    // the newest report whose answer carried the order
	openDo   int       // direct commands with the order that were not answered
	sentAt   time.Time // when it was handed out
	runFrom  time.Time // when first reported running
	stage    string
	grace    float64 // of the stop
	stopDue  bool    // a stop is to go out directly

	// the copies in queues
	main      *worker.Machine
	mainSince time.Time
	low       *worker.Machine
	stops     int // how often its spare was stopped
}

// Name is the task's name.
func (t *Task) Name() string { return wire.TaskName(t.Job.Spec.ID, t.N) }

// Job is an open job, or a closed one whose tasks are not all gone yet.
type Job struct {
	Spec    wire.JobSpec
	At      time.Time // when it was accepted, by the time of day
	Since   time.Time // since when it has been known, by the steady clock
	Version uint64    // version of its record
	Early   bool      // accepted before this tenure: its tasks may be on machines not heard yet

	Before bool // marked as begun by an earlier tenure

	priority int
	level    int // the priority, raised for age
	need     quota.Room
	closed   bool
	goneBy   time.Time // of a closed job: when none of its tasks may be left

	tasks    map[int]*Task // queued or on a machine
	next     int           // the first task never taken up
	returned []comeback    // tasks that were taken up and came back
	done     bitset
	durable  bitset
	located  int // tasks on machines

	attempt   uint64 // the gang's attempt
	broken    bool   // the gang's attempt is over; its tasks have to go
	seq       uint64
	notBefore time.Time
	failedOn  map[string]int
	errors    int
	shortRuns int             // of a service's replicas, one after the other, that ended as soon as they had begun
	wellOn    map[string]bool // machines on which a task of it completed
	turn      float64         // its place in the order, a time of day in seconds
	begin     beginning
	late      bool      // its turn is too late to go first where its image is
	seeds     bool      // its image is on fewer machines than its work could fill
	missed    [2]uint64 // the change up to which no machine had room for it, with its image there and without
	why       string    // why it waits, as last logged
}

// beginning tells whether a job is marked as begun: a successor then knows that
// the tasks of jobs without the mark are on no machine.
type beginning int

const (
	unbegun    beginning = iota
	beginAsked           // the mark is on its way to the state service
	begun                // the mark is durable: its tasks may start
)

type comeback struct {
	n  int
	at time.Time
}

// Gang tells whether all tasks run together or none.
func (j *Job) Gang() bool { return j.Spec.Shape == wire.ShapeGang }

// Service tells whether the job is a service, which ends only when cancelled.
func (j *Job) Service() bool { return j.Spec.Shape == wire.ShapeService }

// Priority is the job's own, as its user gave it: a larger one goes first.
func (j *Job) Priority() int { return j.priority }

// Done is how many tasks have completed.
func (j *Job) Done() int { return j.done.count }

// Located is how many tasks are on machines.
func (j *Job) Located() int { return j.located }

// WaitsFor says why the job's next task does not start, "" when none waits.
func (j *Job) WaitsFor() string {
	if j.why == "" && j.held() > 0 {
		return "its turn"
	}
	return j.why
}

// Complete tells whether every task has completed.
func (j *Job) Complete() bool { return j.done.count == j.Spec.Tasks }

// held is how many tasks are neither done nor taken up.
func (j *Job) held() int { return j.Spec.Tasks - j.done.count - len(j.tasks) }

// sorted lists the tasks that are queued or on a machine, by number.
func (j *Job) sorted() []*Task {
	out := make([]*Task, 0, len(j.tasks))
	for _, n := range slices.Sorted(maps.Keys(j.tasks)) {
		out = append(out, j.tasks[n])
	}
	return out
}

// take finds a held task's number.
func (j *Job) take(now time.Time) (int, bool) {
	for i, c := range j.returned {
		if c.at.After(now) {
			continue
		}
		j.returned = append(j.returned[:i:i], j.returned[i+1:]...)
		if j.done.has(c.n) || j.tasks[c.n] != nil {
			return j.take(now)
		}
		return c.n, true
	}
	for j.next < j.Spec.Tasks {
		n := j.next
		j.next++
		if !j.done.has(n) && j.tasks[n] == nil {
			return n, true
		}
	}
	return 0, false
}

// giveBack makes a task held again.
func (j *Job) giveBack(n int, at time.Time) {
	if !j.done.has(n) {
		j.returned = append(j.returned, comeback{n, at})
	}
}

// bitset is a set of task numbers.
type bitset struct {
	words []uint64
	count int
}

func newBitset(n int) bitset { return bitset{words: make([]uint64, (n+63)/64)} }

func (b *bitset) has(n int) bool { return b.words[n/64]&(1<<(n%64)) != 0 }

func (b *bitset) add(n int) bool {
	if b.has(n) {
		return false
	}
	b.words[n/64] |= 1 << (n % 64)
	b.count++
	return true
}
