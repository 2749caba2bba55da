package intentlog_test

import (
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"juniperchute/internal/intentlog"
)

// Number and length of the histories of TestRandomHistories and TestInjectedFaults.
const (
	randomHistories = 1500
	randomSteps     = 200
)

// run executes a number of random actions and returns the violations.
func run(m *model, steps int) []string {
	for range steps {
		if m.randomAction(); len(m.observed.violations) > 0 {
			return m.observed.violations
		}
	}
	m.finish()
	if len(m.observed.violations) == 0 && !porcupine.CheckOperations(fencedLog(), m.observed.history) {
		m.violation("the history of an entry does not match the specification of a fenced log")
	}
	return m.observed.violations
}

func randomChooser(seed uint64) chooser {
	rng := rand.New(rand.NewPCG(seed, 3))
	return func(_ string, n int) int { return rng.IntN(n) }
}

// Under lost, delayed and duplicated messages and superseded holders, no machine is deleted without a
// pending intent or with work, none with an intent gets work, and every intent is completed.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		m := newModel(choose, noFault)
		if violations := run(m, rapid.IntRange(20, 160).Draw(t, "steps")); len(violations) > 0 {
			t.Fatal(violations[0])
		}
	})
}

// The same properties hold for many longer histories, without the overhead of rapid.
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
		t.Errorf("%d machines deleted in %d histories, want at least one per history", deletions, randomHistories)
	}
}

// The checks detect each injected bug.
func TestInjectedFaults(t *testing.T) {
	for name, fault := range map[string]injectedFault{
		"calls before the entry is durable":        callsBeforeDurable,
		"successor skips recovery":                 skipsRecovery,
		"intents of unknown outcome are forgotten": forgetsUnknown,
		"writes are not conditioned on the term":   writesUnfenced,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(randomHistories) {
				if violations := run(newModel(randomChooser(seed), fault), randomSteps); len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Error("not detected")
		})
	}
}

// A holder of the model completes an intent without faults, so the tests above cover completion.
func TestModelCompletes(t *testing.T) {
	m := newModel(randomChooser(1), noFault)
	holder := m.currentHolder()
	holder.load()
	holder.record("i-0")
	m.finish()
	intent := holder.log.Get(intentlog.Deprovision, "i-0")
	if exists := m.machines["i-0"].exists; len(m.observed.violations) > 0 || exists || intent != nil {
		t.Errorf("%v, machine exists: %v, intent: %v", m.observed.violations, exists, intent)
	}
}
