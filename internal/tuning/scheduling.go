package tuning

import "time"

// Scheduling passes, used by package placement.
const (
	// PassInterval is the time after which a pass runs even without a change, for expired backoffs
	// and unresponsive machines.
	PassInterval = 100 * time.Millisecond
	// MaxTasksPerPass bounds the array tasks queued in one pass; the next pass continues. A long pass
	// would delay the renewal of the lease. A pass that placed all tasks of a burst kept a lease holder
	// with a twentieth of a core from renewing its lease for a second.
	MaxTasksPerPass = 64
	// MaxReplicasPerPass bounds the replicas of services placed in one pass.
	MaxReplicasPerPass = 256
	// MaxPreemptingReplicasPerPass bounds the replicas for which one pass preempts other work. Each
	// search goes through the tasks of all machines.
	MaxPreemptingReplicasPerPass = 8
	// MaxGangsPerPass bounds the gangs placed in one pass.
	MaxGangsPerPass = 8
	// MaxUnplacedGangs bounds the gangs for which one pass fails to find a placement before it skips
	// the rest. With thousands waiting, the first have found no placement either.
	MaxUnplacedGangs = 200
	// MaxGangClasses bounds the equivalence classes of gangs whose free slots are cached. Gangs of one
	// class have the same needs and constraints, and so the same free slots.
	MaxGangClasses = 32
	// StartMarkersAhead is the number of arrays at the head of the queue whose start markers are
	// written before resources are free, so that the write does not delay their start. A start marker
	// is a stored record that tasks of the job may have started. Room that the response to one
	// heartbeat does not fill waits for the next heartbeat.
	StartMarkersAhead = 8
	// MaxGangStartMarkers is the number of pending start markers at which gangs request no further
	// ones.
	MaxGangStartMarkers = 64
)

// Fair-share order of jobs, used by package placement. A job's position is a time in seconds; the
// lowest position is scheduled first.
const (
	// FairShareInterval is the time between two updates of the positions. Pending work drains within
	// seconds.
	FairShareInterval = 1 * time.Second
	// FairShareMinInterval is the minimum time between two updates when jobs arrive and end. A burst
	// brings tens of jobs a second.
	FairShareMinInterval = 100 * time.Millisecond
	// MaxBacklogPenalty is the limit of the penalty on an array's position, which grows with the
	// array's pending work. The bound keeps the largest arrays from starving. An array with the average
	// amount of pending work gets half of it.
	MaxBacklogPenalty = 800 * time.Second
	// GangPositionBonus is subtracted from the position of a gang or service. The bound keeps arrays
	// from starving in a burst of gangs. A gang that waits holds no machine up, whereas an array fills
	// whatever room is left.
	GangPositionBonus = 120 * time.Second
	// GangBlockingDelay is the waiting time after which a gang without a placement blocks all later
	// gangs of the scheduling pass.
	GangBlockingDelay = 60 * time.Second
	// FirstStartDeadline is the time after which a job without a completed task is starving and has
	// FirstStartTasks of its tasks scheduled first. The largest jobs too must start within four
	// minutes, whatever the burst.
	FirstStartDeadline = 150 * time.Second
	// FirstStartTasks is the number of tasks of a starving job that are scheduled first.
	FirstStartTasks = 8
	// StarvationTimeout is the time after which a job with waiting tasks is boosted by one priority
	// level.
	StarvationTimeout = 260 * time.Second
	// StarvationBoostInterval is the time between two further boosts.
	StarvationBoostInterval = 15 * time.Second
	// ImageLocalityWindow is the distance from the first array's position within which arrays
	// prefer machines that cache their image. A pull holds resources as long as a short task does.
	ImageLocalityWindow = 1000 * time.Second
)

// Task retries and machine quarantine, used by package placement.
const (
	// TaskBackoffInitial is the backoff after a task failure. It doubles, up to
	// TaskBackoffDoublings times, while the job fails on every machine.
	TaskBackoffInitial = 1 * time.Second
	// TaskBackoffDoublings bounds the doublings of TaskBackoffInitial.
	TaskBackoffDoublings = 5
	// MachineAvoidanceInitial is the time for which no task of a job starts on a machine after one has failed
	// there. It doubles, up to MachineAvoidanceDoublings times, with each further failure.
	MachineAvoidanceInitial = 15 * time.Second
	// MachineAvoidanceDoublings bounds the doublings of MachineAvoidanceInitial. The longest one stays
	// below the 90 s that a job may wait beside a machine with room.
	MachineAvoidanceDoublings = 2
	// RejectedStartBackoff is the backoff after a worker rejected a start command.
	RejectedStartBackoff = 1 * time.Second
	// QuarantineFailedJobs is the number of jobs with failures on a machine at which the machine is
	// quarantined.
	QuarantineFailedJobs = 2
	// QuarantineFailedTasks is the number of failures of one job on a machine at which the machine
	// is quarantined, if the job succeeds elsewhere.
	QuarantineFailedTasks = 2
	// QuarantineDuration is the time for which a quarantined machine gets no new work. It stays below the 90 s
	// that a job may wait beside a machine with room.
	QuarantineDuration = 60 * time.Second
	// FailingJobMachines is the number of machines on which a job without any success must have
	// failed before the failures are attributed to the job.
	FailingJobMachines = 3
)

// Preemption and consolidation, used by package placement.
const (
	// CheckpointGrace is added to the checkpoint save time of a task that is stopped.
	CheckpointGrace = 1 * time.Second
	// PreemptionHeartbeats is the time, in heartbeat intervals, by which the stop commands to tasks
	// of a spot machine precede the latest start of their checkpoints. A command may wait for the
	// next heartbeat.
	PreemptionHeartbeats = 1.3
	// ConsolidationInterval is the minimum time between two consolidations. The effect of one on
	// the placement must show before the next.
	ConsolidationInterval = 3 * time.Second
	// ConsolidationDivisor is the ratio of machines in use to machines cordoned and drained by one
	// consolidation.
	ConsolidationDivisor = 40
	// ConsolidationCandidates is the number of machines examined for each machine to be drained.
	ConsolidationCandidates = 4
	// ConsolidationMinFreeShare is the free share of resources above which a machine is examined as
	// a target for the tasks of a drained machine.
	ConsolidationMinFreeShare = 0.02
)
