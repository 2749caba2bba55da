package intentlog_test

import (
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"juniperchute/internal/intentlog"
)

// play has a number of things happen to a model, and tells what was broken.
func play(m *model, steps int) []string {
	for range steps {
		if m.act(); len(m.broken) > 0 {
			return m.broken
		}
	}
	m.finish()
	if len(m.broken) == 0 && !porcupine.CheckOperations(fencedLog(), m.history) {
		m.breaks("the history of an entry is not that of a log with one holder at a time")
	}
	return m.broken
}

// Whatever is lost, late, repeated or unanswered, and whichever replaced holder goes on:
// no machine is deleted that was not entered, whose entry was settled or that has work, none
// that was entered gets work, every entry is completed in the end, and the log's history is
// that of one holder at a time.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }, noFault)
		if broken := play(m, rapid.IntRange(20, 160).Draw(t, "steps")); len(broken) > 0 {
			t.Fatal(broken[0])
		}
	})
}

// The same with plain random numbers, of which more fit into the same time.
func TestRandomHistories(t *testing.T) {
	const histories, steps = 1500, 200
	effects := 0
	for seed := range uint64(histories) {
		m := newModel(random(seed), noFault)
		if broken := play(m, steps); len(broken) > 0 {
			t.Fatalf("seed %d: %s", seed, broken[0])
		}
		for _, machine := range m.machines {
			if !machine.exists {
				effects++
			}
		}
	}
	if effects < histories {
		t.Errorf("%d machines were deleted in %d histories: this tests little", effects, histories)
	}
}

func random(seed uint64) choice {
	rng := rand.New(rand.NewPCG(seed, 3))
	return func(_ string, n int) int { return rng.IntN(n) }
}

// Each planted fault is found.
func TestPlantedFaults(t *testing.T) {
	const histories, steps = 1500, 200
	for name, fault := range map[string]plantedFault{
		"calls before the entry is durable":    sendsEarly,
		"a successor that ignores the log":     ignoresInherited,
		"unanswered calls forgotten":           forgetsUnanswered,
		"writes not conditioned on the tenure": writesUnfenced,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(histories) {
				if broken := play(newModel(random(seed), fault), steps); len(broken) > 0 {
					t.Logf("seed %d: %s", seed, broken[0])
					return
				}
			}
			t.Error("not found")
		})
	}
}

// The check of histories finds each violation of the specification.
func TestHistoryCheck(t *testing.T) {
	op := func(call, back int64, in operation, out outcome) porcupine.Operation {
		return porcupine.Operation{Input: in, Call: call, Output: out, Return: back}
	}
	const host = "i-1"
	begin := op(0, 1, operation{takeOver, 1, host}, outcome{known: true})
	entered := op(2, 3, operation{enter, 1, host}, known)
	for _, c := range []struct {
		name    string
		history []porcupine.Operation
		want    bool
	}{
		{"entered, and found by the successor", []porcupine.Operation{begin, entered, op(4, 5, operation{takeOver, 2, host}, outcome{true, true})}, true},
		{"entered, and not found", []porcupine.Operation{begin, entered, op(4, 5, operation{takeOver, 2, host}, outcome{true, false})}, false},
		{"found, and never entered", []porcupine.Operation{begin, op(4, 5, operation{takeOver, 2, host}, outcome{true, true})}, false},
		{"entered after the takeover", []porcupine.Operation{begin, op(2, 3, operation{takeOver, 2, host}, outcome{true, false}), op(4, 5, operation{enter, 1, host}, known)}, false},
		{"two takeovers under one token", []porcupine.Operation{begin, op(2, 3, operation{takeOver, 1, host}, outcome{true, false})}, false},
		{"perhaps entered, and found", []porcupine.Operation{begin, op(2, 99, operation{enter, 1, host}, outcome{}), op(4, 5, operation{takeOver, 2, host}, outcome{true, true})}, true},
		{"perhaps settled, and not found", []porcupine.Operation{begin, entered, op(4, 99, operation{settle, 1, host}, outcome{}), op(6, 7, operation{takeOver, 2, host}, outcome{true, false})}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := porcupine.CheckOperations(fencedLog(), c.history); got != c.want {
				t.Errorf("accepted: %v", got)
			}
		})
	}
}

// A model's holder sees through a whole action, so that the tests above are known to get
// that far.
func TestModelCompletes(t *testing.T) {
	m := newModel(random(1), noFault)
	h := m.holders[0]
	h.load()
	h.enter("i-0")
	m.finish()
	if len(m.broken) > 0 || m.machines["i-0"].exists || h.log.Get(intentlog.Deprovision, "i-0") != nil {
		t.Errorf("%v, machine there: %v", m.broken, m.machines["i-0"].exists)
	}
}
