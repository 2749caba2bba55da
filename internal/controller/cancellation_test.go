package controller

import (
	"fmt"
	"testing"
	"time"
)

// A direct command with a start is held up on its way for longer than a cancelled job's
// tasks have, on machines that others' work keeps busy. A stop cannot overtake it: only
// the end of the machine's incarnation voids it.
func TestCancelledStartInTransit(t *testing.T) {
	sim := steadySimulation(t, 2, 1)
	sim.runFor(40 * time.Second)
	for i := range 3 {
		sim.add(sweepJob(fmt.Sprintf("job-1%02d", i), "high", 1, 200), 200*time.Second)
	}
	sim.runFor(30 * time.Second)
	sim.rates.delayedCommands, sim.rates.commandDelay = 1, 60*time.Second
	gang := sim.add(trainingGang("job-200", 1, 10), 10*time.Second)
	for range 100 {
		if sim.runFor(50 * time.Millisecond); sim.commandsInTransit() > 0 {
			break
		}
	}
	if sim.commandsInTransit() == 0 {
		t.Fatal("no direct command is on its way")
	}
	sim.rates = faultRates{}
	for _, m := range sim.machines {
		if len(m.Tasks) == 0 {
			t.Fatalf("%s has no other work", m.Host.ID)
		}
	}
	sim.cancel(gang)
	sim.runFor(90 * time.Second)
	sim.requireAllJobsEnd()
}

// commandsInTransit is how many workers have a direct command of the lease holder under way.
func (sim *simulation) commandsInTransit() int {
	count := 0
	shardTerm := sim.leaseHolder().controller.terms[0]
	for _, w := range shardTerm.Workers().All() {
		if w.CommandInFlight {
			count++
		}
	}
	return count
}
