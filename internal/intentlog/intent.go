// Package intentlog is the write-ahead log of what a shard's owner intends to do in the cloud:
// provisioning, deprovisioning and reclaiming machines.
//
// The cloud compares no fencing tokens, so a call that a superseded owner sent may be executed
// at any later time. An intent is therefore recorded under its owner's token before the call is
// sent, and is never withdrawn: the next owner recovers it, plans as if it were executed, and
// completes it. A late call then only repeats what was decided.
//
// Deletions of records from the state service need no intent, since the state service compares
// versions. They pass through the log as well, which rejects those not conditioned on the term.
package intentlog

import (
	"slices"
	"time"

	"go.opentelemetry.io/otel/trace"
)

// Operation is a kind of operation that one controller at a time carries out for a shard.
type Operation string

// The operations. Their values are stored, and shown to operators.
const (
	// Provision requests machines from the cloud.
	Provision Operation = "rent"
	// Deprovision returns machines that are known to have no work.
	Deprovision Operation = "return"
	// Reclaim deletes machines that are lost: unresponsive, stuck, preempted or failed.
	Reclaim Operation = "reclaim"
	// Cleanup deletes records that nothing needs any more.
	Cleanup Operation = "clean-up"
)

// Operations lists all operations.
func Operations() []Operation { return []Operation{Provision, Deprovision, Reclaim, Cleanup} }

// known reports whether this version has the operation; entries of other versions may name others.
func (o Operation) known() bool { return slices.Contains(Operations(), o) }

// State is how far an intent has come.
type State int

// The states of an intent.
const (
	// Recording: the entry is being written and is not known to be durable.
	Recording State = iota
	// Recorded: the entry is durable, and no call is in flight.
	Recorded
	// InFlight: a call has been sent and not been answered.
	InFlight
	// Completed: the outcome is known.
	Completed
)

func (s State) String() string {
	return [...]string{"recording", "recorded", "in flight", "completed"}[s]
}

// follows reports whether an intent may change from one state to this one.
func (s State) follows(from State) bool {
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

// Intent is one intended operation. Its state is changed by the Log that it belongs to.
type Intent struct {
	Operation Operation
	// Target names the machine, or the provisioning request. Neither name is ever reused.
	Target string
	// Token is the fencing token of the term that recorded the intent.
	Token uint64
	// DecidedAt is when it was decided, by the deciding controller's wall clock; zero: not known.
	DecidedAt time.Time
	// Recovered: an earlier term recorded it.
	Recovered bool

	state              State
	calls              int  // calls made in this term
	recordedExternally bool // a record outside the log is its entry
	span               trace.Span
}

// State is how far the intent has come.
func (i *Intent) State() State { return i.state }
