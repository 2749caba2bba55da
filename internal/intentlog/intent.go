// Package intentlog is the write-ahead log of a shard's cloud operations: provisioning,
// deprovisioning and reclaiming machines.
//
// The cloud does not check fencing tokens, so a call of a superseded lease holder may execute at
// any later time. The log therefore records each intent under its lease holder's token before the
// call is sent, and never withdraws it. The next lease holder recovers the intent, plans as if it
// had been executed, and completes it. A late call is then a repeat of an idempotent request.
//
// Deletions of records from the state service need no intent, since the state service supports
// compare-and-swap. The log rejects those that are not conditioned on the term.
package intentlog

import (
	"slices"
	"time"

	"go.opentelemetry.io/otel/trace"
)

// Operation is a kind of operation that only the shard's lease holder may carry out.
type Operation string

// The operations. Their values are stored in log entries and shown to operators.
const (
	// Provision requests machines from the cloud.
	Provision Operation = "rent"
	// Deprovision returns idle machines to the cloud.
	Deprovision Operation = "return"
	// Reclaim deletes failed machines: unresponsive, stuck in boot, preempted or failed in the cloud.
	Reclaim Operation = "reclaim"
	// DeleteRecords deletes obsolete records from the state service.
	DeleteRecords Operation = "clean-up"
)

// Operations returns all operations in the order in which Status reports them.
func Operations() []Operation { return []Operation{Provision, Deprovision, Reclaim, DeleteRecords} }

// supported reports whether this version implements the operation. Entries written by other versions
// may name others.
func (o Operation) supported() bool { return slices.Contains(Operations(), o) }

// State is a state in the lifecycle of an intent.
type State int

// The states of an intent.
const (
	// Recording means that the entry is being written and is not known to be durable.
	Recording State = iota
	// Recorded means that the entry is durable and no call is in flight.
	Recorded
	// InFlight means that a call was sent and its result is pending.
	InFlight
	// Completed means that the effect is known to be in place, or is no longer wanted.
	Completed
)

func (s State) String() string {
	return [...]string{"recording", "recorded", "in flight", "completed"}[s]
}

// reachableFrom reports whether the state machine allows the transition from one state to this one.
func (s State) reachableFrom(from State) bool {
	switch s {
	case Recorded:
		return from == Recording || from == InFlight
	case InFlight:
		return from == Recorded
	case Completed:
		return from == Recorded || from == InFlight
	}
	return false
}

// Intent is one intended operation. Only the Log that it belongs to changes its state.
type Intent struct {
	Operation Operation
	// Target is the name of the machine or of the provisioning request. Names are never reused.
	Target string
	// Token is the fencing token of the term that recorded the intent.
	Token uint64
	// DecidedAt is the time of the decision by the deciding controller's wall clock, zero if unknown.
	DecidedAt time.Time
	// Recovered reports whether an earlier term recorded the intent.
	Recovered bool

	state         State
	calls         int  // number of calls made in this term
	externalEntry bool // the entry is a record outside the log
	span          trace.Span
}

// State returns the current state.
func (i *Intent) State() State { return i.state }
