package controller

import (
	"crypto/sha256"
	"fmt"
	"testing"
)

// repeatedDays are days of several shards. Days 38 and 18 differed from run to run while heartbeats of a
// machine that two terms knew were routed at random.
var repeatedDays = []struct {
	name string // of a case of randomFaultsCases
	seed int
}{
	{"three shards", 5},
	{"three shards", 38},
	{"intent log, three shards", 6},
	{"intent log, three shards", 18},
}

// TestRandomFaultsRepeat guards against decisions that depend on anything but the seed of a simulated day,
// such as the iteration order of a map: all runs of a day must have the same effects.
func TestRandomFaultsRepeat(t *testing.T) {
	const runs = 3
	for _, day := range repeatedDays {
		t.Run(fmt.Sprintf("%s/%d", day.name, day.seed), func(t *testing.T) {
			t.Parallel()
			first := digestOfDay(t, day.name, day.seed)
			for range runs - 1 {
				if again := digestOfDay(t, day.name, day.seed); again != first {
					t.Fatalf("two runs of the day had %s and %s", first, again)
				}
			}
		})
	}
}

// digestOfDay plays a day of a case of randomFaultsCases and returns the number and the hash of its effects.
func digestOfDay(t *testing.T, name string, seed int) string {
	t.Helper()
	for _, c := range randomFaultsCases {
		if c.name != name {
			continue
		}
		sim := c.newSimulation(t, seed)
		sim.digest = &digest{hash: sha256.New()}
		simulateRandomFaults(sim, c.zones, c.machineTypes)
		return fmt.Sprintf("%d effects with hash %x", sim.digest.effects, sim.digest.hash.Sum(nil))
	}
	t.Fatalf("no case %q", name)
	return ""
}
