package tuning

// Requests of users, used by package submission.
const (
	// RetryAfterBusyS is after how many seconds a user is asked to try again when too many
	// requests are in flight: overload passes quickly.
	RetryAfterBusyS = 1
	// RetryAfterUnavailableS is the same while a controller cannot decide: an outage takes a
	// little longer.
	RetryAfterUnavailableS = 2
	// EndedJobsKept is how many ended jobs a controller reports from memory.
	EndedJobsKept = 20000
	// MaxSubmissionsInFlight bounds submissions and cancellations in flight.
	MaxSubmissionsInFlight = 64
	// MaxQueriesInFlight bounds queries in flight.
	MaxQueriesInFlight = 128
	// MaxCancelAttempts is how often a cancellation starts over after a conflict.
	MaxCancelAttempts = 3
	// QueryRateShare is the part of the state service's rate that the queries of open jobs
	// may take on all controllers together.
	QueryRateShare = 0.3
)

// The log of cancellations that were reported to users, used by packages submission,
// controller and term.
const (
	// CancellationRetentionFactor is for how many times the time within which a cancelled job's
	// tasks are killed a cancellation is kept: after once that time they have been killed,
	// whoever owns their shard.
	CancellationRetentionFactor = 2
	// MinCancellationsKept is the least capacity of the log. It is larger where more
	// cancellations can be written in the time for which they are kept.
	MinCancellationsKept = 4096
	// WritesPerCancellation is how many writes of the state service a cancellation takes.
	WritesPerCancellation = 2
	// MaxCancellationsPerMessage is how many cancellations one message to a peer carries, far
	// below what it may hold.
	MaxCancellationsPerMessage = 512
)
