package intentlog

import "time"

// IntentStatus is a snapshot of an intent that is not completed.
type IntentStatus struct {
	Operation Operation
	Target    string
	Token     uint64
	State     State
	// DecidedAt is zero if the time of the decision is unknown.
	DecidedAt time.Time
	Recovered bool
}

// OperationStatus is a snapshot of the intents of one operation.
type OperationStatus struct {
	Operation Operation
	// Intents are the intents that are not completed, ordered by target.
	Intents []IntentStatus
	// DeletionsInFlight and DeletionsDone count the deletions of records in this term, for
	// DeleteRecords only.
	DeletionsInFlight, DeletionsDone int
	// OldestDeletionSentAt is the wall-clock time since which deletions are in flight, zero without any.
	OldestDeletionSentAt time.Time
}

// Status returns a snapshot of each operation, in the order of Operations.
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
	if operation == DeleteRecords {
		status.DeletionsInFlight, status.DeletionsDone = l.deletions.inFlight, l.deletions.done
		if status.DeletionsInFlight > 0 {
			status.OldestDeletionSentAt = l.deletions.oldestSentAt
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
