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
	OpMulti
	OpGrant
	OpTouch
	OpChanges
)

// Class orders calls when the rate is short: a lower one goes first.
type Class int

// Classes of calls, in the order in which they may spend the rate.
const (
	ClassLease Class = iota
	// ClassTenure: what a holder has to write down before it can go on: rentals,
	// used machines, begun jobs.
	ClassTenure
	ClassUser
	ClassFinal
	ClassTally

	Classes = int(ClassTally) + 1
)

// Call is one request to the state service.
type Call struct {
	Op     Op
	Class  Class
	Key    string // OpGet
	Under  string // OpList, OpChanges
	After  string // OpList
	Since  uint64 // OpChanges
	Page   int    // OpList
	Multi  wire.Multi
	Lease  uint64        // OpTouch
	Life   time.Duration // OpGrant
	WaitMs int           // OpChanges
}

// Limit is how long a call may take.
func (c Call) Limit() time.Duration {
	switch c.Op {
	case OpChanges:
		return time.Duration(c.WaitMs)*time.Millisecond + tuning.StoreTimeout
	case OpTouch:
		return tuning.RenewTimeout
	}
	return tuning.StoreTimeout
}

// Result is what came of a call.
type Result struct {
	Status   int // the HTTP status; 0 when no response came
	Sent     time.Time
	Item     wire.Item
	Items    []wire.Item
	More     bool
	Revision uint64
	Failed   []string
	Lease    uint64
	Events   []wire.Change
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
	return wire.Write{Write: key, Value: raw, Lease: lease}
}

// Remove is the removal of a key.
func Remove(key string) wire.Write { return wire.Write{Remove: key} }

// Is is the condition that a key has a version; 0: that it does not exist.
func Is(key string, version uint64) wire.Cond { return wire.Cond{Path: key, Version: version} }
