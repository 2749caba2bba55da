package placement

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

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

// Scheduler is the placement of one shard's tasks in one term. It wires the
// parts of which each does one job, and runs the scheduling passes.
//
// Settings, which may be changed at any time, Counters and
// AttemptNumbersExhausted are fields of its embedded parts.
type Scheduler struct {
	*environment
	*attemptNumbers
	pass     *passState
	capacity *capacityIndex
	rules    preemptionRules
	queues   *copyQueues
	jobs     *jobTable
	queue    *jobQueue
	markers  *startMarkers
	urgent   *urgentMachines
	runTimes *runTimeEstimates
	tasks    *taskLifecycle
	failures *failureTracker

	arrays      *arrayScheduler
	gangs       *gangScheduler
	services    *serviceScheduler
	rescheduler *rescheduler

	dispatcher *dispatcher
	commands   *commandBuilder
	reconciler *reconciler

	consolidator *consolidator
	planner      *demandPlanner

	nextPassDue time.Time
}

// NewScheduler returns a scheduler without jobs and machines.
func NewScheduler(options Options) *Scheduler {
	env := &environment{
		Settings: Settings{DropThreshold: tuning.BackupWithdrawThreshold},
		platform: options.Platform,
		ledger:   options.Ledger,
		registry: options.Registry,
		rng:      options.Rand,
		log:      options.Log,
	}
	s := &Scheduler{
		environment:    env,
		attemptNumbers: &attemptNumbers{token: options.Token},
		pass:           &passState{},
		capacity:       newCapacityIndex(env),
		rules:          preemptionRules{env},
		jobs:           newJobTable(),
		urgent:         &urgentMachines{},
		runTimes:       &runTimeEstimates{ratioByClass: map[string]float64{}},
	}
	s.queues = &copyQueues{environment: env, capacity: s.capacity}
	s.queue = &jobQueue{environment: env, runTimes: s.runTimes, pass: s.pass}
	s.markers = &startMarkers{environment: env, pass: s.pass, request: options.RequestStartMarker}
	s.failures = &failureTracker{environment: env, jobs: s.jobs}
	s.tasks = &taskLifecycle{
		environment:     env,
		capacity:        s.capacity,
		queues:          s.queues,
		jobs:            s.jobs,
		urgent:          s.urgent,
		runTimes:        s.runTimes,
		onTaskCompleted: options.OnTaskCompleted,
	}
	s.wireSchedulers()
	s.wireMachineParts()
	s.wireDemandParts()
	return s
}

// wireSchedulers makes the parts that place the jobs of each shape.
func (s *Scheduler) wireSchedulers() {
	s.arrays = &arrayScheduler{
		environment: s.environment,
		pass:        s.pass,
		capacity:    s.capacity,
		queues:      s.queues,
		markers:     s.markers,
	}
	s.gangs = &gangScheduler{
		environment: s.environment,
		pass:        s.pass,
		capacity:    s.capacity,
		rules:       s.rules,
		queues:      s.queues,
		markers:     s.markers,
		tasks:       s.tasks,
		attempts:    s.attemptNumbers,
	}
	s.services = &serviceScheduler{
		environment: s.environment,
		capacity:    s.capacity,
		rules:       s.rules,
		queues:      s.queues,
		markers:     s.markers,
		tasks:       s.tasks,
		attempts:    s.attemptNumbers,
	}
	s.rescheduler = &rescheduler{
		environment: s.environment,
		capacity:    s.capacity,
		queues:      s.queues,
		tasks:       s.tasks,
		services:    s.services,
	}
}

// wireMachineParts makes the parts that deal with machines' heartbeats and commands.
func (s *Scheduler) wireMachineParts() {
	s.dispatcher = &dispatcher{
		environment: s.environment,
		capacity:    s.capacity,
		queues:      s.queues,
		tasks:       s.tasks,
		attempts:    s.attemptNumbers,
	}
	s.commands = &commandBuilder{capacity: s.capacity, jobs: s.jobs}
	s.reconciler = &reconciler{
		environment: s.environment,
		capacity:    s.capacity,
		queues:      s.queues,
		jobs:        s.jobs,
		tasks:       s.tasks,
		failures:    s.failures,
	}
}

// wireDemandParts makes the parts that decide which machines are needed.
func (s *Scheduler) wireDemandParts() {
	s.consolidator = &consolidator{
		environment: s.environment,
		capacity:    s.capacity,
		queue:       s.queue,
		tasks:       s.tasks,
	}
	s.planner = &demandPlanner{
		environment: s.environment,
		capacity:    s.capacity,
		jobs:        s.jobs,
		queue:       s.queue,
		runTimes:    s.runTimes,
	}
}

// OpenJob returns an open job, nil if there is none of that name.
func (s *Scheduler) OpenJob(id string) *Job { return s.jobs.open(id) }

// OpenJobs lists the open jobs by priority, then age.
func (s *Scheduler) OpenJobs() []*Job { return s.queue.open }

// SetJobUnreadable notes whether a job's record is one that this version
// cannot read: such a job's tasks are neither started nor stopped.
func (s *Scheduler) SetJobUnreadable(id string, unreadable bool) {
	if unreadable {
		s.jobs.unreadable[id] = true
		return
	}
	delete(s.jobs.unreadable, id)
}

// AddJob adds an open job, accepted at the given wall clock time. If the job
// is known, only the version of its record is updated.
func (s *Scheduler) AddJob(
	now time.Time, spec wire.JobSpec, acceptedAt time.Time, version uint64, fromEarlierTerm bool,
) *Job {
	if job := s.jobs.byID[spec.ID]; job != nil {
		job.Version = version
		return job
	}
	job := newJob(now, spec, acceptedAt, version)
	job.FromEarlierTerm = fromEarlierTerm
	s.jobs.add(job)
	s.queue.add(job)
	s.log.Debug("job added", "job", spec.ID, "class", spec.Class, "team", spec.Team,
		"shape", spec.Shape, "tasks", spec.Tasks)
	return job
}

// CloseJob closes a completed or cancelled job: none of its tasks starts any
// more, and those on machines are stopped. They must have ended by tasksGoneBy.
func (s *Scheduler) CloseJob(now time.Time, id string, tasksGoneBy time.Time) {
	job := s.jobs.open(id)
	if job == nil {
		return
	}
	job.closed, job.tasksGoneBy = true, tasksGoneBy
	s.queue.remove(job)
	for _, task := range job.tasksByIndex() {
		s.queues.withdrawCopies(task)
		switch {
		case task.phase == Unassigned:
			delete(job.tasks, task.Index)
		case task.phase.onMachine():
			s.tasks.stop(now, task, 0, "job closed")
		}
	}
	s.jobs.removeIfUnassigned(job)
	s.log.Debug("job closed", "job", id, "tasks", job.assigned)
}

// StartMarkerWritten records that a job's start marker is durable.
func (s *Scheduler) StartMarkerWritten(job *Job) { s.markers.markDurable(job) }

// Reconciled reports whether every machine that the shard may have is
// reconciled or deleted.
func (s *Scheduler) Reconciled() bool { return s.reconciled }

// MarkReconciled records that every machine that the shard may have is
// reconciled or deleted: pending tasks of jobs from earlier terms may start.
func (s *Scheduler) MarkReconciled() {
	s.reconciled = true
	s.pass.requestFull()
}
