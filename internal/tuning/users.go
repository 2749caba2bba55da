package tuning

// Users.
const (
	// RetryAfterBusy and RetryAfterUnable tell a user, in seconds, when to
	// come back: overload passes quickly, an outage takes a little longer.
	RetryAfterBusy   = 1
	RetryAfterUnable = 2
	// FinalsKept is how many ended jobs a node answers from memory.
	FinalsKept = 20000
	// SubmitsInHand bounds submissions and cancellations under way.
	SubmitsInHand = 64
	// ReadsInHand bounds the jobs being read for queries.
	ReadsInHand = 128
	// CancelTries is how often a cancellation looks again after a conflict.
	CancelTries = 3
	// CancellationKeep is for how many times the time that a cancelled job's tasks have a
	// node keeps note of having told of it: after once they are gone, whoever holds
	// their block. CancellationsKept is how many it notes at least, or as many as can be written
	// in that time, at CancelWrites changes of the state service each. CancellationsAtOnce is how
	// many it passes on with one message, far below what one may hold.
	CancellationKeep    = 2
	CancellationsKept   = 4096
	CancelWrites        = 2
	CancellationsAtOnce = 512
	// BodyBytes is the largest request body, by the protocol.
	BodyBytes = 64 << 10
	// BodyAtOnce is the size up to which a body gets all its memory before it has
	// come: most reports and all usual submissions are smaller.
	BodyAtOnce = 4 << 10
)
