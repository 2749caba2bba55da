package placement

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Settings are the operators' settings that placement heeds.
type Settings struct {
	DropThreshold int // stops after which a spare is dropped
}

// Counters tell what became of the copies.
type Counters struct {
	MainsStarted, SparesStarted, SparesFinished, SparesYielded, SparesDropped, Redrawn, Preempted, Failed, GangsPlaced, Moved int
}

// host is what the board keeps of one machine: its queues, the tasks handed
// out to it, and what the last survey saw of its room.
type host struct {
	m         *worker.Machine
	high, low []*Task
	on        []*Task // handed out and not known gone
	// direct holds the attempts started by direct commands in the worker's
	// session. A repeat of such a command may come minutes later, and starts
	// the attempt anew if the worker has forgotten it: these are never reaped.
	direct    map[attemptKey]bool
	seen      view
	gainedAt  uint64 // the change, counted by the survey, in which it last gained room or an image
	roomIndex int    // its place among the survey's machines with room, from 1; 0: it has none
	noted     bool   // something about it changed since the last survey
	urgent    bool   // it is among those to be told at once
}

// attempt is one attempt of a task.
type attemptKey struct {
	task    string
	attempt uint64
}

// Board is the placement state of one block in one tenure.
type Board struct {
	Set Settings
	// Begin is asked to mark a job as begun, and calls Begun once that is
	// durable. Without it no marks are kept.
	Begin func(now time.Time, j *Job)
	// AttemptsUsedUp tells that a job has had nearly as many attempts as a tenure has
	// numbers for: a new tenure is needed before they are repeated.
	AttemptsUsedUp bool
	asked          int // marks on their way
	Count          Counters
	facts          config.Platform
	token          uint64
	book           *quota.Book
	reg            *worker.Registry
	rng            *rand.Rand
	log            *slog.Logger
	jobs           map[string]*Job
	order          []*Job // open jobs by priority, then age
	hosts          map[*worker.Machine]*host
	survey         survey
	urgent         []*host
	open           bool      // every machine the block may have is heard or surely gone
	levels         []level   // the open jobs by priority and turn, as last sorted
	sortedAt       time.Time // when that was
	unsorted       bool      // jobs have come or gone since
	drawDue        time.Time
	tried          int  // gangs that found no room in this draw
	fitted         int  // gangs placed in this draw
	drawn          int  // arrays' tasks queued in this draw
	first          *Job // the gang before which no other of its priority is placed
	unexpected     map[*worker.Machine][]wire.TaskStatus
	runRatio       map[string]float64 // by class: run time over the owner's estimate
	seen           map[string]bool    // classes of which a job has come
	// unreadable are open jobs whose records cannot be read.
	unreadable map[string]bool
	closeDue   time.Time
	finished   func(now time.Time, j *Job)
}

// NewBoard makes an empty board; finished is told of each task's completion.
func NewBoard(facts config.Platform, token uint64, book *quota.Book, reg *worker.Registry, rng *rand.Rand,
	log *slog.Logger, finished func(now time.Time, j *Job)) *Board {
	return &Board{
		Set: Settings{DropThreshold: tuning.DropThreshold}, facts: facts, token: token, book: book, reg: reg, rng: rng, log: log,
		jobs: map[string]*Job{}, hosts: map[*worker.Machine]*host{}, survey: newSurvey(),
		unexpected: map[*worker.Machine][]wire.TaskStatus{}, runRatio: map[string]float64{}, seen: map[string]bool{}, unreadable: map[string]bool{}, finished: finished,
	}
}

// Job returns an open job, or nil.
func (b *Board) Job(id string) *Job {
	if j := b.jobs[id]; j != nil && !j.closed {
		return j
	}
	return nil
}

// SetUnreadable notes that there is an open job whose record this version cannot read:
// what machines run of it is left alone, and neither stopped nor started.
func (b *Board) SetUnreadable(id string, unreadable bool) {
	if unreadable {
		b.unreadable[id] = true
		return
	}
	delete(b.unreadable, id)
}

// Jobs lists the open jobs by priority, then age.
func (b *Board) Jobs() []*Job { return b.order }

