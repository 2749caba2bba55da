package controller

import (
	"slices"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fakes"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/quota"
	"juniperchute/internal/submission"
	"juniperchute/internal/term"
	"juniperchute/internal/wire"
)

// maxStepsToFailover is how many steps of the simulated clock a failover takes at most.
const maxStepsToFailover = 100000

// stepUntilTermIn plays until a controller's term is in a state.
func (sim *simulation) stepUntilTermIn(state term.State) *term.Term {
	sim.t.Helper()
	for range maxStepsToFailover {
		sim.clock.Step()
		if t := sim.termInState(state); t != nil {
			return t
		}
	}
	sim.t.Fatal("no successor")
	return nil
}

// A successor is still reading the records when the state service goes: it may not renew
// the lease of a task that was cancelled before its term, as it cannot stop it.
func TestOutageWhileLoading(t *testing.T) {
	for seed := range uint64(4) {
		testOutageWhileLoading(t, 20+seed)
	}
}

func testOutageWhileLoading(t *testing.T, seed uint64) {
	sim := steadySimulationWith(t, seed, 6, 2)
	cancelled := sim.add(trainingArray("job-100", 4, 300), 400*time.Second)
	other := sim.add(trainingArray("job-101", 2, 300), 400*time.Second)
	sim.runFor(40 * time.Second)
	holder := sim.leaseHolder()
	for _, m := range sim.machines {
		m.partitioned = true
	}
	sim.cancel(cancelled)
	sim.runFor(3 * time.Second)
	holder.crash(time.Hour)
	for sim.termInState(term.Loading) == nil {
		sim.clock.Step()
	}
	if cancelled.KnownState != wire.JobCancelled {
		t.Fatalf("reported as %q", cancelled.KnownState)
	}
	sim.state.SetUnavailable(true)
	ofCancelled, ofOthers := sim.renewalsWhileLoading(cancelled)
	if ofCancelled > 0 || ofOthers == 0 {
		t.Errorf("leases renewed of %d tasks that were cancelled and of %d others", ofCancelled, ofOthers)
	}
	for _, id := range sim.machineNames() {
		m := sim.machines[id]
		m.partitioned = false
		sim.release(m)
	}
	sim.runFor(50 * time.Second)
	sim.state.SetUnavailable(false)
	holder.crash(0)
	sim.cancel(other)
	sim.requireAllJobsEnd()
}

// renewalsWhileLoading sends every task's heartbeat to the controllers that are loading, and
// counts the leases that they renew, of the cancelled job's tasks and of others.
func (sim *simulation) renewalsWhileLoading(cancelled *fakes.Job) (ofCancelled, ofOthers int) {
	for _, n := range sim.nodes {
		t := n.controller.terms[0]
		if !n.alive || t == nil || t.State() != term.Loading {
			continue
		}
		for _, id := range sim.machineNames() {
			heartbeat := sim.machines[id].Heartbeat()
			for _, task := range heartbeat.Tasks {
				single := *heartbeat
				single.Tasks = []wire.TaskStatus{task}
				renewed := &ofOthers
				if strings.HasPrefix(task.Name, cancelled.Spec.ID) {
					renewed = &ofCancelled
				}
				t.HandleHeartbeat(sim.clock.Now(), &single, func(status int, _ any) {
					if status == 200 && task.State != wire.TaskExited {
						*renewed++
					}
				})
				heartbeat.Sequence++
			}
		}
	}
	return ofCancelled, ofOthers
}

// A cancellation is passed to a lease holder that is still reading the records, and has
// read the jobs already: it acknowledges it, so it may not take the job up as open.
func TestCancellationReceivedWhileLoading(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	sim.leaseHolder().crash(time.Hour)
	loading := sim.stepUntilTermIn(term.Loading)
	n := sim.nodeOf(loading)
	id, openID := sim.cluster.Submitted[3].Spec.ID, sim.cluster.Submitted[4].Spec.ID
	if _, open := n.controller.openJobs.Get(submission.OpenJobKey(id)); !open {
		t.Fatalf("%s is not open", id)
	}
	r := sim.passCancellation(n, id)
	if !slices.Contains(r.AcknowledgedCancelled, id) {
		t.Fatal("it does not acknowledge the cancellation")
	}
	for loading.State() == term.Loading {
		sim.clock.Step()
	}
	cancelled := loading.Scheduler().OpenJob(id)
	if loading.State() != term.Fencing || cancelled != nil || loading.Scheduler().OpenJob(openID) == nil {
		t.Errorf("%v: the job that was cancelled is open: %v", loading.State(), cancelled != nil)
	}
}

