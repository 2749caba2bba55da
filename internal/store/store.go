// Package store is the client of the state service, the consensus-backed key-value store
// that holds everything the controllers must not lose. It offers single calls (Client), a
// cache of the keys under a prefix (WatchCache), writers of single keys (DesiredValue) and
// of many small entries (Pages), and the member's share of the service's rates (RateLimiter).
//
// But for Client none of the types is safe for concurrent use: a member's event loop owns
// them, and calls report back to it through a Caller.
package store

import (
	"errors"
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Op is a kind of call.
type Op int

// The calls of the state service.
const (
	OpGet Op = iota
	OpList
	OpTransaction
	OpGrantLease
	OpRenewLease
	OpWatch
)

// Priority orders calls when the rate is short: a lower one goes first.
type Priority int

// Priorities of calls, in the order in which they may spend the rate.
const (
	// PriorityLease is for leases, elections and watches.
	PriorityLease Priority = iota
	// PriorityTerm is for what a lease holder has to write before it can go on:
	// provisioning requests, used workers, start markers.
	PriorityTerm
	// PriorityUser is for what a user waits for.
	PriorityUser
	// PriorityJobEnd is for the ends of jobs.
	PriorityJobEnd
	// PriorityCompletion is for completed tasks of jobs that go on.
	PriorityCompletion

	// Priorities is the number of priorities.
	NumPriorities = int(PriorityCompletion) + 1
)

// Call is one request to the state service.
type Call struct {
	Op            Op
	Priority      Priority
	Key           string           // OpGet
	Prefix        string           // OpList, OpWatch
	After         string           // OpList: the last key of the page before, "" for the first page
	PageSize      int              // OpList
	SinceRevision uint64           // OpWatch: changes after this revision
	WatchWaitMs   int              // OpWatch: how long to wait for a change
	Transaction   wire.Transaction // OpTransaction
	Lease         uint64           // OpRenewLease
	LeaseTTL      time.Duration    // OpGrantLease
}

// Timeout is how long a call may take.
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
	// Err is nil when the call was executed as asked, else one of this package's errors.
	Err error
	// SentAt is when the call was sent: the response holds whatever was written before.
	SentAt    time.Time
	KeyValue  wire.KeyValue   // OpGet
	KeyValues []wire.KeyValue // OpList
	More      bool            // OpList: a further page exists
	Revision  uint64          // of the service, at the time of the response
	Lease     uint64          // OpGrantLease, OpRenewLease
	Events    []wire.Event    // OpWatch
}

// OK reports whether the call was executed as asked.
func (r Result) OK() bool { return r.Err == nil }

// ConflictsOn reports whether the transaction failed as the key has another version than
// its compare names.
func (r Result) ConflictsOn(key string) bool {
	var conflict *ConflictError
	return errors.As(r.Err, &conflict) && slices.Contains(conflict.FailedKeys, key)
}

// Caller executes a call in the background and passes the result to done, exactly once,
// on the goroutine that owns all state. now is the time at which done runs.
type Caller func(call Call, done func(now time.Time, result Result))
