package controller

import (
	"fmt"
	"strings"
	"time"

	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// playLeaseHolderIsolated leaves the lease holder with its workers only: it stops acting,
// and the workers move to its successor.
func playLeaseHolderIsolated(sim *simulation) {
	holder := sim.leaseHolder()
	holder.isolate()
	sim.runFor(tuning.MemberLease + time.Second)
	if holder.controller.membership.LeaseValid(sim.clock.Now()) {
		sim.addViolation("the old lease holder still decides")
	}
	sim.runFor(8 * time.Second)
	if successor := sim.leaseHolder(); successor == nil || successor == holder {
		sim.addViolation("no successor is open")
		return
	}
	for _, id := range sim.machineNames() {
		m := sim.machines[id]
		if sim.nodes[m.Controller] == holder || m.Incarnation != 1 {
			sim.addViolation("%s has not moved over, incarnation %d", id, m.Incarnation)
		}
	}
	holder.reconnect()
}

// playCancellationBesideIsolatedLeaseHolder cancels a job while the lease holder reaches
// its workers only. That its tasks stop in time is checked after each step.
func playCancellationBesideIsolatedLeaseHolder(sim *simulation) {
	holder := sim.leaseHolder()
	holder.isolate()
	sim.runFor(500 * time.Millisecond)
	sim.cancel(sim.cluster.Submitted[0])
	sim.runFor(50 * time.Second)
	holder.reconnect()
}

// playCancellationWithWorkersIsolated cancels a job while the workers reach an isolated
// lease holder only. The cloud is out, or the successor would delete the machines.
func playCancellationWithWorkersIsolated(sim *simulation) {
	long := sim.add(trainingGang("job-100", 2, 300), 300*time.Second)
	sim.runFor(20 * time.Second)
	if long.KnownState != wire.JobRunning {
		sim.addViolation("%s is %s", long.Spec.ID, long.KnownState)
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

// playMachineCutDuringFailover cuts a machine off as the lease holder crashes: jobs that
// it may run wait, jobs that were never started do not.
func playMachineCutDuringFailover(sim *simulation) {
	for i := range 30 {
		sim.add(sweepJob(fmt.Sprintf("job-1%02d", i), "low", 4, 5), 5*time.Second)
	}
	sim.runFor(27 * time.Second)
	cut := sim.lastMachineWithTask()
	cut.partitioned = true
	before := sim.leaseHolder()
	startMarkers := string(sim.state.Keys["b/0/0"].Value)
	before.crash(time.Second)
	started := 0
	for range 9 {
		sim.runFor(time.Second)
		started += sim.startedWhileFencing(before, startMarkers)
	}
	if started == 0 {
		sim.addViolation("nothing was started while the machine was unreachable")
	}
	cut.partitioned = false
	sim.release(cut)
}

// lastMachineWithTask is the last machine, by name, whose first task is on it.
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

// startedWhileFencing counts the jobs without a start marker that successors have started
// while they are still fencing.
func (sim *simulation) startedWhileFencing(before *simulatedNode, startMarkers string) int {
	started := 0
	for _, n := range sim.nodes {
		t := n.controller.terms[0]
		if !n.alive || n == before || t == nil || t.State() != term.Fencing {
			continue
		}
		for _, j := range t.Scheduler().OpenJobs() {
			if j.FromEarlierTerm && j.AssignedTasks() > 0 && !strings.Contains(startMarkers, `"`+j.Spec.ID+`"`) {
				started++
			}
		}
	}
	return started
}

// playRepeatedFreezes freezes the lease holder in the middle of whatever it does.
func playRepeatedFreezes(sim *simulation) {
	durations := []time.Duration{400 * time.Millisecond, 3 * time.Second, 6 * time.Second, 28 * time.Second}
	effects := []effect{commandEffect, deleteEffect, stateEffect, queryEffect, anyEffect}
	for i := range 16 {
		if holder := sim.leaseHolder(); holder != nil {
			holder.freezeFor = durations[i%len(durations)]
			holder.freezeAt = effects[i%len(effects)]
		}
		sim.add(trainingGang(fmt.Sprintf("job-2%02d", i), 2, 8), 8*time.Second)
		sim.runFor(time.Duration(1700+900*(i%5)) * time.Millisecond)
	}
	sim.runFor(30 * time.Second)
}

// playQuickRestartsOfAll restarts controllers, now and then all of them, within a
// fraction of a second.
func playQuickRestartsOfAll(sim *simulation) {
	for i := range 12 {
		for k, n := range sim.nodes {
			if i%4 == 3 || i%3 == k {
				n.crash(time.Duration(20+30*k) * time.Millisecond)
			}
		}
		sim.runFor(time.Duration(400+700*(i%3)) * time.Millisecond)
	}
}

// playRestartsDuringElection restarts controllers before any election can be over.
func playRestartsDuringElection(sim *simulation) {
	for _, n := range sim.nodes {
		n.crash(50 * time.Millisecond)
	}
	for range 8 {
		sim.runFor(120 * time.Millisecond)
		sim.nodes[sim.rng.IntN(len(sim.nodes))].crash(30 * time.Millisecond)
	}
}
