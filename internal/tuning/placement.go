package tuning

import "time"

// Primary and backup copies of an array's tasks, used by package placement.
const (
	// BackupWithdrawThreshold is the design document's count of preemptions after which a
	// backup copy is withdrawn, unless operators have set another.
	BackupWithdrawThreshold = 10
	// MaxBackupsPerWorker is how many backup copies may queue at one worker.
	MaxBackupsPerWorker = 8
	// BackupSamples is how many random machines are tried for a backup copy.
	BackupSamples = 16
	// RescheduleHeartbeats is the time, in heartbeat intervals, after which a primary copy that
	// has not started is scheduled again: heartbeats vary by a quarter.
	RescheduleHeartbeats = 1.5
	// BackupStartHeartbeats is how long, in heartbeat intervals, a primary copy must have waited
	// before its backup copy starts: a primary copy whose machine sends its heartbeats in time
	// would stop the backup copy at once.
	BackupStartHeartbeats = 1.5
	// FreeShareLevels is how many levels of a machine's use are told apart when a task is placed at
	// random: finer ones would leave nothing to chance.
	FreeShareLevels = 4
)

// Scores of the possible places of a gang; the lowest sum is chosen. They are in seconds of a
// whole machine's work that would be lost. Used by package placement.
const (
	// CostPreemption is for a machine with tasks to preempt: their stop and its report come first.
	CostPreemption = 30.0
	// CostImageMissing is for a machine without the image: the gang starts late for pulling it.
	CostImageMissing = 90.0
	// CostImagePull is for a machine that can pull the image in time.
	CostImagePull = 30.0
	// CostOnDemand is for a machine that is not spot where a spot machine would do.
	CostOnDemand = 10.0
	// GangStartOverhead is what a gang's start takes beside saving checkpoints and pulling
	// images: commands and heartbeats on their way.
	GangStartOverhead = 1 * time.Second
	// ImagePullSlack is how many times slower than its type says a machine may pull images.
	ImagePullSlack = 1.3
)

// Services, used by package placement.
const (
	// ServiceHealthyAfter is how long a replica must run for its machine, and its service, to
	// count as healthy.
	ServiceHealthyAfter = 10 * time.Second
	// ReserveMachines is on how many machines that are not spot there are resources for one more
	// replica of the largest service, lower work being preempted: one machine may be lost.
	ReserveMachines = 2
)

// Demand for machines, used by package placement.
const (
	// DefaultObjective stands for a class's service-level objective where the settings have none.
	DefaultObjective = 300 * time.Second
	// BacklogObjectiveShare is the part of a class's objective that its waiting work may take on
	// the machines there are before more are provisioned.
	BacklogObjectiveShare = 0.1
	// MinRunTime is the least run time assumed of a task.
	MinRunTime = 10 * time.Second
	// NegligibleBacklog is the waiting work, in tasks, that is not worth another machine.
	NegligibleBacklog = 0.5
	// RunTimeAverageWeight is the weight of the newest run time in a class's moving average.
	RunTimeAverageWeight = 0.1
	// WarmPoolBootFactor is how many times shorter than a boot a class's objective for its start
	// must be for a machine to be kept before its first job has come.
	WarmPoolBootFactor = 5.0
)