// AddJob takes up an open job.
func (b *Board) AddJob(now time.Time, spec wire.JobSpec, at time.Time, version uint64, early bool) *Job {
	if j := b.jobs[spec.ID]; j != nil {
		j.Version = version
		return j
	}
	priority, _ := wire.Priority(spec.Priority)
	j := &Job{
		Spec: spec, At: at, Since: now, Version: version, Early: early, priority: priority, level: priority,
		need:  quota.Room{CPUs: spec.Vcpus, GPUs: spec.Gpus, MemGB: spec.MemGb},
		tasks: map[int]*Task{}, done: newBitset(spec.Tasks), durable: newBitset(spec.Tasks),
		failedOn: map[string]int{}, wellOn: map[string]bool{},
	}
	b.jobs[spec.ID] = j
	b.seen[spec.Class] = true
	i, _ := slices.BinarySearchFunc(b.order, j, func(a, x *Job) int {
		if a.priority != x.priority {
			return x.priority - a.priority
		}
		if c := a.At.Compare(x.At); c != 0 {
			return c
		}
		if a.Spec.ID < x.Spec.ID {
			return -1
		}
		return 1
	})
	b.order = slices.Insert(b.order, i, j)
	b.reorder()
	b.log.Debug("job open", "job", spec.ID, "class", spec.Class, "team", spec.Team, "shape", spec.Shape, "tasks", spec.Tasks)
	return j
}

// Recover marks tasks as durably done, from the tallies.
func (j *Job) Recover(n int) {
	if n >= 0 && n < j.Spec.Tasks {
		j.done.add(n)
		j.durable.add(n)
	}
}

// Durable marks a completed task's outcome as kept by the state service.
func (j *Job) Durable(n int) { j.durable.add(n) }

// Unsaved lists the completed tasks of a range whose outcome is not durable,
// and all completed tasks of the range as bits.
func (j *Job) Unsaved(from, to int) (fresh []int, bits []byte) {
	to = min(to, j.Spec.Tasks)
	bits = make([]byte, (to-from+7)/8)
	for n := from; n < to; n++ {
		if j.done.has(n) {
			bits[(n-from)/8] |= 1 << ((n - from) % 8)
			if !j.durable.has(n) {
				fresh = append(fresh, n)
			}
		}
	}
	return fresh, bits
}

// CloseJob ends a job, done or cancelled: none of its tasks starts any more,
// and those on machines are told to stop. They must be gone by a time.
func (b *Board) CloseJob(now time.Time, id string, goneBy time.Time) {
	j := b.jobs[id]
	if j == nil || j.closed {
		return
	}
	j.closed, j.goneBy = true, goneBy
	if i := slices.Index(b.order, j); i >= 0 {
		b.order = slices.Delete(b.order, i, i+1)
		b.reorder()
	}
	for _, t := range j.sorted() {
		b.unqueue(t)
		switch t.phase {
		case Idle:
			delete(j.tasks, t.N)
		case Sent, Live, Stopping:
			b.stop(now, t, 0, "job is over")
		}
	}
	b.sweep(j)
	b.log.Debug("job closed", "job", id, "left", j.located)
}

func (b *Board) sweep(j *Job) {
	if j.closed && j.located == 0 {
		delete(b.jobs, j.Spec.ID)
	}
}

func (b *Board) host(m *worker.Machine) *host {
	h := b.hosts[m]
	if h == nil {
		h = &host{m: m}
		b.hosts[m] = h
		b.noteChange(h)
	}
	return h
}

// noteUrgent notes that a machine may have to be told something before its next
// report; Urgent looks whether it is so.
func (b *Board) noteUrgent(m *worker.Machine) {
	if h := b.host(m); !h.urgent {
		h.urgent = true
		b.urgent = append(b.urgent, h)
	}
}

// IsOpen tells whether every machine the block may have is heard or gone.
func (b *Board) IsOpen() bool { return b.open }

// Open lifts the hold on tasks whose whereabouts were not known.
func (b *Board) Open(now time.Time) {
	b.open = true
	b.survey.again()
}

// Running is how many of a job's tasks are on machines, for display.
func (j *Job) Running() int {
	n := 0
	for _, t := range j.tasks {
		if t.phase == Live && t.stage != wire.TaskFetching || t.phase == Stopping {
			n++
		}
	}
	return n
}