// A cancellation is passed to a lease holder before it has read that the job was
// submitted, as the state service's answers are slow: what it reads then is old.
func TestCancellationReceivedBeforeJobIsRead(t *testing.T) {
	sim := steadySimulation(t, 6, 2)
	n := sim.leaseHolder()
	sim.passCancellation(n, "job-900")
	for _, id := range []string{"job-900", "job-901"} {
		sim.add(sweepJob(id, "normal", 1, 5), 5*time.Second)
	}
	sim.runFor(2 * time.Second)
	shardTerm := n.controller.terms[0]
	cancelled, open := shardTerm.Scheduler().OpenJob("job-900"), shardTerm.Scheduler().OpenJob("job-901")
	if cancelled != nil || open == nil {
		t.Errorf("cancelled and open: %v; another open: %v", cancelled != nil, open != nil)
	}
}

// The resources of unreconciled machines count against a team's limit from the moment at
// which the records are read: a heartbeat, and a start, may come before the next tick.
func TestUnreconciledMachinesCountAtOnce(t *testing.T) {
	teams := []config.Team{{Name: "red", GPUsMax: 12}}
	sim := newSimulation(t, 11, testConfig(oneZone, teams, 1.5, 10), 1, oneZoneTypes)
	sim.cloud.Available[fakes.CapacityKey(smallType.Name, "a", false)] = 4
	sim.add(sweepJob("job-1", "normal", 8, 50), 50*time.Second)
	sim.runFor(25 * time.Second)
	for _, m := range sim.machines {
		m.partitioned = true
	}
	sim.leaseHolder().crash(time.Hour)
	fencing := sim.stepUntilTermIn(term.Fencing)
	all := quota.Resources{GPUs: 12}
	if fencing.Ledger().AdmitsStart("red", all) {
		t.Error("the whole limit may be used, though no machine has been reconciled")
	}
}

// A machine that a successor reconciles for the first time gets the stops for what is
// cancelled with the very answer that renews its lease.
func TestRecoveredCancellation(t *testing.T) {
	sim := steadySimulation(t, 6, 2)
	cancelled := sim.add(trainingArray("job-100", 2, 300), 400*time.Second)
	sim.runFor(40 * time.Second)
	cut := sim.lastMachineWithTaskOf(cancelled)
	cut.partitioned = true
	sim.leaseHolder().crash(time.Hour)
	sim.cancel(cancelled)
	var successor *term.Term
	for range 200 {
		sim.runFor(50 * time.Millisecond)
		if successor = sim.termInState(term.Fencing); successor != nil {
			break
		}
	}
	if successor == nil || cancelled.KnownState != wire.JobCancelled {
		t.Fatalf("no successor, or reported as %q", cancelled.KnownState)
	}
	stopped := false
	successor.HandleHeartbeat(sim.clock.Now(), cut.Heartbeat(), func(status int, body any) {
		for _, command := range body.(wire.HeartbeatResponse).Commands {
			id, _, _ := wire.ParseTaskName(command.Task)
			stopped = stopped || status == 200 && command.Verb == wire.VerbStop && id == cancelled.Spec.ID
		}
	})
	if !stopped {
		t.Error("its lease is renewed, and its task not stopped")
	}
	cut.partitioned = false
	sim.release(cut)
	sim.requireAllJobsEnd()
}

// lastMachineWithTaskOf is the last machine, by name, that has a task of a job.
func (sim *simulation) lastMachineWithTaskOf(job *fakes.Job) *machine {
	var found *machine
	for _, id := range sim.machineNames() {
		for _, task := range sim.machines[id].Tasks {
			if task.Job == job && task.OnMachine() {
				found = sim.machines[id]
			}
		}
	}
	return found
}

// passCancellation has another controller tell a controller of a cancellation.
func (sim *simulation) passCancellation(n *simulatedNode, job string) *peerpb.PeerHeartbeat {
	other := sim.firstNodeExcept(n)
	m := other.controller.newPeerHeartbeat(sim.clock.Now(), n.name)
	m.Cancelled = []string{job}
	return n.controller.HandlePeerHeartbeat(sim.clock.Now(), m)
}

// nodeOf is the controller whose term it is.
func (sim *simulation) nodeOf(t *term.Term) *simulatedNode {
	for _, n := range sim.nodes {
		if n.controller.terms[0] == t {
			return n
		}
	}
	return nil
}
