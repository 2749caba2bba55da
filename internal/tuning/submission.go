package tuning

// Requests of users, used by package submission.
const (
	// RetryAfterBusyS is the Retry-After value, in seconds, while too many requests are in flight.
	// Overload passes quickly.
	RetryAfterBusyS = 1
	// RetryAfterUnavailableS is the Retry-After value, in seconds, while the controller cannot serve a
	// request. An outage takes a little longer than overload.
	RetryAfterUnavailableS = 2
	// EndedJobsKept is the capacity of the cache of ended jobs.
	EndedJobsKept = 20000
	// MaxSubmissionsInFlight bounds concurrent submissions and cancellations.
	MaxSubmissionsInFlight = 64
	// MaxQueriesInFlight bounds concurrent queries.
	MaxQueriesInFlight = 128
	// MaxCancelAttempts bounds the attempts of a cancellation whose transaction conflicts.
	MaxCancelAttempts = 3
	// QueryRateShare is the share of the state service's rate limit that queries of open jobs use
	// on all controllers together.
	QueryRateShare = 0.3
)

// Log of the cancellations confirmed to users, used by packages submission, controller and term.
const (
	// CancellationRetentionFactor is the retention time of a cancellation, as a multiple of the time
	// within which the tasks of a cancelled job must have ended. After one such time, no task of the
	// job runs under any lease holder.
	CancellationRetentionFactor = 2
	// MinCancellationsKept is the minimum capacity of the log. The capacity is larger if more
	// cancellations can be written within their retention time.
	MinCancellationsKept = 4096
	// WritesPerCancellation is the number of writes that a cancellation takes in the state service.
	WritesPerCancellation = 2
	// MaxCancellationsPerMessage bounds the cancellations in one message to a peer.
	MaxCancellationsPerMessage = 512
)
