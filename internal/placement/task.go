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
	// Unassigned: on no machine.
	Unassigned Phase = iota
	// Dispatched: handed out to a machine that has not yet reported it.
	Dispatched
	// Active: on its machine, as reported.
	Active
	// Stopping: told to stop and not yet known gone.
	Stopping
	// Completed: completed.
	Completed
)

func (p Phase) String() string {
	return [...]string{"idle", "sent", "live", "stopping", "finished"}[p]
}

// Task is a task that is queued or on a machine.
type Task struct {
	Job   *Job
	Index int
	phase Phase

	// the copy handed out
	machine            *worker.Machine
	attempt            uint64
	isBackup           bool
	reported           bool      // a report has shown this attempt
	commandSent        bool      // the run order has gone out at least once
	incarnation        uint64    // the worker's session when it was ordered
	commandSeq         uint64    // the newest report whose answer carried the order
	unansweredCommands int       // direct commands with the order that were not answered
	dispatchedAt       time.Time // when it was handed out
	runningSince       time.Time // when first reported running
	stage              string
	stopGrace          float64 // of the stop
	stopPending        bool    // a stop is to go out directly

	// the copies in queues
	primary         *worker.Machine
	primaryQueuedAt time.Time
	backup          *worker.Machine
	backupStops     int // how often its spare was stopped
}

// Name is the task's name.
func (t *Task) Name() string { return wire.TaskName(t.Job.Spec.ID, t.Index) }

// Job is an open job, or a closed one whose tasks are not all gone yet.
type Job struct {
	Spec            wire.JobSpec
	AcceptedAt      time.Time // when it was accepted, by the time of day
	KnownSince      time.Time // since when it has been known, by the steady clock
	Version         uint64    // version of its record
	FromEarlierTerm bool      // accepted before this tenure: its tasks may be on machines not heard yet

	StartedInEarlierTerm bool // marked as begun by an earlier tenure

	priority          int
	effectivePriority int // the priority, raised for age
	need              quota.Resources
	closed            bool
	tasksGoneBy       time.Time // of a closed job: when none of its tasks may be left

	tasks            map[int]*Task  // queued or on a machine
	nextIndex        int            // the first task never taken up
	returnedTasks    []returnedTask // tasks that were taken up and came back
	completed        bitset
	durablyCompleted bitset
	assigned         int // tasks on machines

	attempt           uint64 // the gang's attempt
	aborting          bool   // the gang's attempt is over; its tasks have to go
	attemptSequence   uint64
	notBefore         time.Time
	failedOn          map[string]int
	failures          int
	shortRuns         int             // of a service's replicas, one after the other, that ended as soon as they had begun
	succeededOn       map[string]bool // machines on which a task of it completed
	fairSharePosition float64         // its place in the order, a time of day in seconds
	startMarker       startMarkerState
	pastImagePatience bool      // its turn is too late to go first where its image is
	needsMoreImages   bool      // its image is on fewer machines than its work could fill
	noRoomRevisions   [2]uint64 // the change up to which no machine had room for it, with its image there and without
	pendingReason     string    // why it waits, as last logged
}

// startMarkerState tells whether a job is marked as begun: a successor then knows that
// the tasks of jobs without the mark are on no machine.
type startMarkerState int

const (
	startMarkerAbsent    startMarkerState = iota
	startMarkerRequested                  // the mark is on its way to the state service
	startMarkerDurable                    // the mark is durable: its tasks may start
)

type returnedTask struct {
	index     int
	notBefore time.Time
}

// IsGang tells whether all tasks run together or none.
func (j *Job) IsGang() bool { return j.Spec.Shape == wire.ShapeGang }

// IsService tells whether the job is a service, which ends only when cancelled.
func (j *Job) IsService() bool { return j.Spec.Shape == wire.ShapeService }

// Priority is the job's own, as its user gave it: a larger one goes first.
func (j *Job) Priority() int { return j.priority }

// CompletedTasks is how many tasks have completed.
func (j *Job) CompletedTasks() int { return j.completed.count }

// AssignedTasks is how many tasks are on machines.
func (j *Job) AssignedTasks() int { return j.assigned }

// PendingReason says why the job's next task does not start, "" when none waits.
func (j *Job) PendingReason() string {
	if j.pendingReason == "" && j.pendingTasks() > 0 {
		return "its turn"
	}
	return j.pendingReason
}

// IsComplete tells whether every task has completed.
func (j *Job) IsComplete() bool { return j.completed.count == j.Spec.Tasks }

// pendingTasks is how many tasks are neither done nor taken up.
func (j *Job) pendingTasks() int { return j.Spec.Tasks - j.completed.count - len(j.tasks) }

// tasksByIndex lists the tasks that are queued or on a machine, by number.
func (j *Job) tasksByIndex() []*Task {
	tasks := make([]*Task, 0, len(j.tasks))
	for _, n := range slices.Sorted(maps.Keys(j.tasks)) {
		tasks = append(tasks, j.tasks[n])
	}
	return tasks
}

// takePendingTask finds a held task's number.
func (j *Job) takePendingTask(now time.Time) (int, bool) {
	for i, returned := range j.returnedTasks {
		if returned.notBefore.After(now) {
			continue
		}
		j.returnedTasks = append(j.returnedTasks[:i:i], j.returnedTasks[i+1:]...)
		if j.completed.has(returned.index) || j.tasks[returned.index] != nil {
			return j.takePendingTask(now)
		}
		return returned.index, true
	}
	for j.nextIndex < j.Spec.Tasks {
		index := j.nextIndex
		j.nextIndex++
		if !j.completed.has(index) && j.tasks[index] == nil {
			return index, true
		}
	}
	return 0, false
}

// returnToPending makes a task held again.
func (j *Job) returnToPending(index int, notBefore time.Time) {
	if !j.completed.has(index) {
		j.returnedTasks = append(j.returnedTasks, returnedTask{index, notBefore})
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
