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

// Options configures a Scheduler.
type Options struct {
	Platform config.Platform
	Token    uint64 // fencing token of the term
	Ledger   *quota.Ledger
	Registry *worker.Registry
	Rand     *rand.Rand
	Log      *slog.Logger
	// OnTaskCompleted is called when a task, or a gang as a whole, is first
	// recorded as completed. The callback may close the job.
	OnTaskCompleted func(now time.Time, job *Job)
	// RequestStartMarker starts to write a job's start marker. The caller must
	// call StartMarkerWritten once the marker is durable. If RequestStartMarker
	// is nil, jobs start without a marker.
	RequestStartMarker func(now time.Time, job *Job)
}

// Scheduler places the tasks of one shard in one term. It connects the
// components of the package and runs the scheduling passes.
//
// Settings, Counters and AttemptNumbersExhausted are promoted from embedded
// components. Settings may be changed between any two calls.
type Scheduler struct {
	*sharedState
	*attemptNumbers
	pass       *passState
	capacity   *capacityIndex
	rules      preemptionRules
	copyQueues *copyQueues
	jobs       *jobTable
	jobQueue   *jobQueue
	markers    *startMarkers
	urgent     *urgentMachines
	runTimes   *runTimeEstimator
	tasks      *taskLifecycle
	failures   *failureTracker

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

// NewScheduler returns a scheduler that has no jobs. Machines are taken from
// the registry in options.
func NewScheduler(options Options) *Scheduler {
	shared := &sharedState{
		Settings: Settings{BackupWithdrawThreshold: tuning.BackupWithdrawThreshold},
		platform: options.Platform,
		ledger:   options.Ledger,
		registry: options.Registry,
		rng:      options.Rand,
		log:      options.Log,
	}
	s := &Scheduler{
		sharedState:    shared,
		attemptNumbers: &attemptNumbers{token: options.Token},
		pass:           &passState{},
		capacity:       newCapacityIndex(shared),
		rules:          preemptionRules{shared},
		jobs:           newJobTable(),
		urgent:         &urgentMachines{},
		runTimes:       &runTimeEstimator{ratioByClass: map[string]float64{}},
	}
	s.copyQueues = &copyQueues{sharedState: shared, capacity: s.capacity}
	s.jobQueue = &jobQueue{sharedState: shared, runTimes: s.runTimes, pass: s.pass}
	s.markers = &startMarkers{sharedState: shared, pass: s.pass, request: options.RequestStartMarker}
	s.failures = &failureTracker{sharedState: shared, capacity: s.capacity, jobs: s.jobs}
	s.tasks = &taskLifecycle{
		sharedState:     shared,
		capacity:        s.capacity,
		copyQueues:      s.copyQueues,
		jobs:            s.jobs,
		urgent:          s.urgent,
		runTimes:        s.runTimes,
		onTaskCompleted: options.OnTaskCompleted,
	}
	s.initSchedulers()
	s.initMachineComponents()
	s.initDemandComponents()
	return s
}

// initSchedulers creates the components that place arrays, gangs and services.
func (s *Scheduler) initSchedulers() {
	s.arrays = &arrayScheduler{
		sharedState: s.sharedState,
		pass:        s.pass,
		capacity:    s.capacity,
		copyQueues:  s.copyQueues,
		markers:     s.markers,
	}
	s.gangs = &gangScheduler{
		sharedState: s.sharedState,
		pass:        s.pass,
		capacity:    s.capacity,
		rules:       s.rules,
		copyQueues:  s.copyQueues,
		markers:     s.markers,
		tasks:       s.tasks,
		attempts:    s.attemptNumbers,
	}
	s.services = &serviceScheduler{
		sharedState: s.sharedState,
		pass:        s.pass,
		capacity:    s.capacity,
		rules:       s.rules,
		copyQueues:  s.copyQueues,
		markers:     s.markers,
		tasks:       s.tasks,
		attempts:    s.attemptNumbers,
	}
	s.rescheduler = &rescheduler{
		sharedState: s.sharedState,
		capacity:    s.capacity,
		copyQueues:  s.copyQueues,
		tasks:       s.tasks,
		services:    s.services,
	}
}

// initMachineComponents creates the components that process heartbeats and build commands.
func (s *Scheduler) initMachineComponents() {
	s.dispatcher = &dispatcher{
		sharedState: s.sharedState,
		capacity:    s.capacity,
		copyQueues:  s.copyQueues,
		tasks:       s.tasks,
		attempts:    s.attemptNumbers,
	}
	s.commands = &commandBuilder{capacity: s.capacity, jobs: s.jobs}
	s.reconciler = &reconciler{
		sharedState: s.sharedState,
		capacity:    s.capacity,
		copyQueues:  s.copyQueues,
		jobs:        s.jobs,
		tasks:       s.tasks,
		failures:    s.failures,
	}
}

// initDemandComponents creates the components that decide which machines are needed.
func (s *Scheduler) initDemandComponents() {
	s.consolidator = &consolidator{
		sharedState: s.sharedState,
		capacity:    s.capacity,
		jobQueue:    s.jobQueue,
		tasks:       s.tasks,
	}
	s.planner = &demandPlanner{
		sharedState: s.sharedState,
		capacity:    s.capacity,
		jobs:        s.jobs,
		jobQueue:    s.jobQueue,
		runTimes:    s.runTimes,
	}
}

// OpenJob returns the open job with the given ID, or nil if there is none.
func (s *Scheduler) OpenJob(id string) *Job { return s.jobs.open(id) }

// OpenJobs returns the open jobs by descending priority, then age. The caller
// must not modify the slice.
func (s *Scheduler) OpenJobs() []*Job { return s.jobQueue.open }

// MayRunUnreported reports whether a task of a job may run that no machine has reported as running in this term. A
// job that the scheduler does not know has no task on a machine: it was accepted just now.
func (s *Scheduler) MayRunUnreported(id string) bool {
	job := s.jobs.byID[id]
	switch {
	case s.jobs.unreadable[id]:
		return true
	case job == nil:
		return false
	case job.closed || !s.markers.safeToStart(job):
		return true
	}
	return job.hasTaskOutOfContact()
}

// SetJobUnreadable records whether this version of the software fails to read a
// job's record. Tasks of an unreadable job are neither started nor stopped.
func (s *Scheduler) SetJobUnreadable(id string, unreadable bool) {
	if unreadable {
		s.jobs.unreadable[id] = true
		return
	}
	delete(s.jobs.unreadable, id)
}

// AddJob adds an open job and returns it. acceptedAt is a wall clock time, and
// acceptedBeforeTerm sets Job.AcceptedBeforeTerm. If the job is already known, AddJob
// only updates the version of its record.
func (s *Scheduler) AddJob(
	now time.Time, spec wire.JobSpec, acceptedAt time.Time, version uint64, acceptedBeforeTerm bool,
) *Job {
	if job := s.jobs.byID[spec.ID]; job != nil {
		job.Version = version
		return job
	}
	job := newJob(now, spec, acceptedAt, version)
	job.AcceptedBeforeTerm = acceptedBeforeTerm
	s.jobs.add(job)
	s.jobQueue.add(job)
	s.log.Debug("job added", "job", spec.ID, "class", spec.Class, "team", spec.Team,
		"shape", spec.Shape, "count", spec.Tasks)
	return job
}

// CloseJob closes a completed or cancelled job. No further task of the job
// starts, and its tasks on machines are stopped; they must have ended by
// terminationDeadline. CloseJob does nothing if the job is not open.
func (s *Scheduler) CloseJob(now time.Time, id string, terminationDeadline time.Time) {
	job := s.jobs.open(id)
	if job == nil {
		return
	}
	job.closed, job.terminationDeadline = true, terminationDeadline
	s.jobQueue.remove(job)
	for _, task := range job.tasksByIndex() {
		s.copyQueues.withdrawCopies(task)
		switch {
		case task.phase == Unassigned:
			delete(job.tasks, task.Index)
		case task.phase.onMachine():
			s.tasks.stop(now, task, 0, "job closed")
		}
	}
	s.jobs.removeIfUnassigned(job)
	s.log.Debug("job closed, stopping its tasks", "job", id, "count", job.assigned)
}

// StartMarkerWritten records that a job's start marker is durable.
func (s *Scheduler) StartMarkerWritten(job *Job) { s.markers.markDurable(job) }

// Reconciled reports whether MarkReconciled was called in this term.
func (s *Scheduler) Reconciled() bool { return s.reconciled }

// MarkReconciled records that every machine that may belong to the shard is
// reconciled or deleted. From then on pending tasks of jobs accepted before this term
// may start.
func (s *Scheduler) MarkReconciled() {
	s.reconciled = true
	s.pass.requestFullPass()
}
