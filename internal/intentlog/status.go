package intentlog

import "time"

// IntentStatus describes an intent that is not completed.
type IntentStatus struct {
	Operation Operation
	Target    string
	Token     uint64
	State     State
	// DecidedAt is zero if it is not known.
	DecidedAt time.Time
	Recovered bool
}

// OperationStatus describes one operation.
type OperationStatus struct {
	Operation Operation
	// Intents are those that are not completed, by target.
	Intents []IntentStatus
	// RemovalsInFlight and RemovalsDone count the deletions of records in this term, for Cleanup only.
	RemovalsInFlight, RemovalsDone int
	// OldestRemovalSentAt is when the oldest removal in flight was sent, by the wall clock; zero: there is none.
	OldestRemovalSentAt time.Time
}

// Status describes all operations, in the order of Operations.
func (l *Log) Status() []OperationStatus {
	var statuses []OperationStatus
	for _, operation := range Operations() {
		statuses = append(statuses, l.operationStatus(operation))
	}
	return statuses
}

func (l *Log) operationStatus(operation Operation) OperationStatus {
	status := OperationStatus{Operation: operation}
	pending := func(intent *Intent) bool { return intent.state != Completed }
	for _, intent := range l.filter([]Operation{operation}, pending) {
		status.Intents = append(status.Intents, intent.status())
	}
	if operation == Cleanup {
		status.RemovalsInFlight, status.RemovalsDone = l.removals.inFlight, l.removals.done
		if status.RemovalsInFlight > 0 {
			status.OldestRemovalSentAt = l.removals.oldestSentAt
		}
	}
	return status
}

func (i *Intent) status() IntentStatus {
	return IntentStatus{
		Operation: i.Operation,
		Target:    i.Target,
		Token:     i.Token,
		State:     i.state,
		DecidedAt: i.DecidedAt,
		Recovered: i.Recovered,
	}
}
