package intentlog_test

import (
	"math"

	"github.com/anishathalye/porcupine"
)

// operationKind is what a holder does to one machine's entry.
type operationKind int

const (
	takeOver operationKind = iota // becomes the holder, and learns whether there is an entry
	enter
	settle
)

// operation is the input of an operation on the history of one machine's entry.
type operation struct {
	kind  operationKind
	token uint64
	host  string
}

// outcome is what the holder knows of it.
type outcome struct {
	known   bool // it was carried out
	entered bool // takeOver: there was an entry
}

var known = outcome{known: true}

// entryState is a machine's entry in a log that one holder at a time may change.
type entryState struct {
	token   uint64
	entered bool
}

// record notes an operation; one whose outcome was never learned returns never.
func (m *model) record(host string, call, back int64, in operation, out outcome) {
	m.history = append(m.history, porcupine.Operation{ClientId: int(in.token), Input: in, Call: call, Output: out, Return: back})
}

// closeHistory notes the entries whose outcome their holders never learned.
func (m *model) closeHistory() {
	for _, h := range m.holders {
		for _, o := range h.entering {
			if o.open {
				m.record(o.host, o.at, math.MaxInt64, operation{enter, h.token, o.host}, outcome{})
			}
		}
	}
}

// fencedLog is the specification: entries change under the newest token only, and a
// takeover sees exactly what was entered and not settled before it.
func fencedLog() porcupine.Model {
	spec := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := map[string][]porcupine.Operation{}
			for _, o := range history {
				host := o.Input.(operation).host
				parts[host] = append(parts[host], o)
			}
			var out [][]porcupine.Operation
			for _, p := range parts {
				out = append(out, p)
			}
			return out
		},
		Init: func() []any { return []any{entryState{}} },
		Step: func(state, input, output any) []any {
			return nextStates(state.(entryState), input.(operation), output.(outcome))
		},
	}
	return spec.ToModel()
}

func nextStates(s entryState, in operation, out outcome) []any {
	if in.kind == takeOver {
		if in.token <= s.token || out.entered != s.entered {
			return nil
		}
		return []any{entryState{in.token, s.entered}}
	}
	var next []any
	if !out.known {
		next = append(next, s)
	}
	if in.token == s.token {
		next = append(next, entryState{s.token, in.kind == enter})
	}
	return next
}
