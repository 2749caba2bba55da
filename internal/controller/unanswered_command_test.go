package controller

import (
	"testing"
	"time"

	"juniperchute/internal/fakes"
)

// Guards against a machine that gets no work for the rest of its worker's incarnation because a direct command
// got no reply in time: it hung, executed the command late, and runs another task all the while.
func TestMachineGetsWorkAfterUnansweredCommand(t *testing.T) {
	sim := newSimulation(t, 11, testConfig(oneZone, steadyTeams, 1.5, 20), 1, oneZoneTypes)
	sim.cloud.Available[fakes.CapacityKey(smallType.Name, "a", false)] = 1
	sim.submitJob(trainingArray("job-100", 1, 300), 300*time.Second)
	sim.runFor(25 * time.Second)
	m := sim.randomMachine()
	m.Faulty, m.Hung = false, true
	sim.submitJob(trainingGang("job-101", 1, 2), 2*time.Second)
	sim.runFor(9 * time.Second)
	m.Hung = false
	sim.release(m)
	sim.runFor(1500 * time.Millisecond)
	next := sim.submitJob(sweepJob("job-102", "normal", 1, 2), 2*time.Second)
	sim.runUntil("a later job has a task on the machine", 10*time.Second, func() bool {
		return m.FindTask(next, 0, 0) != nil
	})
	if m.Incarnation != 1 {
		t.Errorf("the worker's incarnation is %d, want 1: its lease has expired", m.Incarnation)
	}
}
