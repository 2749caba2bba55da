package intentlog_test

import (
	"math"
	"testing"

	"github.com/anishathalye/porcupine"
)

// historyOperationKind is the kind of an operation on the entry of one machine.
type historyOperationKind int

const (
	failoverOperation historyOperationKind = iota // starts a term and reads whether there is an entry
	recordOperation
	completeOperation
)

// historyOperation is the input of an operation in the history of one machine's entry.
type historyOperation struct {
	kind      historyOperationKind
	token     uint64
	machineID string
}

// operationResult is the holder's knowledge of the outcome of an operation.
type operationResult struct {
	known      bool // the operation is known to have been executed
	entryFound bool // a failoverOperation found an entry
}

var completed = operationResult{known: true}

// addToHistory adds an operation to the history. An operation of unknown outcome ends at
// math.MaxInt64.
func (m *model) addToHistory(operation historyOperation, startedAt, endedAt int64, result operationResult) {
	m.observed.history = append(m.observed.history, porcupine.Operation{
		ClientId: int(operation.token),
		Input:    operation,
		Call:     startedAt,
		Output:   result,
		Return:   endedAt,
	})
}

// closeHistory adds the entries whose outcome their holders never learned.
func (m *model) closeHistory() {
	for _, holder := range m.holders {
		for _, pending := range holder.recording {
			if !pending.outcomeKnown {
				m.addToHistory(pending.operation(holder), pending.startedAt, math.MaxInt64, operationResult{})
			}
		}
	}
}

// entryState is the state of one machine's entry in the specification.
type entryState struct {
	token    uint64
	recorded bool
}

// fencedLog returns the specification: only the highest token changes entries, and a failover reads
// exactly the entries that were recorded and not completed before it.
func fencedLog() porcupine.Model {
	specification := porcupine.NondeterministicModel{
		Partition: partitionByMachine,
		Init:      func() []any { return []any{entryState{}} },
		Step: func(state, input, output any) []any {
			return nextStates(state.(entryState), input.(historyOperation), output.(operationResult))
		},
	}
	return specification.ToModel()
}

func partitionByMachine(history []porcupine.Operation) [][]porcupine.Operation {
	byMachine := map[string][]porcupine.Operation{}
	for _, operation := range history {
		machineID := operation.Input.(historyOperation).machineID
		byMachine[machineID] = append(byMachine[machineID], operation)
	}
	var partitions [][]porcupine.Operation
	for _, partition := range byMachine {
		partitions = append(partitions, partition)
	}
	return partitions
}

// nextStates returns the states that an operation with a result may lead to, none for a violation.
func nextStates(state entryState, operation historyOperation, result operationResult) []any {
	if operation.kind == failoverOperation {
		if operation.token <= state.token || result.entryFound != state.recorded {
			return nil
		}
		return []any{entryState{token: operation.token, recorded: state.recorded}}
	}
	var next []any
	if !result.known {
		next = append(next, state)
	}
	if operation.token == state.token {
		next = append(next, entryState{token: state.token, recorded: operation.kind == recordOperation})
	}
	return next
}

func failover(token uint64, startedAt, endedAt int64, entryFound bool) porcupine.Operation {
	return porcupine.Operation{
		Input:  historyOperation{kind: failoverOperation, token: token, machineID: "i-1"},
		Call:   startedAt,
		Output: operationResult{known: true, entryFound: entryFound},
		Return: endedAt,
	}
}

func change(kind historyOperationKind, startedAt, endedAt int64, result operationResult) porcupine.Operation {
	return porcupine.Operation{
		Input:  historyOperation{kind: kind, token: 1, machineID: "i-1"},
		Call:   startedAt,
		Output: result,
		Return: endedAt,
	}
}

var (
	firstTerm = failover(1, 0, 1, false)
	recorded  = change(recordOperation, 2, 3, completed)
)

var historyCases = []struct {
	name    string
	history []porcupine.Operation
	want    bool
}{
	{
		name:    "recorded, then found by the successor",
		history: []porcupine.Operation{firstTerm, recorded, failover(2, 4, 5, true)},
		want:    true,
	},
	{
		name:    "recorded, then not found",
		history: []porcupine.Operation{firstTerm, recorded, failover(2, 4, 5, false)},
	},
	{
		name:    "found without being recorded",
		history: []porcupine.Operation{firstTerm, failover(2, 4, 5, true)},
	},
	{
		name:    "recorded by a superseded holder",
		history: []porcupine.Operation{firstTerm, failover(2, 2, 3, false), change(recordOperation, 4, 5, completed)},
	},
	{
		name:    "two failovers under one token",
		history: []porcupine.Operation{firstTerm, failover(1, 2, 3, false)},
	},
	{
		name: "record of unknown outcome, then found",
		history: []porcupine.Operation{
			firstTerm,
			change(recordOperation, 2, 99, operationResult{}),
			failover(2, 4, 5, true),
		},
		want: true,
	},
	{
		name: "completion of unknown outcome, then not found",
		history: []porcupine.Operation{
			firstTerm,
			recorded,
			change(completeOperation, 4, 99, operationResult{}),
			failover(2, 6, 7, false),
		},
		want: true,
	},
}

// The checker accepts valid histories and rejects each violation of the specification.
func TestHistoryCheck(t *testing.T) {
	for _, c := range historyCases {
		t.Run(c.name, func(t *testing.T) {
			if got := porcupine.CheckOperations(fencedLog(), c.history); got != c.want {
				t.Errorf("accepted: %v", got)
			}
		})
	}
}
