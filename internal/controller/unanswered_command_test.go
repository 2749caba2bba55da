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

// Guards against a gang that waits for as long as other tasks run on a machine: the start of one of its tasks there was
// lost, and the gang was aborted before the machine reported the task. A late copy of the start must have no effect.
func TestGangRestartsAfterLostStart(t *testing.T) {
	sim := newSimulation(t, 11, testConfig(oneZone, steadyTeams, 4, 18), 1, oneZoneTypes)
	sim.cloud.Available[fakes.CapacityKey(smallType.Name, "a", false)] = 3
	long := trainingArray("job-100", 2, 300)
	long.Vcpus = 7 // one task a machine
	sim.submitJob(long, 300*time.Second)
	sim.runFor(40 * time.Second)
	names := sim.machineNames()
	first, second := sim.machines[names[0]], sim.machines[names[1]]
	first.Faulty, second.Faulty = false, true
	gang := sim.submitJob(trainingGang("job-101", 2, 60), 60*time.Second)
	holder := sim.leaseHolder().controller.terms[0]
	first.inboundBlocked = true
	sim.runUntil("the start is lost", 10*time.Second, func() bool {
		return holder.Workers().Get(first.Host.ID).CommandInFlight
	})
	sim.runUntil("the gang's other task has failed", 10*time.Second, func() bool {
		return holder.Scheduler().OpenJob(gang.Spec.ID).AssignedTasks() == 1
	})
	first.inboundBlocked, second.Faulty = false, false
	sim.runUntil("the gang runs", time.Minute, func() bool { return sim.cluster.KnownToRun(gang) })
	if len(first.Tasks) < 2 || first.Incarnation != 1 {
		t.Errorf("%d tasks and incarnation %d, want the long task beside the gang's and 1",
			len(first.Tasks), first.Incarnation)
	}
	sim.requireNoViolations()
}
