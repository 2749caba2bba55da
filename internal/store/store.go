// Package store is the client of the state service: its calls, its results,
// and the share of the service's rate that this node may use.
package store

import (
	"encoding/json"
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
	PriorityLease Priority = iota
	// PriorityTerm: what a holder has to write down before it can go on: rentals,
	// used machines, begun jobs.
	PriorityTerm
	PriorityUser
	PriorityJobEnd
	PriorityCompletion

	Priorities = int(PriorityCompletion) + 1
)

// Call is one request to the state service.
type Call struct {
	Op            Op
	Priority      Priority
	Key           string // OpGet
	Prefix        string // OpList, OpChanges
	After         string // OpList
	SinceRevision uint64 // OpChanges
	PageSize      int    // OpList
	Transaction   wire.Transaction
	Lease         uint64        // OpTouch
	LeaseTTL      time.Duration // OpGrant
	WatchWaitMs   int           // OpChanges
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

// Result is what came of a call.
type Result struct {
	Status     int // the HTTP status; 0 when no response came
	SentAt     time.Time
	KeyValue   wire.KeyValue
	KeyValues  []wire.KeyValue
	More       bool
	Revision   uint64
	FailedKeys []string
	Lease      uint64
	Events     []wire.Event
}

// OK tells whether the call was executed as asked.
func (r Result) OK() bool { return r.Status == 200 }

// Refused tells whether the call surely was not executed, and may be tried again.
func (r Result) Refused() bool { return r.Status == 429 || r.Status == 503 }

// Put is a write of a value.
func Put(key string, value any, lease uint64) wire.Write {
	raw, err := json.Marshal(value)
	if err != nil {
		panic("store: value of " + key + " cannot be written as JSON: " + err.Error())
	}
	return wire.Write{Put: key, Value: raw, Lease: lease}
}

// Delete is the removal of a key.
func Delete(key string) wire.Write { return wire.Write{Delete: key} }

// VersionEquals is the condition that a key has a version; 0: that it does not exist.
func VersionEquals(key string, version uint64) wire.Compare {
	return wire.Compare{Key: key, Version: version}
}
