package controller

import (
	"net/http"
	"testing"
	"time"

	"juniperchute/internal/submission"
	"juniperchute/internal/term"
	"juniperchute/internal/wire"
)

// statesAt returns the job's state in the response of each node to a request, "" for a retryable error.
func (sim *simulation) statesAt(r request) map[string]string {
	sim.t.Helper()
	states := map[string]string{}
	for _, n := range sim.nodes {
		sim.sendTo(n, r, func(response submission.Response) {
			if response.Status != http.StatusOK && response.Status != http.StatusServiceUnavailable {
				sim.t.Errorf("%s answers with status %d", n.name, response.Status)
			}
			states[n.name] = jobStateOf(response)
		})
	}
	sim.runFor(4 * time.Second)
	return states
}

// Guards against a running job that is called pending by controllers that do not reach its lease holder, in the
// responses to queries and to repeated submissions.
func TestStateOfRunningJobWithoutPeers(t *testing.T) {
	sim := steadySimulation(t, 6, 2)
	job := sim.submitJob(trainingArray("job-100", 1, 300), 300*time.Second)
	sim.runUntil("the job is known to run", time.Minute, func() bool { return sim.cluster.KnownToRun(job) })
	holder := sim.leaseHolder()
	for _, peersRefuse := range []bool{true, false} {
		for _, n := range sim.nodes {
			n.peersPartitioned = peersRefuse
		}
		for _, r := range []request{sim.query(job.Spec.ID), sim.submission(job.Spec)} {
			states := sim.statesAt(r)
			for _, n := range sim.nodes {
				want := wire.JobRunning
				if peersRefuse && n != holder {
					want = ""
				}
				if got, answered := states[n.name]; !answered || got != want {
					t.Errorf("peers refuse: %t: %s answers %q (%t), want %q", peersRefuse, n.name, got, answered, want)
				}
			}
		}
	}
	sim.requireNoViolations()
}

// Guards against a running job that is called pending during a failover, by a lease holder that has not located
// the job's tasks yet, and against a job that is not answered although it was never started.
func TestJobProgressDuringFailover(t *testing.T) {
	sim := steadySimulation(t, 6, 2)
	running := sim.submitJob(trainingArray("job-100", 1, 300), 300*time.Second)
	waiting := sim.submitJob(trainingGang("job-101", 60, 300), 300*time.Second) // more than the cloud has room for
	sim.runUntil("the job is known to run", time.Minute, func() bool { return sim.cluster.KnownToRun(running) })
	for _, m := range sim.machines {
		m.partitioned = true
	}
	sim.leaseHolder().crash(time.Hour)
	successor := sim.stepUntilTermIn(term.Loading)
	if progress := successor.JobProgress(sim.clock.Now(), running.Spec.ID); progress.Known {
		t.Errorf("loading: %+v, want unknown", progress)
	}
	for successor.State() == term.Loading {
		sim.clock.Step()
	}
	if progress := successor.JobProgress(sim.clock.Now(), running.Spec.ID); progress.Known {
		t.Errorf("fencing: %+v, want unknown", progress)
	}
	if progress := successor.JobProgress(sim.clock.Now(), waiting.Spec.ID); !progress.Known || progress.Running > 0 {
		t.Errorf("fencing, job never started: %+v, want known and none running", progress)
	}
}
