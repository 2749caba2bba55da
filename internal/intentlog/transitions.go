package intentlog

import "time"

// Outcome is what is known of a call that was made.
type Outcome int

// The outcomes of a call.
const (
	// NotExecuted: the call was refused, or never sent.
	NotExecuted Outcome = iota
	// Unknown: no answer came. The call may have been executed, or be executed later.
	Unknown
	// Done: the call was executed.
	Done
)

func (o Outcome) String() string {
	return [...]string{"not executed", "unknown", "done"}[o]
}

// Record decides on an intent: calls may be made once its entry is durable. It returns false,
// and changes nothing, if the log is full. A target that has an intent already keeps it.
func (l *Log) Record(now time.Time, operation Operation, target, reason string) bool {
	if l.hasTarget(target) {
		return true
	}
	if l.Full() {
		return false
	}
	intent := l.decide(operation, target, reason)
	if !l.durable {
		l.MarkRecorded(intent)
		return true
	}
	l.pages.Put(target, newEntryRecord(intent), func(time.Time) { l.MarkRecorded(intent) })
	l.pages.Tick(now)
	return true
}

// RecordElsewhere decides on an intent whose entry is a record outside the log. The caller
// writes that record, and calls MarkRecorded when it is durable.
func (l *Log) RecordElsewhere(operation Operation, target, reason string) *Intent {
	intent := l.decide(operation, target, reason)
	intent.recordedExternally = true
	return intent
}

func (l *Log) decide(operation Operation, target, reason string) *Intent {
	intent := &Intent{
		Operation: operation,
		Target:    target,
		Token:     l.options.Token,
		DecidedAt: l.options.WallClock(),
	}
	l.add(intent)
	l.traceDecision(intent, reason)
	return intent
}

// MarkRecorded notes that the entry of an intent is durable. It may be called repeatedly.
func (l *Log) MarkRecorded(intent *Intent) {
	if intent.state == Recording && l.setState(intent, Recorded, "entry durable") {
		l.traceRecorded(intent)
	}
}

// StartCall reports whether a call may be made for an intent now, and marks it as in flight if so.
func (l *Log) StartCall(intent *Intent) bool {
	if intent.state != Recorded {
		return false
	}
	intent.calls++
	l.setState(intent, InFlight, "call started")
	l.traceCallStarted(intent)
	return true
}

// FinishCall notes the outcome of the call in flight. After any outcome but Done, the call has
// to be made again.
func (l *Log) FinishCall(intent *Intent, outcome Outcome) {
	if intent.state != InFlight {
		return
	}
	l.traceCallFinished(intent, outcome)
	if outcome == Done {
		l.setState(intent, Completed, "done")
		return
	}
	l.setState(intent, Recorded, "call "+outcome.String())
}

// Complete ends an intent without a call of this term: its effect is there already, or is
// wanted no more.
func (l *Log) Complete(intent *Intent, reason string) {
	if intent.state == InFlight || intent.state == Recorded {
		l.setState(intent, Completed, reason)
	}
}

// Forget removes a completed intent and its entry. The caller has made its effect durable in
// other records, so that a successor plans on it without the entry.
func (l *Log) Forget(intent *Intent) {
	if intent.state != Completed {
		return
	}
	delete(l.intents[intent.Operation], intent.Target)
	if !intent.recordedExternally {
		l.pages.Delete(intent.Target)
	}
	l.traceForgotten(intent)
}

// setState is the only function that changes the state of an intent. It refuses changes that
// the state machine does not have.
func (l *Log) setState(intent *Intent, to State, reason string) bool {
	attributes := []any{"operation", intent.Operation, "target", intent.Target,
		"from", intent.state, "to", to, "reason", reason}
	if !to.follows(intent.state) {
		l.options.Log.Error("intent state change rejected", attributes...)
		return false
	}
	l.options.Log.Debug("intent state changed", attributes...)
	intent.state = to
	if to == Completed {
		l.pending--
	}
	return true
}
