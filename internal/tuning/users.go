package tuning

// Users.
const (
	// RetryAfterBusyS and RetryAfterUnable tell a user, in seconds, when to
	// come back: overload passes quickly, an outage takes a little longer.
	RetryAfterBusyS   = 1
	RetryAfterUnavailableS = 2
	// EndedJobsKept is how many ended jobs a node answers from memory.
	EndedJobsKept = 20000
	// MaxSubmissionsInFlight bounds submissions and cancellations under way.
	MaxSubmissionsInFlight = 64
	// MaxQueriesInFlight bounds the jobs being read for queries.
	MaxQueriesInFlight = 128
	// MaxCancelTries is how often a cancellation looks again after a conflict.
	MaxCancelTries = 3
	// CancellationRetentionFactor is for how many times the time that a cancelled job's tasks have a
	// node keeps note of having told of it: after once they are gone, whoever holds
	// their block. CancellationsKept is how many it notes at least, or as many as can be written
	// in that time, at CancelWrites changes of the state service each. CancellationsAtOnce is how
	// many it passes on with one message, far below what one may hold.
	CancellationRetentionFactor    = 2
	MinCancellationsKept   = 4096
	WritesPerCancellation        = 2
	MaxCancellationsPerMessage = 512
	// MaxBodyBytes is the largest request body, by the protocol.
	MaxBodyBytes = 64 << 10
	// BodyPreallocateBytes is the size up to which a body gets all its memory before it has
	// come: most reports and all usual submissions are smaller.
	BodyPreallocateBytes = 4 << 10
)
