// Package store is the client of the state service, the consensus-backed key-value store
// that stores all durable state of the controllers. It provides single calls (Client), a
// watch-based cache of the keys under a prefix (WatchCache), writers for a single key
// (DesiredValue) and for many small entries (Pages), and a client-side rate limiter
// (RateLimiter).
//
// A term is the period in which one controller holds the lease of a shard. Its writes compare the
// version of a key that changes with each term, so that they fail once the term has ended.
//
// The word page has two meanings. A list page is a part of the response to a list, which the service
// returns in several parts. A stored page is one key of Pages, whose value holds many entries.
//
// Only Client is safe for concurrent use. The other types belong to the controller's event
// loop, which receives the results of their calls through a Caller.
package store

import (
	"errors"
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Op selects the operation of a Call.
type Op int

// Operations of the state service.
const (
	OpGet Op = iota
	OpList
	OpTransaction
	OpGrantLease
	OpRenewLease
	OpWatch
)

// Priority orders calls when the rate limit is reached. Calls with lower values are sent first.
type Priority int

// Priorities of calls, from the most to the least urgent.
const (
	// PriorityLease applies to leases, elections, and the lists and watches of a WatchCache,
	// except its catch-ups.
	PriorityLease Priority = iota
	// PriorityTerm applies to writes that block a lease holder until they are durable:
	// provisioning requests, registrations of machines, start markers.
	PriorityTerm
	// PriorityUser applies to calls that a user's request waits for, and to all catch-ups of a
	// WatchCache.
	PriorityUser
	// PriorityJobEnd applies to writes that record the end of a job.
	PriorityJobEnd
	// PriorityCompletion applies to writes that record completed tasks of open jobs.
	PriorityCompletion

	// NumPriorities is the length of an array that is indexed by Priority.
	NumPriorities = int(PriorityCompletion) + 1
)

// Call is one request to the state service. Op determines which of the other fields apply.
type Call struct {
	Op            Op
	Priority      Priority
	Key           string           // OpGet
	Prefix        string           // OpList, OpWatch
	After         string           // OpList: last key of the previous list page, "" for the first
	PageSize      int              // OpList: maximum number of keys per list page
	SinceRevision uint64           // OpWatch: only changes after this revision are returned
	WatchWaitMs   int              // OpWatch: time that the service waits for a change
	Transaction   wire.Transaction // OpTransaction
	Lease         uint64           // OpRenewLease
	LeaseTTL      time.Duration    // OpGrantLease
}

// Timeout returns the time after which the call fails with ErrNoResponse.
func (c Call) Timeout() time.Duration {
	switch c.Op {
	case OpWatch:
		return time.Duration(c.WatchWaitMs)*time.Millisecond + tuning.StoreTimeout
	case OpRenewLease:
		return tuning.RenewTimeout
	}
	return tuning.StoreTimeout
}

// Result is the outcome of a call. Without a response only Err and SentAt are set.
type Result struct {
	// Err is nil if the call succeeded. Otherwise it is one of the errors of this package, or
	// the error of an unexpected HTTP status.
	Err error
	// SentAt is the time at which the call was sent. The response reflects all writes that
	// were committed before that time.
	SentAt    time.Time
	KeyValue  wire.KeyValue   // OpGet
	KeyValues []wire.KeyValue // OpList
	More      bool            // OpList: another list page exists
	Revision  uint64          // revision of the service as of the response
	Lease     uint64          // OpGrantLease, OpRenewLease
	Events    []wire.Event    // OpWatch
}

// OK reports whether the call succeeded.
func (r Result) OK() bool { return r.Err == nil }

// ConflictsOn reports whether the transaction failed because the version of key differs from
// the one that the transaction compares.
func (r Result) ConflictsOn(key string) bool {
	var conflict *ConflictError
	return errors.As(r.Err, &conflict) && slices.Contains(conflict.FailedKeys, key)
}

// Caller starts a call and returns without waiting for the response. It invokes done exactly
// once, on the controller's event loop, with the time at which done runs and the result.
type Caller func(call Call, done func(now time.Time, result Result))
