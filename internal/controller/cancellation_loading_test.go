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

// maxStepsToFailover bounds the clock events for which stepUntilTermIn waits for a term.
const maxStepsToFailover = 100000

// stepUntilTermIn runs clock events one by one until the term of a live controller is in a state,
// and returns that term.
func (sim *simulation) stepUntilTermIn(state term.State) *term.Term {
	sim.t.Helper()
	for range maxStepsToFailover {
		sim.clock.Step()
		if t := sim.termInState(state); t != nil {
			return t
		}
	}
	sim.t.Fatalf("no term is %v after %d events", state, maxStepsToFailover)
	return nil
}

// Guards against a lease holder that renews the worker leases of cancelled tasks if the state
// service becomes unavailable while the term is loading: it cannot stop these tasks yet.
func TestOutageWhileLoading(t *testing.T) {
	for seed := range uint64(4) {
		testOutageWhileLoading(t, 20+seed)
	}
}

func testOutageWhileLoading(t *testing.T, seed uint64) {
	sim := steadySimulationWith(t, seed, 6, 2)
	cancelled := sim.submitJob(trainingArray("job-100", 4, 300), 400*time.Second)
	other := sim.submitJob(trainingArray("job-101", 2, 300), 400*time.Second)
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
		t.Fatalf("the user's last known state of the cancelled job is %q, want %q",
			cancelled.KnownState, wire.JobCancelled)
	}
	sim.state.SetUnavailable(true)
	ofCancelled, ofOthers := sim.renewalsWhileLoading(cancelled)
	if ofCancelled > 0 || ofOthers == 0 {
		t.Errorf("renewed the leases of %d cancelled tasks, want 0, and of %d others, want more than 0",
			ofCancelled, ofOthers)
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

// renewalsWhileLoading sends one heartbeat per task to each term that is loading. It returns the
// numbers of leases that the terms renew for tasks of the cancelled job and for other tasks.
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

// Guards against a lease holder that acknowledges a cancellation while it is loading, and then
// schedules the job from the records that it read before.
func TestCancellationReceivedWhileLoading(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	sim.leaseHolder().crash(time.Hour)
	loading := sim.stepUntilTermIn(term.Loading)
	n := sim.nodeOf(loading)
	id, openID := sim.cluster.Submitted[3].Spec.ID, sim.cluster.Submitted[4].Spec.ID
	if _, open := n.controller.openJobs.Get(submission.OpenJobKey(id)); !open {
		t.Fatalf("%s is not an open job before its cancellation", id)
	}
	r := sim.passCancellation(n, id)
	if !slices.Contains(r.AcknowledgedCancelled, id) {
		t.Fatalf("%s does not acknowledge the cancellation of %s", n.name, id)
	}
	for loading.State() == term.Loading {
		sim.clock.Step()
	}
	cancelled := loading.Scheduler().OpenJob(id)
	if loading.State() != term.Fencing || cancelled != nil || loading.Scheduler().OpenJob(openID) == nil {
		t.Errorf("the term is %v, want %v; the cancelled job is open: %t, want false",
			loading.State(), term.Fencing, cancelled != nil)
	}
}

// Guards against a lease holder that schedules a cancelled job because its watch delivers the job's
// record after a peer has passed the cancellation.
func TestCancellationReceivedBeforeJobIsRead(t *testing.T) {
	sim := steadySimulation(t, 6, 2)
	n := sim.leaseHolder()
	sim.passCancellation(n, "job-900")
	for _, id := range []string{"job-900", "job-901"} {
		sim.submitJob(sweepJob(id, "normal", 1, 5), 5*time.Second)
	}
	sim.runFor(2 * time.Second)
	shardTerm := n.controller.terms[0]
	cancelled, open := shardTerm.Scheduler().OpenJob("job-900"), shardTerm.Scheduler().OpenJob("job-901")
	if cancelled != nil || open == nil {
		t.Errorf("the cancelled job is open: %t, want false; the other job is open: %t, want true",
			cancelled != nil, open != nil)
	}
}

// Guards against starts beyond a team's limit between the loading of the records and the next tick:
// the resources of unreconciled machines count against the limit at once.
func TestUnreconciledMachinesCountAgainstLimitAtOnce(t *testing.T) {
	teams := []config.Team{{Name: "red", GPUsMax: 12}}
	sim := newSimulation(t, 11, testConfig(oneZone, teams, 1.5, 10), 1, oneZoneTypes)
	sim.cloud.Available[fakes.CapacityKey(smallType.Name, "a", false)] = 4
	sim.submitJob(sweepJob("job-1", "normal", 8, 50), 50*time.Second)
	sim.runFor(25 * time.Second)
	for _, m := range sim.machines {
		m.partitioned = true
	}
	sim.leaseHolder().crash(time.Hour)
	fencing := sim.stepUntilTermIn(term.Fencing)
	all := quota.Resources{GPUs: 12}
	if fencing.Ledger().AdmitsStart("red", all) {
		t.Error("the ledger admits the whole limit before any machine has been reconciled")
	}
}

// Guards against a worker lease that is renewed without a stop command for the cancelled tasks: the
// response to a machine's first heartbeat in a term must do both.
func TestStopSentAtFirstReconciliation(t *testing.T) {
	sim := steadySimulation(t, 6, 2)
	cancelled := sim.submitJob(trainingArray("job-100", 2, 300), 400*time.Second)
	sim.runFor(40 * time.Second)
	unreachable := sim.lastMachineWithTaskOf(cancelled)
	unreachable.partitioned = true
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
		t.Fatalf("no term is fencing, or the user's last known state of the cancelled job is %q", cancelled.KnownState)
	}
	stopped := false
	successor.HandleHeartbeat(sim.clock.Now(), unreachable.Heartbeat(), func(status int, body any) {
		for _, command := range body.(wire.HeartbeatResponse).Commands {
			id, _, _ := wire.ParseTaskName(command.Task)
			stopped = stopped || status == 200 && command.Verb == wire.VerbStop && id == cancelled.Spec.ID
		}
	})
	if !stopped {
		t.Errorf("the response to %s has no stop command for %s", unreachable.Host.ID, cancelled.Spec.ID)
	}
	unreachable.partitioned = false
	sim.release(unreachable)
	sim.requireAllJobsEnd()
}

// lastMachineWithTaskOf returns the last machine by name that has a task of the job, or nil if there
// is none.
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

// passCancellation delivers a heartbeat with a cancellation from another controller to n and
// returns the reply of n.
func (sim *simulation) passCancellation(n *simulatedNode, job string) *peerpb.PeerHeartbeat {
	other := sim.firstNodeExcept(n)
	m := other.controller.newPeerHeartbeat(sim.clock.Now(), n.name)
	m.Cancelled = []string{job}
	return n.controller.HandlePeerHeartbeat(sim.clock.Now(), m)
}

// nodeOf returns the controller whose term of the first shard is t, or nil if there is none.
func (sim *simulation) nodeOf(t *term.Term) *simulatedNode {
	for _, n := range sim.nodes {
		if n.controller.terms[0] == t {
			return n
		}
	}
	return nil
}
