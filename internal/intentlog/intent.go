// Package intentlog keeps a durable log of what a block's holder intends to do where nobody
// checks its token: renting, returning and reclaiming machines. An action is entered
// under the holder's token before it is sent. An entered action is never taken back: a
// successor completes it, and plans as if it were done, so that a late call of a replaced
// holder only repeats what was decided. Removals from the state service, which compares
// versions, pass through here as well, and are refused unless they are conditioned on the
// tenure.
package intentlog

import (
	"time"

	"go.opentelemetry.io/otel/trace"
)

// Operation is a kind of action that one holder at a time carries out for a block.
type Operation string

// The duties. Their names are stored.
const (
	// Provision asks the cloud for machines.
	Provision Operation = "rent"
	// Deprovision gives back machines that are known to have no work.
	Deprovision Operation = "return"
	// Reclaim takes back machines that are lost: silent, stuck, taken or failed.
	Reclaim Operation = "reclaim"
	// Cleanup removes records that nothing needs any more.
	Cleanup Operation = "clean-up"
)

// Operations lists the duties.
func Operations() []Operation { return []Operation{Provision, Deprovision, Reclaim, Cleanup} }

// State is how far an action is.
type State int

// The stages of an action.
const (
	// Recording: its entry is being made durable.
	Recording State = iota
	// Recorded: its entry is durable, and no call is under way.
	Recorded
	// InFlight: a call is under way.
	InFlight
	// Completed: what came of it is known.
	Completed
)

func (s State) String() string {
	return [...]string{"entering", "entered", "sent", "settled"}[s]
}

// follows tells whether an action may go from one stage to another.
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

// Intent is one intended action of a duty.
type Intent struct {
	Operation Operation
	// Target is the rental's name or the machine's; neither is ever used again.
	Target string
	// Token is the token of the tenure that entered it.
	Token uint64
	// DecidedAt is when it was decided, by the deciding controller's time of day.
	DecidedAt time.Time
	// Recovered: an earlier tenure entered it.
	Recovered bool

	state             State
	since             time.Time // of the stage
	calls             int       // made in this tenure
	recordedElsewhere bool      // another record is its entry
	span              trace.Span
}

// State is how far the action is.
func (a *Intent) State() State { return a.state }
