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
	direct   map[attemptKey]bool
	seen     view
	gainedAt uint64 // the change, counted by the survey, in which it last gained room or an image
	roomy    int    // its place among the survey's machines with room, from 1; 0: it has none
	touched  bool   // something about it changed since the last survey
	urgent   bool   // it is among those to be told at once
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
	Begin   func(now time.Time, j *Job)
	asked   int // marks on their way
	Count   Counters
	facts   config.Facts
	token   uint64
	book    *quota.Book
	reg     *worker.Registry
	rng     *rand.Rand
	log     *slog.Logger
	jobs    map[string]*Job
	order   []*Job // open jobs by priority, then age
	hosts   map[*worker.Machine]*host
	survey  survey
	urgent  []*host
	open    bool      // every machine the block may have is heard or surely gone
	turns   []level   // the open jobs by priority and turn, as last sorted
	turnsAt time.Time // when that was
	resort  bool      // jobs have come or gone since
	drawDue time.Time
	tried   int  // gangs that found no room in this draw
	fitted  int  // gangs placed in this draw
	drawn   int  // arrays' tasks queued in this draw
	first   *Job // the gang before which no other of its priority is placed
	strays  map[*worker.Machine][]wire.Task
	pace    map[string]float64 // by class: run time over the owner's estimate
	seen    map[string]bool    // classes of which a job has come
	// unreadable are open jobs whose records cannot be read.
	unreadable map[string]bool
	closeDue   time.Time
	finished   func(now time.Time, j *Job)
}

