package controller

import (
	"fmt"
	"strings"
	"time"

	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// simulateLeaseHolderIsolation partitions the lease holder from all but its workers. Its lease must
// expire, and the workers must move to its successor.
func simulateLeaseHolderIsolation(sim *simulation) {
	holder := sim.leaseHolder()
	holder.isolate()
	sim.runFor(tuning.MemberLease + time.Second)
	if holder.controller.membership.LeaseValid(sim.clock.Now()) {
		sim.addViolation("the lease of %s is valid after an isolation longer than the lease", holder.name)
	}
	sim.runFor(8 * time.Second)
	if successor := sim.leaseHolder(); successor == nil || successor == holder {
		sim.addViolation("no other controller has an open term")
		return
	}
	for _, id := range sim.machineNames() {
		m := sim.machines[id]
		if sim.nodes[m.Controller] == holder || m.Incarnation != 1 {
			sim.addViolation("%s has not moved to the successor or lost its lease: incarnation %d", id, m.Incarnation)
		}
	}
	holder.reconnect()
}

// simulateCancellationDuringIsolation cancels a job while the lease holder reaches only its workers.
// The rule that tasks of cancelled jobs stop in time is checked after each event.
func simulateCancellationDuringIsolation(sim *simulation) {
	holder := sim.leaseHolder()
	holder.isolate()
	sim.runFor(500 * time.Millisecond)
	sim.cancel(sim.cluster.Submitted[0])
	sim.runFor(50 * time.Second)
	holder.reconnect()
}

// simulateCancellationWithWorkersIsolated cancels a job while the workers reach only an isolated
// lease holder. The cloud is unavailable, so that the successor cannot delete the machines.
func simulateCancellationWithWorkersIsolated(sim *simulation) {
	long := sim.submitJob(trainingGang("job-100", 2, 300), 300*time.Second)
	sim.runFor(20 * time.Second)
	if long.KnownState != wire.JobRunning {
		sim.addViolation("%s is %s, want %s", long.Spec.ID, long.KnownState, wire.JobRunning)
	}
	holder := sim.leaseHolder()
	holder.isolate()
	for _, m := range sim.machines {
		m.onlyNode = holder
	}
	sim.runFor(500 * time.Millisecond)
	sim.cancel(long)
	sim.cloud.Unavailable = true
	sim.runFor(50 * time.Second)
	sim.cloud.Unavailable = false
	for _, m := range sim.machines {
		m.onlyNode = nil
	}
	holder.reconnect()
}

// simulateMachinePartitionDuringFailover partitions a machine as the lease holder crashes. While the
// successor cannot reconcile the machine, it must start the jobs that have no start marker.
func simulateMachinePartitionDuringFailover(sim *simulation) {
	for i := range 30 {
		sim.submitJob(sweepJob(fmt.Sprintf("job-1%02d", i), "low", 4, 5), 5*time.Second)
	}
	sim.runFor(27 * time.Second)
	unreachable := sim.lastMachineWithTask()
	unreachable.partitioned = true
	before := sim.leaseHolder()
	startMarkers := string(sim.state.Keys["b/0/0"].Value)
	before.crash(time.Second)
	started := 0
	for range 9 {
		sim.runFor(time.Second)
		started += sim.startedWhileFencing(before, startMarkers)
	}
	if started == 0 {
		sim.addViolation("no job was started while %s was unreachable", unreachable.Host.ID)
	}
	unreachable.partitioned = false
	sim.release(unreachable)
}

// lastMachineWithTask returns the last machine by name whose first task has not ended, or nil if
// there is none.
func (sim *simulation) lastMachineWithTask() *machine {
	var found *machine
	for _, id := range sim.machineNames() {
		m := sim.machines[id]
		if len(m.Tasks) > 0 && m.Tasks[0].OnMachine() {
			found = m
		}
	}
	return found
}

// startedWhileFencing returns the number of jobs of earlier terms without a start marker that have
// tasks assigned by a term that is fencing.
func (sim *simulation) startedWhileFencing(before *simulatedNode, startMarkers string) int {
	started := 0
	for _, n := range sim.nodes {
		t := n.controller.terms[0]
		if !n.alive || n == before || t == nil || t.State() != term.Fencing {
			continue
		}
		for _, j := range t.Scheduler().OpenJobs() {
			if j.AcceptedBeforeTerm && j.AssignedTasks() > 0 && !strings.Contains(startMarkers, `"`+j.Spec.ID+`"`) {
				started++
			}
		}
	}
	return started
}

// simulateRepeatedFreezes freezes the lease holder's process just before effects of each kind.
func simulateRepeatedFreezes(sim *simulation) {
	durations := []time.Duration{400 * time.Millisecond, 3 * time.Second, 6 * time.Second, 28 * time.Second}
	effects := []effect{commandEffect, deleteEffect, stateEffect, queryEffect, anyEffect}
	for i := range 16 {
		if holder := sim.leaseHolder(); holder != nil {
			holder.freezeFor = durations[i%len(durations)]
			holder.freezeAt = effects[i%len(effects)]
		}
		sim.submitJob(trainingGang(fmt.Sprintf("job-2%02d", i), 2, 8), 8*time.Second)
		sim.runFor(time.Duration(1700+900*(i%5)) * time.Millisecond)
	}
	sim.runFor(30 * time.Second)
}

// simulateQuickRestartsOfAll restarts one controller at a time, and all of them in every fourth
// round, within 100 ms.
func simulateQuickRestartsOfAll(sim *simulation) {
	for i := range 12 {
		for k, n := range sim.nodes {
			if i%4 == 3 || i%3 == k {
				n.crash(time.Duration(20+30*k) * time.Millisecond)
			}
		}
		sim.runFor(time.Duration(400+700*(i%3)) * time.Millisecond)
	}
}

// simulateRestartsDuringElection restarts controllers before a leader can be elected.
func simulateRestartsDuringElection(sim *simulation) {
	for _, n := range sim.nodes {
		n.crash(50 * time.Millisecond)
	}
	for range 8 {
		sim.runFor(120 * time.Millisecond)
		sim.nodes[sim.rng.IntN(len(sim.nodes))].crash(30 * time.Millisecond)
	}
}
