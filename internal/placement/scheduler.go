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
	PrimariesStarted, BackupsStarted, BackupsCompleted, BackupsPreempted, BackupsWithdrawn, Rescheduled, Preempted, Failed, GangsPlaced, Relocated int
}

// machineInfo is what the board keeps of one machine: its queues, the tasks handed
// out to it, and what the last survey saw of its room.
type machineInfo struct {
	machine                   *worker.Machine
	primaryQueue, backupQueue []*Task
	assigned                  []*Task // handed out and not known gone
	// directAttempts holds the attempts started by direct commands in the worker's
	// session. A repeat of such a command may come minutes later, and starts
	// the attempt anew if the worker has forgotten it: these are never reaped.
	directAttempts map[attemptKey]bool
	lastSnapshot   capacitySnapshot
	gainRevision   uint64 // the change, counted by the survey, in which it last gained room or an image
	freeIndex      int    // its place among the survey's machines with room, from 1; 0: it has none
	dirty          bool   // something about it changed since the last survey
	urgent         bool   // it is among those to be told at once
}

// attempt is one attempt of a task.
type attemptKey struct {
	task    string
	attempt uint64
}

// Scheduler is the placement state of one block in one tenure.
type Scheduler struct {
	Settings Settings
	// RequestStartMarker is asked to mark a job as begun, and calls Begun once that is
	// durable. Without it no marks are kept.
	RequestStartMarker func(now time.Time, job *Job)
	// AttemptNumbersExhausted tells that a job has had nearly as many attempts as a tenure has
	// numbers for: a new tenure is needed before they are repeated.
	AttemptNumbersExhausted bool
	pendingStartMarkers     int // marks on their way
	Counters                Counters
	platform                config.Platform
	token                   uint64
	ledger                  *quota.Ledger
	registry                *worker.Registry
	rng                     *rand.Rand
	log                     *slog.Logger
	jobs                    map[string]*Job
	openJobs                []*Job // open jobs by priority, then age
	machines                map[*worker.Machine]*machineInfo
	capacity                capacityIndex
	urgentMachines          []*machineInfo
	reconciled              bool           // every machine the block may have is heard or surely gone
	tiers                   []priorityTier // the open jobs by priority and turn, as last sorted
	sortedAt                time.Time      // when that was
	orderStale              bool           // jobs have come or gone since
	nextPassDue             time.Time
	gangsWithoutRoom        int  // gangs that found no room in this draw
	gangsPlaced             int  // gangs placed in this draw
	arrayTasksQueued        int  // arrays' tasks queued in this draw
	blockingGang            *Job // the gang before which no other of its priority is placed
	strayTasks              map[*worker.Machine][]wire.TaskStatus
	runTimeRatio            map[string]float64 // by class: run time over the owner's estimate
	seenClasses             map[string]bool    // classes of which a job has come
	// unreadableJobs are open jobs whose records cannot be read.
	unreadableJobs    map[string]bool
	nextConsolidation time.Time
	onTaskCompleted   func(now time.Time, job *Job)
}

// NewScheduler makes an empty board; finished is told of each task's completion.
func NewScheduler(platform config.Platform, token uint64, ledger *quota.Ledger, registry *worker.Registry, rng *rand.Rand,
	log *slog.Logger, onTaskCompleted func(now time.Time, job *Job)) *Scheduler {
	return &Scheduler{
		Settings: Settings{DropThreshold: tuning.BackupWithdrawThreshold}, platform: platform, token: token, ledger: ledger, registry: registry, rng: rng, log: log,
		jobs: map[string]*Job{}, machines: map[*worker.Machine]*machineInfo{}, capacity: newCapacityIndex(),
		strayTasks: map[*worker.Machine][]wire.TaskStatus{}, runTimeRatio: map[string]float64{}, seenClasses: map[string]bool{}, unreadableJobs: map[string]bool{}, onTaskCompleted: onTaskCompleted,
	}
}

// OpenJob returns an open job, or nil.
func (s *Scheduler) OpenJob(id string) *Job {
	if job := s.jobs[id]; job != nil && !job.closed {
		return job
	}
	return nil
}

// SetJobUnreadable notes that there is an open job whose record this version cannot read:
// what machines run of it is left alone, and neither stopped nor started.
func (s *Scheduler) SetJobUnreadable(id string, unreadable bool) {
	if unreadable {
		s.unreadableJobs[id] = true
		return
	}
	delete(s.unreadableJobs, id)
}

// OpenJobs lists the open jobs by priority, then age.
func (s *Scheduler) OpenJobs() []*Job { return s.openJobs }

