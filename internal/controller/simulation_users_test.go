package controller

import (
	"fmt"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// request sends a user's request to a node.
type request func(n *simulatedNode, reply func(submission.Response))

// query returns a request for the state of a job.
func (sim *simulation) query(id string) request {
	return func(n *simulatedNode, reply func(submission.Response)) {
		n.controller.Query(sim.clock.Now(), id, reply)
	}
}

// submission returns a request to submit a job.
func (sim *simulation) submission(spec wire.JobSpec) request {
	return func(n *simulatedNode, reply func(submission.Response)) {
		n.controller.Submit(sim.clock.Now(), spec, reply)
	}
}

// cancellation returns a request to cancel a job.
func (sim *simulation) cancellation(id string) request {
	return func(n *simulatedNode, reply func(submission.Response)) {
		n.controller.Cancel(sim.clock.Now(), id, reply)
	}
}

// send sends a user's request to a random node. A node that is down never responds.
func (sim *simulation) send(r request, done func(submission.Response)) {
	sim.sendTo(sim.nodes[sim.rng.IntN(len(sim.nodes))], r, done)
}

// sendTo sends a user's request to a node. The response is lost if the node's process ends first.
func (sim *simulation) sendTo(n *simulatedNode, r request, done func(submission.Response)) {
	sim.clock.Schedule(sim.networkDelay(), func() {
		if !n.alive {
			return
		}
		processNumber := n.processNumber
		n.whenRunning(func() {
			r(n, func(response submission.Response) {
				sim.recordUserResponse(n.name, response)
				if n.alive && n.processNumber == processNumber {
					sim.clock.Schedule(sim.networkDelay(), func() { done(response) })
				}
			})
		})
	})
}

// jobStateOf returns the job's state in a response, or "" if there is none.
func jobStateOf(r submission.Response) string {
	switch b := r.Body.(type) {
	case wire.JobState:
		return b.State
	case wire.JobAccepted:
		return b.State
	}
	return ""
}

// jobBefore is what was known of a job when a request about it was sent.
type jobBefore struct {
	state      string // that the user knew
	knownToRun bool   // see fakes.Cluster.KnownToRun
}

func (sim *simulation) jobBefore(j *fakes.Job) jobBefore {
	return jobBefore{state: j.KnownState, knownToRun: sim.cluster.KnownToRun(j)}
}

// recordResponse records a response with the state of a job. If queryBursts is set, it sends queries when
// the user first learns that the job was accepted or has ended.
func (sim *simulation) recordResponse(j *fakes.Job, state string, before jobBefore) {
	sim.cluster.CheckPendingState(j, state, before.knownToRun)
	if sim.cluster.RecordResponse(j, state, before.state) && sim.rates.queryBursts {
		sim.sendQueryBurst(j)
	}
}

// handleResponse records a response about a job with any status.
func (sim *simulation) handleResponse(j *fakes.Job, before jobBefore, r submission.Response) {
	if r.Status == 200 {
		sim.recordResponse(j, jobStateOf(r), before)
		return
	}
	sim.cluster.RecordFailedRequest(j, before.state, r.Status)
}

// submitJob lets a user submit a job and query its state until the end of the test. Each of its tasks
// runs for runTime.
func (sim *simulation) submitJob(spec wire.JobSpec, runTime time.Duration) *fakes.Job {
	j := fakes.NewJob(spec, runTime)
	sim.cluster.AddJob(j)
	sim.sendSubmission(j)
	sim.clock.Schedule(time.Second, func() { sim.pollJob(j) })
	return j
}

// sendSubmission submits a job and repeats that every 1 s to 3 s until the job is accepted.
func (sim *simulation) sendSubmission(j *fakes.Job) {
	if j.Accepted {
		return
	}
	sim.send(sim.submission(j.Spec), func(r submission.Response) {
		switch r.Status {
		case 200, 201:
			sim.recordResponse(j, jobStateOf(r), jobBefore{})
		case 400, 422:
			sim.cluster.AddViolation(fakes.JobLost, "submission of %s was answered with %d %v",
				j.Spec.ID, r.Status, r.Body)
		}
	})
	if sim.rates.queryBursts { // queries in transit when the job is accepted
		sim.sendQueryBurst(j)
	}
	sim.clock.Schedule(time.Duration(1000+sim.rng.IntN(2000))*time.Millisecond, func() { sim.sendSubmission(j) })
}

// pollJob queries the state of a job every 3 s to 6 s. It adds a violation if an accepted job is
// unknown.
func (sim *simulation) pollJob(j *fakes.Job) {
	before, accepted := sim.jobBefore(j), j.Accepted
	sim.send(sim.query(j.Spec.ID), func(r submission.Response) {
		switch {
		case r.Status == 404 && accepted:
			sim.cluster.AddViolation(fakes.JobLost, "query of accepted job %s was answered with 404", j.Spec.ID)
		case r.Status == 200:
			sim.recordResponse(j, jobStateOf(r), before)
		}
	})
	sim.clock.Schedule(time.Duration(3000+sim.rng.IntN(3000))*time.Millisecond, func() { sim.pollJob(j) })
}

// cancel cancels a job and repeats that every 2 s until the user knows a final state.
func (sim *simulation) cancel(j *fakes.Job) {
	j.CancelRequested = true
	if j.Ended() {
		return
	}
	before := sim.jobBefore(j)
	sim.send(sim.cancellation(j.Spec.ID), func(r submission.Response) {
		if r.Status == 200 {
			sim.recordResponse(j, jobStateOf(r), before)
		}
	})
	sim.clock.Schedule(2*time.Second, func() { sim.cancel(j) })
}

// sendQueryBurst sends three requests about a job to each node within 60 ms: queries, and repeated
// submissions if the user knows a state. At random it also cancels the job.
func (sim *simulation) sendQueryBurst(j *fakes.Job) {
	soon := func() time.Duration { return time.Duration(sim.rng.IntN(60000)) * time.Microsecond }
	for range 3 {
		for _, n := range sim.nodes {
			sim.clock.Schedule(soon(), func() {
				before := sim.jobBefore(j)
				r := sim.query(j.Spec.ID)
				if sim.rng.IntN(3) == 2 && before.state != "" {
					r = sim.submission(j.Spec)
				}
				sim.sendTo(n, r, func(a submission.Response) { sim.handleResponse(j, before, a) })
			})
		}
	}
	if j.Accepted && !j.CancelRequested && sim.rng.IntN(4) == 0 {
		sim.clock.Schedule(soon(), func() { sim.cancel(j) })
	}
}

// jobCompleted may let a user cancel a job as its last task ends, and query and resubmit it within
// 1.5 s.
func (sim *simulation) jobCompleted(j *fakes.Job) {
	if sim.rng.Float64() >= sim.rates.cancelledAtCompletion {
		return
	}
	soon := func() time.Duration { return time.Duration(sim.rng.IntN(1500)) * time.Millisecond }
	sim.clock.Schedule(soon(), func() { sim.cancel(j) })
	for range 4 {
		sim.clock.Schedule(soon(), func() {
			before := sim.jobBefore(j)
			sim.send(sim.query(j.Spec.ID), func(r submission.Response) { sim.handleResponse(j, before, r) })
			sim.send(sim.submission(j.Spec), func(r submission.Response) { sim.handleResponse(j, before, r) })
		})
	}
}

// sendInvalidRequest sends a random request that a controller must reject, or repeats a request. It
// adds a violation if the response has another status than expected, 429 or 503.
func (sim *simulation) sendInvalidRequest() {
	sim.invalidRequests++
	expect := func(request string, status int) func(submission.Response) {
		return func(r submission.Response) {
			if r.Status != 429 && r.Status != 503 && r.Status != status {
				sim.addViolation("%s was answered with %d %v, want %d", request, r.Status, r.Body, status)
			}
		}
	}
	unknown := fmt.Sprintf("job-9%06d", sim.invalidRequests)
	switch sim.rng.IntN(4) {
	case 0:
		sim.send(sim.query(unknown), expect("query of an unknown job", 404))
	case 1:
		sim.send(sim.cancellation(unknown), expect("cancellation of an unknown job", 404))
	case 2:
		sim.send(sim.submission(sim.infeasibleJob(unknown)), expect("submission of an infeasible job", 422))
	case 3:
		sim.repeatRequest()
	}
}

// infeasibleJob returns the specification of a job that no machines can ever run.
func (sim *simulation) infeasibleJob(id string) wire.JobSpec {
	spec := wire.JobSpec{
		ID:       id,
		Team:     "red",
		Class:    "sweep",
		Shape:    wire.ShapeGang,
		Priority: "low",
		Tasks:    1,
		Vcpus:    1,
		Gpus:     1,
		MemGB:    1,
		Image:    "img",
		AnyType:  true,
	}
	switch sim.rng.IntN(4) {
	case 0:
		spec.Team = "nobody"
	case 1:
		spec.MemGB = 1e6
	case 2:
		spec.AnyType = false
	case 3:
		spec.Tasks = 5000
		if sim.cfg.Platform.Teams[0].GPUsMax == 0 {
			spec.Zone = "nowhere"
		}
	}
	return spec
}

// repeatRequest repeats the submission of a random job, and cancels the job if it is done.
func (sim *simulation) repeatRequest() {
	jobs := sim.cluster.Submitted
	if len(jobs) == 0 {
		return
	}
	j := jobs[sim.rng.IntN(len(jobs))]
	if !j.Accepted {
		return
	}
	before := sim.jobBefore(j)
	sim.send(sim.submission(j.Spec), func(r submission.Response) { sim.handleResponse(j, before, r) })
	if before.state == wire.JobDone {
		sim.send(sim.cancellation(j.Spec.ID), func(r submission.Response) { sim.handleResponse(j, before, r) })
	}
}
