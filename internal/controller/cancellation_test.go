package controller

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a start command that is delayed beyond the time in which a cancelled job's tasks
// must have stopped: only a new incarnation of the worker invalidates it, as no stop overtakes it.
func TestCancelledStartInTransit(t *testing.T) {
	sim := steadySimulation(t, 2, 1)
	sim.runFor(40 * time.Second)
	for i := range 3 {
		sim.submitJob(sweepJob(fmt.Sprintf("job-1%02d", i), "high", 1, 200), 200*time.Second)
	}
	sim.runFor(30 * time.Second)
	sim.rates.delayedCommands, sim.rates.commandDelay = 1, 60*time.Second
	gang := sim.submitJob(trainingGang("job-200", 1, 10), 10*time.Second)
	for range 100 {
		if sim.runFor(50 * time.Millisecond); sim.commandsInTransit() > 0 {
			break
		}
	}
	if sim.commandsInTransit() == 0 {
		t.Fatal("no direct command is in transit")
	}
	sim.rates = faultRates{}
	for _, m := range sim.machines {
		if len(m.Tasks) == 0 {
			t.Fatalf("%s has no tasks of other jobs", m.Host.ID)
		}
	}
	sim.cancel(gang)
	sim.runFor(90 * time.Second)
	sim.requireAllJobsEnd()
}

// commandsInTransit returns the number of workers to which the lease holder has sent a direct
// command whose response has not arrived yet.
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