// AddJob takes up an open job.
func (s *Scheduler) AddJob(now time.Time, spec wire.JobSpec, acceptedAt time.Time, version uint64, fromEarlierTerm bool) *Job {
	if job := s.jobs[spec.ID]; job != nil {
		job.Version = version
		return job
	}
	priority, _ := wire.Priority(spec.Priority)
	job := &Job{
		Spec: spec, AcceptedAt: acceptedAt, KnownSince: now, Version: version, FromEarlierTerm: fromEarlierTerm, priority: priority, effectivePriority: priority,
		need:  quota.Resources{CPUs: spec.Vcpus, GPUs: spec.Gpus, MemGB: spec.MemGb},
		tasks: map[int]*Task{}, completed: newBitset(spec.Tasks), durablyCompleted: newBitset(spec.Tasks),
		failedOn: map[string]int{}, succeededOn: map[string]bool{},
	}
	s.jobs[spec.ID] = job
	s.seenClasses[spec.Class] = true
	i, _ := slices.BinarySearchFunc(s.openJobs, job, func(a, other *Job) int {
		if a.priority != other.priority {
			return other.priority - a.priority
		}
		if c := a.AcceptedAt.Compare(other.AcceptedAt); c != 0 {
			return c
		}
		if a.Spec.ID < other.Spec.ID {
			return -1
		}
		return 1
	})
	s.openJobs = slices.Insert(s.openJobs, i, job)
	s.invalidateOrder()
	s.log.Debug("job open", "job", spec.ID, "class", spec.Class, "team", spec.Team, "shape", spec.Shape, "tasks", spec.Tasks)
	return job
}

// RestoreCompleted marks tasks as durably done, from the tallies.
func (j *Job) RestoreCompleted(index int) {
	if index >= 0 && index < j.Spec.Tasks {
		j.completed.add(index)
		j.durablyCompleted.add(index)
	}
}

// MarkDurable marks a completed task's outcome as kept by the state service.
func (j *Job) MarkDurable(index int) { j.durablyCompleted.add(index) }

// UnsavedCompletions lists the completed tasks of a range whose outcome is not durable,
// and all completed tasks of the range as bits.
func (j *Job) UnsavedCompletions(from, to int) (unsaved []int, bits []byte) {
	to = min(to, j.Spec.Tasks)
	bits = make([]byte, (to-from+7)/8)
	for n := from; n < to; n++ {
		if j.completed.has(n) {
			bits[(n-from)/8] |= 1 << ((n - from) % 8)
			if !j.durablyCompleted.has(n) {
				unsaved = append(unsaved, n)
			}
		}
	}
	return unsaved, bits
}

// CloseJob ends a job, done or cancelled: none of its tasks starts any more,
// and those on machines are told to stop. They must be gone by a time.
func (s *Scheduler) CloseJob(now time.Time, id string, tasksGoneBy time.Time) {
	job := s.jobs[id]
	if job == nil || job.closed {
		return
	}
	job.closed, job.tasksGoneBy = true, tasksGoneBy
	if i := slices.Index(s.openJobs, job); i >= 0 {
		s.openJobs = slices.Delete(s.openJobs, i, i+1)
		s.invalidateOrder()
	}
	for _, task := range job.tasksByIndex() {
		s.withdrawCopies(task)
		switch task.phase {
		case Unassigned:
			delete(job.tasks, task.Index)
		case Dispatched, Active, Stopping:
			s.stop(now, task, 0, "job is over")
		}
	}
	s.removeIfUnassigned(job)
	s.log.Debug("job closed", "job", id, "left", job.assigned)
}

func (s *Scheduler) removeIfUnassigned(job *Job) {
	if job.closed && job.assigned == 0 {
		delete(s.jobs, job.Spec.ID)
	}
}

func (s *Scheduler) machineInfo(machine *worker.Machine) *machineInfo {
	info := s.machines[machine]
	if info == nil {
		info = &machineInfo{machine: machine}
		s.machines[machine] = info
		s.markDirty(info)
	}
	return info
}

// markUrgent notes that a machine may have to be told something before its next
// report; Urgent looks whether it is so.
func (s *Scheduler) markUrgent(machine *worker.Machine) {
	if info := s.machineInfo(machine); !info.urgent {
		info.urgent = true
		s.urgentMachines = append(s.urgentMachines, info)
	}
}

// Reconciled tells whether every machine the block may have is heard or gone.
func (s *Scheduler) Reconciled() bool { return s.reconciled }

// MarkReconciled lifts the hold on tasks whose whereabouts were not known.
func (s *Scheduler) MarkReconciled(now time.Time) {
	s.reconciled = true
	s.capacity.requestFullPass()
}

// RunningTasks is how many of a job's tasks are on machines, for display.
func (j *Job) RunningTasks() int {
	n := 0
	for _, task := range j.tasks {
		if task.phase == Active && task.stage != wire.TaskFetching || task.phase == Stopping {
			n++
		}
	}
	return n
}
