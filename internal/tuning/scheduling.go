package tuning

import "time"

// Scheduling passes, used by package placement.
const (
	// PassInterval is how often a pass is made although nothing changed: pauses end, and
	// machines become unresponsive.
	PassInterval = 100 * time.Millisecond
	// MaxTasksPerPass is how many tasks of arrays one pass queues; the next pass goes on. A pass
	// that placed all of a burst kept an owner with a twentieth of a core from renewing its
	// lease for a second.
	MaxTasksPerPass = 64
	// MaxGangsPerPass is the same for gangs.
	MaxGangsPerPass = 8
	// MaxUnplacedGangs is how many gangs may find no place in one pass before the rest is not
	// tried: with thousands waiting the first have not been placed.
	MaxUnplacedGangs = 200
	// MaxGangClasses is for how many kinds of gangs places are counted.
	MaxGangClasses = 32
	// StartMarkersAhead is for how many arrays next in order start markers are written before
	// there are resources for them: the marker takes a write, and a place that is not filled
	// with one heartbeat waits for the next.
	StartMarkersAhead = 8
	// MaxGangStartMarkers is how many jobs may wait for their start markers before a gang may
	// not ask for one too.
	MaxGangStartMarkers = 64
)

// Fair-share order of the jobs, used by package placement. Positions are in seconds.
const (
	// FairShareInterval is how often the positions are computed: work drains within seconds.
	FairShareInterval = 1 * time.Second
	// FairShareMinInterval is the least time between two sorts when jobs come and go: a burst
	// brings tens of them a second.
	FairShareMinInterval = 100 * time.Millisecond
	// MaxBacklogPenalty is how much later the position of an array with very much work waiting
	// is than that of one with very little; one with the usual amount is in the middle. Small
	// ones go first, but the largest do not starve.
	MaxBacklogPenalty = 800 * time.Second
	// GangPositionBonus is how much earlier the position of a gang is than that of an array of its
	// priority: a gang that waits holds no machine up, an array fills whatever is left. It is
	// bounded, or a burst of gangs would starve the arrays.
	GangPositionBonus = 120 * time.Second
	// GangBlockingDelay is how long a gang waits before no later one of its priority may be placed
	// before it.
	GangBlockingDelay = 60 * time.Second
	// FirstStartDeadline is how long after its submission a job of which nothing has started
	// goes first, with FirstStartTasks of its tasks: the largest jobs too should start within
	// four minutes, whatever the burst.
	FirstStartDeadline = 150 * time.Second
	// FirstStartTasks is how many tasks of such a job go first.
	FirstStartTasks = 8
	// StarvationTimeout is how long a job waits for all its tasks to start before it is raised
	// by a priority, and by another after each StarvationBoostInterval.
	StarvationTimeout = 260 * time.Second
	// StarvationBoostInterval is the time between two raises.
	StarvationBoostInterval = 15 * time.Second
	// ImageLocalityWindow is how much later an array's position may be than the first's for
	// its tasks to go first where their image is: pulling an image holds resources for as long
	// as a short task.
	ImageLocalityWindow = 1000 * time.Second
)

// Retries and quarantine, used by package placement.
const (
	// TaskBackoffInitial is the pause after a task's failure. It doubles, TaskBackoffDoublings times at
	// most, while its job fails everywhere.
	TaskBackoffInitial = 1 * time.Second
	// TaskBackoffDoublings bounds the growth of TaskBackoffInitial.
	TaskBackoffDoublings = 5
	// RejectedStartBackoff is the pause after a worker refused a start.
	RejectedStartBackoff = 1 * time.Second
	// QuarantineFailedJobs is how many jobs must have failed on a machine for it to be quarantined.
	QuarantineFailedJobs = 2
	// QuarantineFailedTasks is how many tasks of one job that succeeds elsewhere must have failed on
	// a machine for it to be quarantined.
	QuarantineFailedTasks = 2
	// FailingJobMachines is on how many machines a job must have failed, without any success,
	// for the fault to be taken for the job's own.
	FailingJobMachines = 3
)

// Preemption and consolidation, used by package placement.
const (
	// CheckpointGrace is added to the time that a task needs to save a checkpoint.
	CheckpointGrace = 1 * time.Second
	// PreemptionHeartbeats is how many heartbeat intervals before a spot machine's preemption its
	// tasks are told to save: the command may have to wait for a heartbeat.
	PreemptionHeartbeats = 1.3
	// ConsolidationInterval is the least time between two times that machines are cordoned and
	// drained to be deleted: what the first ones' tasks do to the rest shows only then.
	ConsolidationInterval = 3 * time.Second
	// ConsolidationDivisor is the number of machines in use of which one is drained at a time.
	ConsolidationDivisor = 40
	// ConsolidationCandidates is how many machines are tried for each one that is drained.
	ConsolidationCandidates = 4
	// ConsolidationMinFreeShare is the part of a machine's resources that must be free for it to be
	// tried whether it would take the tasks of another.
	ConsolidationMinFreeShare = 0.02
)
