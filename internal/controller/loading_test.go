package controller

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/term"
	"juniperchute/internal/worker"
)

// loadInOutage crashes the lease holder and makes the state service unavailable as soon as a successor loads,
// until the successor finds a worker unresponsive. It returns the successor once it has read the records.
func loadInOutage(sim *simulation) *term.Term {
	sim.t.Helper()
	sim.leaseHolder().crash(time.Hour)
	successor := sim.stepUntilTermIn(term.Loading)
	sim.state.SetUnavailable(true)
	unresponsive := func(machine *worker.Machine) bool { return machine.State == worker.Unresponsive }
	sim.runUntil("a worker is unresponsive", time.Minute, func() bool {
		return slices.ContainsFunc(successor.Workers().All(), unresponsive)
	})
	sim.state.SetUnavailable(false)
	for successor.State() == term.Loading {
		sim.clock.Step()
	}
	return successor
}

// requireTasksReconciled fails the test if a machine runs more tasks than the term knows of, and the term takes
// the machine for reconciled.
func (sim *simulation) requireTasksReconciled(successor *term.Term) {
	sim.t.Helper()
	for _, name := range sim.machineNames() {
		machine := successor.Workers().Get(name)
		running := 0
		for _, task := range sim.machines[name].Tasks {
			if task.OnMachine() {
				running++
			}
		}
		if machine.State != worker.Unreconciled && machine.AssignedCopies < running {
			sim.t.Errorf("%s is %v with %d tasks, and runs %d", name, machine.State, machine.AssignedCopies, running)
		}
	}
}

// Guards against tasks that start twice after an outage in which a term loads: workers that reported their
// tasks while it loaded, and are unresponsive at the end, still run these tasks.
func TestUnresponsiveWorkersAreReconciledAfterLoading(t *testing.T) {
	for seed := range uint64(4) {
		sim := steadySimulationWith(t, seed, 6, 2)
		sim.submitJob(trainingArray("job-100", 4, 300), 400*time.Second)
		sim.runFor(40 * time.Second) // the other jobs end and leave room
		sim.requireTasksReconciled(loadInOutage(sim))
		sim.runFor(20 * time.Second)
		sim.requireNoViolations()
	}
}

// Guards against a worker's lease that is taken for expired too early: a term that loads renews it with the
// response to a heartbeat under an older token, before it knows the machine.
func TestRenewalWhileLoadingDelaysLeaseExpiry(t *testing.T) {
	sim := steadySimulation(t, 6, 2)
	m := sim.lastMachineWithTaskOf(sim.cluster.Submitted[0])
	heartbeat := m.Heartbeat()
	sim.leaseHolder().crash(time.Hour)
	m.partitioned = true
	successor := sim.stepUntilTermIn(term.Loading)
	renewedAt := sim.clock.Now()
	status := 0
	successor.HandleHeartbeat(renewedAt, heartbeat, func(s int, _ any) { status = s })
	for successor.State() == term.Loading {
		sim.clock.Step()
	}
	machine := successor.Workers().Get(m.Host.ID)
	if status != http.StatusOK || machine.State != worker.Unreconciled || machine.LeaseRenewedAt != renewedAt {
		t.Errorf("status %d, machine %v, lease renewed at %v, want %v", status, machine.State,
			machine.LeaseRenewedAt, renewedAt)
	}
}

// Guards against a superseded term that goes on: a worker of its shard showed a higher token while the term was
// loading and did not know the machine.
func TestHigherTokenWhileLoadingEndsTerm(t *testing.T) {
	sim := steadySimulation(t, 6, 2)
	heartbeat := sim.lastMachineWithTaskOf(sim.cluster.Submitted[0]).Heartbeat()
	sim.leaseHolder().crash(time.Hour)
	successor := sim.stepUntilTermIn(term.Loading)
	heartbeat.Token = successor.Token + 1
	status := 0
	successor.HandleHeartbeat(sim.clock.Now(), heartbeat, func(s int, _ any) { status = s })
	for successor.State() == term.Loading {
		sim.clock.Step()
	}
	if status != http.StatusMisdirectedRequest || successor.State() != term.Ended {
		t.Errorf("status %d, term %v, want status %d and term %v", status, successor.State(),
			http.StatusMisdirectedRequest, term.Ended)
	}
}

// Guards against a second provisioning record of a machine that reports while the records are read: such a
// machine is no orphan.
func TestMachineReportingWhileLoadingIsNoOrphan(t *testing.T) {
	sim := steadySimulation(t, 6, 2)
	loadInOutage(sim)
	sim.runFor(5 * time.Second)
	for key := range sim.state.Keys {
		if strings.Contains(key, "/found-") {
			t.Errorf("record %s of a machine that another record names", key)
		}
	}
}
