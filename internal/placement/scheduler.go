package placement

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Settings are the operators' settings that affect placement.
type Settings struct {
	DropThreshold int // preemptions after which a task's backup is withdrawn
}

// Counters count what became of the tasks' copies in this term.
type Counters struct {
	PrimariesStarted int
	BackupsStarted   int
	BackupsCompleted int
	BackupsPreempted int
	BackupsWithdrawn int // after too many preemptions
	Rescheduled      int // stuck primaries that were queued anew
	Preempted        int // tasks stopped for gangs and services
	Failed           int
	GangsPlaced      int
	Relocated        int // tasks stopped to move off their machine
}

// Options is what a scheduler works with.
type Options struct {
	Platform config.Platform
	Token    uint64 // of the term
	Ledger   *quota.Ledger
	Registry *worker.Registry
	Rand     *rand.Rand
	Log      *slog.Logger
	// OnTaskCompleted is called for each completion that is recorded first.
	// The job may be closed from there.
	OnTaskCompleted func(now time.Time, job *Job)
	// RequestStartMarker writes a job's start marker; StartMarkerWritten has
	// to be called once that is durable. If it is nil, jobs start without.
	RequestStartMarker func(now time.Time, job *Job)
}

// Scheduler is the placement of one shard's tasks in one term.
type Scheduler struct {
	Settings Settings
	Counters Counters
	// AttemptNumbersExhausted tells that a job has had nearly as many attempts
	// as a term has numbers for: a new term is needed before any is repeated.
	AttemptNumbersExhausted bool
	requestStartMarker      func(now time.Time, job *Job)
	pendingStartMarkers     int // requested and not durable yet
	platform                config.Platform
	token                   uint64
	ledger                  *quota.Ledger
	registry                *worker.Registry
	rng                     *rand.Rand
	log                     *slog.Logger
	jobs                    map[string]*Job // open ones, and closed ones with tasks on machines
	openJobs                []*Job          // by priority, then age
	machines                map[*worker.Machine]*machineInfo
	capacity                capacityIndex
	urgentMachines          []*machineInfo
	reconciled              bool           // every machine that the shard may have is reconciled or deleted
	tiers                   []priorityTier // the open jobs, as last sorted
	sortedAt                time.Time      // when that was
	orderStale              bool           // jobs have come or gone since
	nextPassDue             time.Time
	pass                    passState
	runTimeRatio            map[string]float64 // run time over the users' estimate, by class
	seenClasses             map[string]bool    // classes of which a job has come
	unreadableJobs          map[string]bool
	nextConsolidation       time.Time
	onTaskCompleted         func(now time.Time, job *Job)
}

// NewScheduler returns a scheduler without jobs and machines.
func NewScheduler(options Options) *Scheduler {
	return &Scheduler{
		Settings:           Settings{DropThreshold: tuning.BackupWithdrawThreshold},
		requestStartMarker: options.RequestStartMarker,
		platform:           options.Platform,
		token:              options.Token,
		ledger:             options.Ledger,
		registry:           options.Registry,
		rng:                options.Rand,
		log:                options.Log,
		jobs:               map[string]*Job{},
		machines:           map[*worker.Machine]*machineInfo{},
		capacity:           newCapacityIndex(),
		runTimeRatio:       map[string]float64{},
		seenClasses:        map[string]bool{},
		unreadableJobs:     map[string]bool{},
		onTaskCompleted:    options.OnTaskCompleted,
	}
}

// OpenJob returns an open job, nil if there is none of that name.
func (s *Scheduler) OpenJob(id string) *Job {
	if job := s.jobs[id]; job != nil && !job.closed {
		return job
	}
	return nil
}

// OpenJobs lists the open jobs by priority, then age.
func (s *Scheduler) OpenJobs() []*Job { return s.openJobs }

// SetJobUnreadable notes whether a job's record is one that this version
// cannot read: such a job's tasks are neither started nor stopped.
func (s *Scheduler) SetJobUnreadable(id string, unreadable bool) {
	if unreadable {
		s.unreadableJobs[id] = true
		return
	}
	delete(s.unreadableJobs, id)
}

// AddJob adds an open job, accepted at the given wall clock time. If the job
// is known, only the version of its record is updated.
func (s *Scheduler) AddJob(
	now time.Time, spec wire.JobSpec, acceptedAt time.Time, version uint64, fromEarlierTerm bool,
) *Job {
	if job := s.jobs[spec.ID]; job != nil {
		job.Version = version
		return job
	}
	job := newJob(now, spec, acceptedAt, version)
	job.FromEarlierTerm = fromEarlierTerm
	s.jobs[spec.ID] = job
	s.seenClasses[spec.Class] = true
	position, _ := slices.BinarySearchFunc(s.openJobs, job, compareJobs)
	s.openJobs = slices.Insert(s.openJobs, position, job)
	s.invalidateOrder()
	s.log.Debug("job added", "job", spec.ID, "class", spec.Class, "team", spec.Team,
		"shape", spec.Shape, "tasks", spec.Tasks)
	return job
}

// compareJobs orders jobs by priority, then age.
func compareJobs(a, b *Job) int {
	if a.priority != b.priority {
		return b.priority - a.priority
	}
	if c := a.AcceptedAt.Compare(b.AcceptedAt); c != 0 {
		return c
	}
	return strings.Compare(a.Spec.ID, b.Spec.ID)
}

// CloseJob closes a completed or cancelled job: none of its tasks starts any
// more, and those on machines are stopped. They must have ended by tasksGoneBy.
func (s *Scheduler) CloseJob(now time.Time, id string, tasksGoneBy time.Time) {
	job := s.OpenJob(id)
	if job == nil {
		return
	}
	job.closed, job.tasksGoneBy = true, tasksGoneBy
	if i := slices.Index(s.openJobs, job); i >= 0 {
		s.openJobs = slices.Delete(s.openJobs, i, i+1)
		s.invalidateOrder()
	}
	for _, task := range job.tasksByIndex() {
		s.withdrawCopies(task)
		switch {
		case task.phase == Unassigned:
			delete(job.tasks, task.Index)
		case task.phase.onMachine():
			s.stop(now, task, 0, "job closed")
		}
	}
	s.removeIfUnassigned(job)
	s.log.Debug("job closed", "job", id, "tasks", job.assigned)
}

// removeIfUnassigned forgets a closed job of which no task is on a machine any more.
func (s *Scheduler) removeIfUnassigned(job *Job) {
	if job.closed && job.assigned == 0 {
		delete(s.jobs, job.Spec.ID)
	}
}

// Reconciled reports whether every machine that the shard may have is
// reconciled or deleted.
func (s *Scheduler) Reconciled() bool { return s.reconciled }

// MarkReconciled records that every machine that the shard may have is
// reconciled or deleted: pending tasks of jobs from earlier terms may start.
func (s *Scheduler) MarkReconciled(now time.Time) {
	s.reconciled = true
	s.pass.requestFull()
}
