package tuning

import "time"

// Primary and backup copies of the tasks of job arrays, used by package placement.
const (
	// BackupWithdrawThreshold is the default number of preemptions after which a task's backup
	// copy is withdrawn. Operators can override it.
	BackupWithdrawThreshold = 10
	// MaxBackupsPerWorker bounds the backup copies queued at one worker.
	MaxBackupsPerWorker = 8
	// BackupSamples is the number of random machines tried for a backup copy.
	BackupSamples = 16
	// RescheduleHeartbeats is the time, in heartbeat intervals, after which a primary copy that has
	// not started is rescheduled. It exceeds the jitter of heartbeats, a quarter of the interval.
	RescheduleHeartbeats = 1.5
	// BackupStartHeartbeats is the time, in heartbeat intervals, that a primary copy must have
	// waited before its backup copy starts. An earlier start would often be stopped at once by a
	// start of the primary copy.
	BackupStartHeartbeats = 1.5
	// FreeShareLevels is the number of levels to which the free share of a machine is quantized. The
	// choice among machines of one level is random. Finer levels would leave nothing to chance.
	FreeShareLevels = 4
)

// Cost of a placement of a gang, used by package placement. The cost of a machine is the work that the
// placement loses on it, in machine-seconds. The placement of the lowest total cost is selected.
// GangStartOverhead and ImagePullSlack are no costs: they estimate the start time of a gang and the time
// of an image pull, from which costs follow.
const (
	// CostPreemption applies to a machine on which tasks have to be preempted. The gang waits until
	// they have stopped and their exits are reported.
	CostPreemption = 30.0
	// CostImageMissing applies to a machine that cannot pull the image in time.
	CostImageMissing = 90.0
	// CostImagePull applies to a machine that can pull the image within a start objective.
	CostImagePull = 30.0
	// CostOnDemand applies to an on-demand machine for a gang that may use spot machines.
	CostOnDemand = 10.0
	// GangStartOverhead is the part of a gang's start time that is not spent on saving checkpoints
	// and pulling images: the latency of commands and heartbeats.
	GangStartOverhead = 1 * time.Second
	// ImagePullSlack multiplies the image pull time of a machine's type, as a bound for a slow pull.
	ImagePullSlack = 1.3
)

// Services, used by package placement.
const (
	// ServiceHealthyAfter is the run time after which a replica counts as healthy.
	ServiceHealthyAfter = 10 * time.Second
	// ReserveMachines is the number of on-demand machines that can each take one more replica of
	// the largest service, with lower-priority work preempted. Two machines tolerate the loss of one.
	ReserveMachines = 2
)

// Demand for machines, used by package placement.
const (
	// DefaultObjective applies to a class for which the settings have no service-level objective.
	DefaultObjective = 300 * time.Second
	// BacklogObjectiveShare is the share of a class's objective within which its pending work has
	// to drain on the existing machines. Longer backlogs trigger a scale-out.
	BacklogObjectiveShare = 0.1
	// MinRunTime is the lower bound of a task's estimated run time.
	MinRunTime = 10 * time.Second
	// NegligibleBacklog is the largest pending work, in tasks, for which no machine is provisioned.
	NegligibleBacklog = 0.5
	// RunTimeAverageWeight is the weight of the newest run time in a class's exponential moving
	// average.
	RunTimeAverageWeight = 0.1
	// WarmPoolBootFactor is the minimum ratio of boot time to start objective for which a machine is
	// kept warm for a class that has had no job yet.
	WarmPoolBootFactor = 5.0
)
