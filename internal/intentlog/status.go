package intentlog

import "time"

// IntentStatus is what is told of an action that is not settled.
type IntentStatus struct {
	Operation Operation
	Target    string
	Token     uint64
	State     State
	DecidedAt time.Time // zero: not known
	Recovered bool
}

// OperationStatus is what is told of one duty.
type OperationStatus struct {
	Operation Operation
	Intents   []IntentStatus // those that are not settled, by target
	// RemovalsInFlight and Removed count removals, of clean-up only.
	RemovalsInFlight, RemovalsDone int
	OldestRemovalSentAt            time.Time // when the oldest removal under way was sent
}

// Status tells of all duties.
func (l *Log) Status() []OperationStatus {
	var out []OperationStatus
	for _, d := range Operations() {
		s := OperationStatus{Operation: d}
		for _, a := range l.list(func(a *Intent) bool { return a.state != Completed }, []Operation{d}) {
			s.Intents = append(s.Intents, IntentStatus{Operation: d, Target: a.Target, Token: a.Token, State: a.state, DecidedAt: a.DecidedAt, Recovered: a.Recovered})
		}
		if d == Cleanup {
			s.RemovalsInFlight, s.RemovalsDone = l.removals.inFlight, l.removals.done
			if s.RemovalsInFlight > 0 {
				s.OldestRemovalSentAt = l.removals.oldest
			}
		}
		out = append(out, s)
	}
	return out
}
