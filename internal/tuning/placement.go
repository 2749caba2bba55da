package tuning

import "time"

// Placement.
const (
	// BackupWithdrawThreshold is the design document's count of stops after which a
	// spare is dropped.
	BackupWithdrawThreshold = 10
	// MaxBackupsPerWorker is how many spares may queue at one worker.
	MaxBackupsPerWorker = 8
	// RescheduleHeartbeats is the report round, in report intervals, after which a
	// stuck main is redrawn: reports vary by a quarter.
	RescheduleHeartbeats = 1.5
	// BackupStartHeartbeats is how long, in report intervals, a main must have waited
	// before its spare starts: a main whose machine reports in time would
	// stop the spare at once.
	BackupStartHeartbeats = 1.5
	// MaxBacklogPenalty is how much later the turn of an array with very much work waiting
	// comes than that of one with very little; one with the usual amount is in
	// the middle. Small ones first, but the largest do not starve.
	MaxBacklogPenalty = 800 * time.Second
	// GangHeadStart is how much earlier the turn of a gang comes than an array's
	// of its priority: a gang that waits holds no machine up, an array fills
	// whatever is left. Bounded, or a burst of gangs would starve the arrays.
	GangHeadStart = 120 * time.Second
	// GangPatience is how long a gang waits before no later one of its priority may
	// be placed before it.
	GangPatience = 60 * time.Second
	// StartMarkersAhead is how many arrays that are next in turn are marked as begun
	// before there is room for them: the mark takes a write, and a place that is
	// not filled with one report waits for the next.
	StartMarkersAhead = 8
	// MaxGangStartMarkers is how many jobs may wait for their marks before a gang may not
	// ask for one too.
	MaxGangStartMarkers = 64
	// MaxGangAttempts is how many gangs may find no room in one draw before the rest
	// is not tried: with thousands waiting the first have not been placed.
	MaxGangAttempts = 200
	// MaxTasksPerPass is how many arrays' tasks one draw queues, DrawGangs how many gangs it
	// places; the next draw goes on. A draw that placed all of a burst kept
	// a holder with a twentieth of a core from its lease for a second.
	MaxTasksPerPass = 64
	MaxGangsPerPass = 8
	// FirstStartDeadline is after how long a job of which nothing has started goes first,
	// with BeginTasks of its tasks: the largest jobs too should begin within
	// four minutes, whatever the burst.
	FirstStartDeadline    = 150 * time.Second
	FirstStartTasks = 8
	// StarvationTimeout is how long a job waits for all its tasks to start before it
	// is raised by a priority, and by another after each StarveStep.
	StarvationTimeout = 260 * time.Second
	StarvationStep  = 15 * time.Second
	// ConsolidationInterval is the least time between two times that machines are emptied
	// to be returned: what the first ones' tasks do to the rest shows only then.
	ConsolidationInterval = 3 * time.Second
	// ConsolidationDivisor is the part of the machines in use, one of so many, that is
	// emptied at a time, and CloseTries how many are tried for each of them.
	ConsolidationDivisor  = 40
	ConsolidationTries = 4
	// ConsolidationMinFree is the part of a machine that must be free for it to be asked
	// whether it would take a task of another.
	ConsolidationMinFree = 0.02
	// FillLevels is in how many steps a machine's fill is told apart when a task
	// is drawn: finer ones would leave nothing to chance.
	FillLevels = 4
	// ImageLocalityPatience is how much later an array's turn may be than the first's
	// for its tasks to go first where their image is: a fetch holds a place for
	// as long as a short task.
	ImageLocalityPatience = 1000 * time.Second
	// PassInterval is how often jobs are gone through although nothing changed:
	// pauses end, and machines fall silent.
	PassInterval = 100 * time.Millisecond
	// FairShareInterval is how often the jobs' turns are worked out anew: work drains
	// within seconds.
	FairShareInterval = 1 * time.Second
	// FairShareMinInterval is the least time between two sorts when jobs come and go: a
	// burst brings tens of them a second.
	FairShareMinInterval = 100 * time.Millisecond
	// MaxGangKinds is for how many kinds of gangs places are counted.
	MaxGangKinds = 32
	// BackupSamples is how many random machines are tried for a spare.
	BackupSamples = 16
	// CheckpointGrace is added to the time a task needs to save.
	CheckpointGrace = 1 * time.Second
	// PreemptionHeartbeats is how early, in report intervals, tasks on a recalled
	// machine are told to save: the stop may have to wait for a report.
	PreemptionHeartbeats = 1.3
	// RetryInitial follows a task's failure; it doubles, RetryDoublings times
	// at most, while its job fails everywhere.
	RetryInitial     = 1 * time.Second
	RetryDoublings = 5
	// RefusedStartPause follows a refused start.
	RefusedStartPause = 1 * time.Second
	// QuarantineJobs is how many jobs must have failed on a machine for it to
	// count as faulty, FaultyErrors how many tasks of one job that runs well
	// elsewhere.
	QuarantineJobs   = 2
	QuarantineErrors = 2
	// FailingJobMachines is on how many machines a job must have failed, without
	// any success, to be taken for a job with a mistake.
	FailingJobMachines = 3
	// ServiceHealthyAfter is how long a replica must run for its machine, and its service, to
	// count as sound.
	ServiceHealthyAfter = 10 * time.Second
	// ReserveMachines is on how many machines that are not spot there is room for one
	// more service like the largest, lower work giving way: one may be lost.
	ReserveMachines = 2
	// WarmPoolBootFactor is how many times shorter than a boot a class's aim for its start must
	// be for a machine to be kept before its first job has come.
	WarmPoolBootFactor = 5.0
	// RunTimeAverageWeight is the weight of the newest run time in a class's pace.
	RunTimeAverageWeight = 0.1
)

// Scores of a gang's possible places; the lowest sum is taken. In seconds of
// a whole machine's work that would be given up for it.
const (
	ScorePreempt    = 30.0 // a stop and a reported exit come first
	ScoreNoImage    = 90.0 // the image has to be fetched, and the gang starts late for it
	ScoreImageInTime = 30.0 // the image can be fetched in time
	// GangStartOverhead is what a gang's start takes beside saving and fetching: commands
	// and reports on their way.
	GangStartOverhead = 1 * time.Second
	// ImagePullSlack is how much slower than its type says a machine may fetch.
	ImagePullSlack    = 1.3
	ScoreOnDemand = 10.0 // a cheap machine would do
)