// NewBoard makes an empty board; finished is told of each task's completion.
func NewBoard(facts config.Facts, token uint64, book *quota.Book, reg *worker.Registry, rng *rand.Rand,
	log *slog.Logger, finished func(now time.Time, j *Job)) *Board {
	return &Board{
		Set: Settings{DropThreshold: tuning.DropThreshold}, facts: facts, token: token, book: book, reg: reg, rng: rng, log: log,
		jobs: map[string]*Job{}, hosts: map[*worker.Machine]*host{}, survey: newSurvey(),
		strays: map[*worker.Machine][]wire.Task{}, pace: map[string]float64{}, seen: map[string]bool{}, unreadable: map[string]bool{}, finished: finished,
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
func (b *Board) AddJob(now time.Time, spec wire.Submission, at time.Time, version uint64, early bool) *Job {
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

// Begun lets the tasks of a job start: its mark is durable.
func (b *Board) Begun(j *Job) {
	if j.begin == beginAsked {
		b.asked--
	}
	j.begin = begun
	b.survey.again()
}

// canAsk tells whether a job is begun or could ask for its mark now. Thousands
// may wait for theirs after a takeover: no room is looked for until then.
func (b *Board) canAsk(j *Job) bool {
	return b.Begin == nil || j.begin == begun ||
		j.begin == unbegun && (b.asked < tuning.BeginAhead || j.Gang() && b.asked < tuning.BeginGangs)
}

// mayBegin tells whether a job's tasks may be handed out, and sees to its mark.
func (b *Board) mayBegin(now time.Time, j *Job) bool {
	if b.Begin == nil || j.begin == begun {
		return true
	}
	if b.canAsk(j) {
		j.begin = beginAsked
		b.asked++
		b.Begin(now, j)
	}
	b.waits(j, "being marked as begun")
	return false
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

// setPhase is the one place that changes a task's phase, and with it the
// accounts of its machine and team.
func (b *Board) setPhase(now time.Time, t *Task, p Phase, why string) {
	was := t.phase
	if was == p {
		return
	}
	onBefore, onAfter := was >= Sent && was <= Stopping, p >= Sent && p <= Stopping
	m := t.at
	var h *host
	if onBefore || onAfter {
		h = b.host(m)
		b.touch(h)
	}
	switch {
	case !onBefore && onAfter:
		m.Taken = m.Taken.Add(t.Job.need)
		if t.spare {
			m.Spares = m.Spares.Add(t.Job.need)
		}
		m.Busy++
		b.book.Use(t.Job.Spec.Team, t.Job.need, 1)
		t.Job.located++
		h.on = append(h.on, t)
		t.sentAt, t.runFrom, t.stage = now, time.Time{}, ""
	case onBefore && !onAfter:
		m.Taken = m.Taken.Sub(t.Job.need)
		if t.spare {
			m.Spares = m.Spares.Sub(t.Job.need)
		}
		m.Busy--
		if m.Busy == 0 {
			m.IdleFrom = now
			m.Taken, m.Spares = quota.Room{}, quota.Room{}
		}
		b.book.Use(t.Job.Spec.Team, t.Job.need, -1)
		t.Job.located--
		if i := slices.Index(h.on, t); i >= 0 {
			h.on = slices.Delete(h.on, i, i+1)
		}
		t.at = nil
	}
	t.phase = p
	b.log.Debug("task", "task", t.Name(), "attempt", t.attempt, "host", m.Host, "from", was.String(), "to", p.String(), "spare", t.spare, "why", why)
}

// hand puts a task's copy on a machine: the order goes out next.
func (b *Board) hand(now time.Time, t *Task, m *worker.Machine, attempt uint64, spare bool, why string) {
	t.at, t.attempt, t.spare = m, attempt, spare
	t.reported, t.ordered, t.openDo, t.seq, t.session, t.stopDue, t.grace = false, false, 0, 0, 0, false, 0
	b.setPhase(now, t, Sent, why)
	if t.Job.Gang() || t.Job.Service() {
		b.noteUrgent(m) // its mates, or its users, wait for it
	}
}

// nextTry makes an attempt number that no earlier attempt of the job has: the
// tenure's token is in the high bits, so it grows without a write.
func (b *Board) nextAttempt(j *Job) uint64 {
	j.seq++
	return b.token<<tuning.AttemptBits | j.seq&(1<<tuning.AttemptBits-1)
}

// stop tells a task on a machine to stop.
func (b *Board) stop(now time.Time, t *Task, grace float64, why string) {
	if t.phase == Stopping && grace >= t.grace {
		return
	}
	t.grace, t.stopDue = grace, true
	b.setPhase(now, t, Stopping, why)
	b.noteUrgent(t.at)
}

// grace is how long a job's running task is given to save.
func (j *Job) grace() float64 {
	if j.Spec.BookmarkS <= 0 {
		return 0
	}
	return j.Spec.StowS + tuning.SaveGrace.Seconds()
}

// yield stops a task so that it can go on later; a gang stops as a whole.
func (b *Board) yield(now time.Time, t *Task, why string) {
	if !t.Job.Gang() {
		b.stop(now, t, t.Job.grace(), why)
		return
	}
	t.Job.broken = true
	for _, o := range t.Job.sorted() {
		if o.phase == Sent || o.phase == Live {
			b.stop(now, o, t.Job.grace(), why)
		}
	}
}

// gone takes a task off its machine; it may start again elsewhere.
func (b *Board) gone(now time.Time, t *Task, wait time.Duration, why string) {
	j := t.Job
	spare := t.spare
	stopped := t.phase == Stopping
	b.setPhase(now, t, Idle, why)
	t.attempt = 0
	switch {
	case j.closed:
		b.unqueue(t)
		delete(j.tasks, t.N)
	case j.Gang():
		b.unqueue(t)
		delete(j.tasks, t.N)
		j.giveBack(t.N, now.Add(wait))
		if !j.Complete() {
			b.breakGang(now, j, why)
		}
	case spare && t.main != nil && stopped:
		// a spare that gave way: its main keeps its place, the spare waits
		// again until it has been stopped too often
		if t.low == nil || t.stops >= b.Set.DropThreshold {
			b.dropLow(t)
		}
	default:
		b.unqueue(t)
		delete(j.tasks, t.N)
		j.giveBack(t.N, now.Add(wait))
	}
	b.sweep(j)
}

// breakGang ends a gang's attempt: whatever is left of it has to go before
// the next one.
func (b *Board) breakGang(now time.Time, j *Job, why string) {
	j.broken = false
	for _, o := range j.sorted() {
		switch o.phase {
		case Idle:
			b.unqueue(o)
			delete(j.tasks, o.N)
			j.giveBack(o.N, now)
		case Sent, Live:
			j.broken = true
			b.stop(now, o, 0, "attempt over: "+why)
		case Stopping:
			j.broken = true
		}
	}
}

// finish records a task's completion.
func (b *Board) finish(now time.Time, t *Task) {
	j := t.Job
	if t.phase >= Sent && t.phase <= Stopping {
		if t.spare {
			b.Count.SparesFinished++
		}
		j.wellOn[t.at.Host] = true
		if !t.runFrom.IsZero() && j.Spec.GuessS > 0 && !j.Gang() {
			ratio := now.Sub(t.runFrom).Seconds() / j.Spec.GuessS
			old, ok := b.pace[j.Spec.Class]
			if !ok {
				old = 1
			}
			b.pace[j.Spec.Class] = old + (ratio-old)*tuning.PaceWeight
		}
		b.setPhase(now, t, Finished, "done")
	} else {
		t.phase = Finished
	}
	b.unqueue(t)
	delete(j.tasks, t.N)
	if j.done.add(t.N) && !j.closed {
		b.finished(now, j)
	}
	b.sweep(j)
}

// Lost gives up everything on a machine: its lease is surely over, its
// session is a new one, or its deletion was answered.
func (b *Board) Lost(now time.Time, m *worker.Machine, why string) {
	for h := b.host(m); len(h.on) > 0; {
		b.gone(now, h.on[0], 0, why)
	}
	delete(b.strays, m)
	m.Stranger = false
}

// Forget drops a machine that is gone.
func (b *Board) Forget(now time.Time, m *worker.Machine) {
	b.Lost(now, m, "machine gone")
	b.clearQueues(now, m)
	b.survey.forget(b.host(m))
	delete(b.hosts, m)
}

// clearQueues sends a machine's queued copies back to be drawn elsewhere.
func (b *Board) clearQueues(now time.Time, m *worker.Machine) {
	h := b.host(m)
	for len(h.high) > 0 {
		b.takeBack(now, h.high[0])
	}
	for len(h.low) > 0 {
		b.dropLow(h.low[0])
	}
}

// takeBack makes a queued main held again. A gang's place is kept or given
// up as a whole.
func (b *Board) takeBack(now time.Time, t *Task) {
	j := t.Job
	if j.Gang() {
		for _, o := range j.sorted() {
			b.unqueue(o)
			if o.phase == Idle {
				delete(j.tasks, o.N)
				j.giveBack(o.N, now)
			}
		}
		return
	}
	if t.phase != Idle {
		// its spare runs: only the main's place is given up
		b.dropMain(t)
		return
	}
	b.unqueue(t)
	delete(j.tasks, t.N)
	j.giveBack(t.N, now)
}

func (b *Board) host(m *worker.Machine) *host {
	h := b.hosts[m]
	if h == nil {
		h = &host{m: m}
		b.hosts[m] = h
		b.touch(h)
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

func (b *Board) queueMain(now time.Time, t *Task, m *worker.Machine) {
	t.main, t.mainSince = m, now
	h := b.host(m)
	h.high = append(h.high, t)
	b.touch(h)
	m.Promised = m.Promised.Add(t.Job.need)
	if !m.FreeForMain().Fits(b.survey.least) {
		b.survey.setRoomy(h, false)
	}
	b.book.Promise(t.Job.Spec.Team, t.Job.need, 1)
}

func (b *Board) dropMain(t *Task) {
	m := t.main
	if m == nil {
		return
	}
	h := b.host(m)
	b.touch(h)
	if i := slices.Index(h.high, t); i >= 0 {
		h.high = slices.Delete(h.high, i, i+1)
	}
	m.Promised = m.Promised.Sub(t.Job.need)
	if len(h.high) == 0 {
		m.Promised = quota.Room{}
	}
	b.book.Promise(t.Job.Spec.Team, t.Job.need, -1)
	t.main = nil
}

func (b *Board) queueLow(t *Task, m *worker.Machine) {
	t.low = m
	h := b.host(m)
	h.low = append(h.low, t)
}

func (b *Board) dropLow(t *Task) {
	if t.low == nil {
		return
	}
	h := b.host(t.low)
	if i := slices.Index(h.low, t); i >= 0 {
		h.low = slices.Delete(h.low, i, i+1)
	}
	t.low = nil
}

func (b *Board) unqueue(t *Task) {
	b.dropMain(t)
	b.dropLow(t)
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
