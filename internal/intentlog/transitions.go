package intentlog

import "time"

// Outcome is the caller's knowledge of whether a call was executed.
type Outcome int

// The outcomes of a call.
const (
	// NotExecuted means that the call was rejected or never sent.
	NotExecuted Outcome = iota
	// Unknown means that there was no response. The call may have been executed or may execute later.
	Unknown
	// Done means that the call was executed.
	Done
)

func (o Outcome) String() string {
	return [...]string{"not executed", "unknown", "done"}[o]
}

// Record adds an intent for a target. Calls may be made once its entry is durable. Record returns
// false and changes nothing if the log is full. A target that already has an intent, of whichever
// operation, keeps it, and Record returns true.
func (l *Log) Record(now time.Time, operation Operation, target, reason string) bool {
	if l.hasTarget(target) {
		return true
	}
	if l.Full() {
		return false
	}
	intent := l.newIntent(operation, target, reason)
	if !l.durable {
		l.MarkRecorded(intent)
		return true
	}
	l.pages.Put(target, newEntryRecord(intent), func(time.Time) { l.MarkRecorded(intent) })
	l.pages.Tick(now)
	return true
}

// RecordExternal adds an intent whose entry is a record outside the log. The caller writes that
// record and calls MarkRecorded when the record is durable.
func (l *Log) RecordExternal(operation Operation, target, reason string) *Intent {
	intent := l.newIntent(operation, target, reason)
	intent.externalEntry = true
	return intent
}

func (l *Log) newIntent(operation Operation, target, reason string) *Intent {
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

// MarkRecorded marks the entry of an intent as durable. It is idempotent.
func (l *Log) MarkRecorded(intent *Intent) {
	if intent.state == Recording && l.setState(intent, Recorded, "entry durable") {
		l.traceRecorded(intent)
	}
}

// StartCall marks an intent as in flight. It returns false, and the caller may make no call, unless
// the intent is in the state Recorded.
func (l *Log) StartCall(intent *Intent) bool {
	if intent.state != Recorded {
		return false
	}
	intent.calls++
	l.setState(intent, InFlight, "call started")
	l.traceCallStarted(intent)
	return true
}

// FinishCall applies the outcome of the call in flight. After any outcome but Done, the intent is
// ready for a retry.
func (l *Log) FinishCall(intent *Intent, outcome Outcome) {
	if intent.state != InFlight {
		return
	}
	l.traceCallResult(intent, outcome)
	if outcome == Done {
		l.setState(intent, Completed, "done")
		return
	}
	l.setState(intent, Recorded, "call "+outcome.String())
}

// Complete marks an intent as completed without the outcome of a call, because its effect is already
// in place or is no longer wanted.
func (l *Log) Complete(intent *Intent, reason string) {
	if intent.state == InFlight || intent.state == Recorded {
		l.setState(intent, Completed, reason)
	}
}

// Forget removes a completed intent and its entry. The caller must first have made the effect of the
// intent durable in other records, which a successor loads instead of the entry.
func (l *Log) Forget(intent *Intent) {
	if intent.state != Completed {
		return
	}
	delete(l.intents[intent.Operation], intent.Target)
	if !intent.externalEntry {
		l.pages.Delete(intent.Target)
	}
	l.traceCompletion(intent)
}

// setState is the only function that changes the state of an intent. It rejects transitions that
// the state machine does not allow.
func (l *Log) setState(intent *Intent, to State, reason string) bool {
	attributes := []any{"operation", intent.Operation, "target", intent.Target,
		"from", intent.state, "to", to, "reason", reason}
	if !to.reachableFrom(intent.state) {
		l.options.Log.Error("rejected invalid intent state transition", attributes...)
		return false
	}
	l.options.Log.Debug("intent state changed", attributes...)
	intent.state = to
	if to == Completed {
		l.pending--
	}
	return true
}
