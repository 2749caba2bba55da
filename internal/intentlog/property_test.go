package intentlog_test

import (
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"juniperchute/internal/intentlog"
)

// Length and number of the histories drawn with plain random numbers.
const (
	randomHistories = 1500
	randomSteps     = 200
)

// run has a number of things happen to a model, and returns the violations.
func run(m *model, steps int) []string {
	for range steps {
		if m.act(); len(m.observed.violations) > 0 {
			return m.observed.violations
		}
	}
	m.finish()
	if len(m.observed.violations) == 0 && !porcupine.CheckOperations(fencedLog(), m.observed.history) {
		m.violation("the history of an entry is not that of a log with one owner at a time")
	}
	return m.observed.violations
}

func randomChooser(seed uint64) chooser {
	rng := rand.New(rand.NewPCG(seed, 3))
	return func(_ string, n int) int { return rng.IntN(n) }
}

// Whatever is lost, late, repeated or unanswered, and whichever superseded owner goes on: no
// machine is deleted that was not recorded, whose intent was completed or that has work, none
// that was recorded gets work, every intent is completed in the end, and the log's history is
// that of one owner at a time.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		m := newModel(choose, noFault)
		if violations := run(m, rapid.IntRange(20, 160).Draw(t, "steps")); len(violations) > 0 {
			t.Fatal(violations[0])
		}
	})
}

// The same with plain random numbers, of which more fit into the same time.
func TestRandomHistories(t *testing.T) {
	deletions := 0
	for seed := range uint64(randomHistories) {
		m := newModel(randomChooser(seed), noFault)
		if violations := run(m, randomSteps); len(violations) > 0 {
			t.Fatalf("seed %d: %s", seed, violations[0])
		}
		for _, machine := range m.machines {
			if !machine.exists {
				deletions++
			}
		}
	}
	if deletions < randomHistories {
		t.Errorf("%d machines were deleted in %d histories: this tests little", deletions, randomHistories)
	}
}

// Each planted fault is found.
func TestPlantedFaults(t *testing.T) {
	for name, fault := range map[string]plantedFault{
		"calls before the entry is durable":  callsEarly,
		"successor that ignores the log":     ignoresRecovered,
		"unanswered calls forgotten":         forgetsUnanswered,
		"writes not conditioned on the term": writesUnfenced,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(randomHistories) {
				if violations := run(newModel(randomChooser(seed), fault), randomSteps); len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Error("not found")
		})
	}
}

// An owner of the model completes an intent, so that the tests above are known to get that far.
func TestModelCompletes(t *testing.T) {
	m := newModel(randomChooser(1), noFault)
	owner := m.presentOwner()
	owner.load()
	owner.record("i-0")
	m.finish()
	intent := owner.log.Get(intentlog.Deprovision, "i-0")
	if exists := m.machines["i-0"].exists; len(m.observed.violations) > 0 || exists || intent != nil {
		t.Errorf("%v, machine exists: %v, intent: %v", m.observed.violations, exists, intent)
	}
}
