package controller

import (
	"fmt"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// request is what a user asks of a node.
type request func(n *simulatedNode, reply func(submission.Response))

func (sim *simulation) query(id string) request {
	return func(n *simulatedNode, reply func(submission.Response)) {
		n.controller.Query(sim.clock.Now(), id, reply)
	}
}

func (sim *simulation) submission(spec wire.JobSpec) request {
	return func(n *simulatedNode, reply func(submission.Response)) {
		n.controller.Submit(sim.clock.Now(), spec, reply)
	}
}

func (sim *simulation) cancellation(id string) request {
	return func(n *simulatedNode, reply func(submission.Response)) {
		n.controller.Cancel(sim.clock.Now(), id, reply)
	}
}

// send sends a user's request to some node; no answer comes from a dead one.
func (sim *simulation) send(r request, then func(submission.Response)) {
	sim.sendTo(sim.nodes[sim.rng.IntN(len(sim.nodes))], r, then)
}

func (sim *simulation) sendTo(n *simulatedNode, r request, then func(submission.Response)) {
	sim.clock.Schedule(sim.lag(), func() {
		if !n.alive {
			return
		}
		generation := n.processNumber
		n.whenRunning(func() {
			r(n, func(answer submission.Response) {
				sim.recordUserAnswer(n.name, answer)
				if n.alive && n.processNumber == generation {
					sim.clock.Schedule(sim.lag(), func() { then(answer) })
				}
			})
		})
	})
}

// jobStateOf is the job's state in an answer, "" if there is none.
func jobStateOf(r submission.Response) string {
	switch b := r.Body.(type) {
	case wire.JobState:
		return b.State
	case wire.JobAccepted:
		return b.State
	}
	return ""
}

// recordAnswer records the state of a job that a user got as an answer.
func (sim *simulation) recordAnswer(j *fakes.Job, stage, before string) {
	if sim.cluster.RecordResponse(j, stage, before) && sim.rates.burstsOfQueries {
		sim.burstOfQueries(j)
	}
}

// handleAnswer records an answer about a job. before is the state that the user knew when
// the request was sent.
func (sim *simulation) handleAnswer(j *fakes.Job, before string, r submission.Response) {
	if r.Status == 200 {
		sim.recordAnswer(j, jobStateOf(r), before)
		return
	}
	sim.cluster.RecordFailedRequest(j, before, r.Status)
}

// add makes a user submit a job and ask about it until the end of the test.
func (sim *simulation) add(spec wire.JobSpec, run time.Duration) *fakes.Job {
	j := fakes.NewJob(spec, run)
	sim.cluster.AddJob(j)
	sim.submit(j)
	sim.clock.Schedule(time.Second, func() { sim.poll(j) })
	return j
}

func (sim *simulation) submit(j *fakes.Job) {
	if j.Accepted {
		return
	}
	sim.send(sim.submission(j.Spec), func(r submission.Response) {
		switch r.Status {
		case 200, 201:
			sim.recordAnswer(j, jobStateOf(r), "")
		case 400, 422:
			sim.cluster.AddViolation(fakes.JobLost, "%s answered %d %v", j.Spec.ID, r.Status, r.Body)
		}
	})
	if sim.rates.burstsOfQueries { // questions that are on their way already when it is accepted
		sim.burstOfQueries(j)
	}
	sim.clock.Schedule(time.Duration(1000+sim.rng.IntN(2000))*time.Millisecond, func() { sim.submit(j) })
}

func (sim *simulation) poll(j *fakes.Job) {
	before, accepted := j.KnownState, j.Accepted
	sim.send(sim.query(j.Spec.ID), func(r submission.Response) {
		switch {
		case r.Status == 404 && accepted:
			sim.cluster.AddViolation(fakes.JobLost, "%s answered 404", j.Spec.ID)
		case r.Status == 200:
			sim.recordAnswer(j, jobStateOf(r), before)
		}
	})
	sim.clock.Schedule(time.Duration(3000+sim.rng.IntN(3000))*time.Millisecond, func() { sim.poll(j) })
}

func (sim *simulation) cancel(j *fakes.Job) {
	j.CancelRequested = true
	if j.Ended() {
		return
	}
	before := j.KnownState
	sim.send(sim.cancellation(j.Spec.ID), func(r submission.Response) {
		if r.Status == 200 {
			sim.recordAnswer(j, jobStateOf(r), before)
		}
	})
	sim.clock.Schedule(2*time.Second, func() { sim.cancel(j) })
}

// burstOfQueries asks all nodes about a job, again and again within milliseconds, repeats
// its submission, and now and then its cancellation.
func (sim *simulation) burstOfQueries(j *fakes.Job) {
	soon := func() time.Duration { return time.Duration(sim.rng.IntN(60000)) * time.Microsecond }
	for range 3 {
		for _, n := range sim.nodes {
			sim.clock.Schedule(soon(), func() {
				before := j.KnownState
				r := sim.query(j.Spec.ID)
				if sim.rng.IntN(3) == 2 && before != "" {
					r = sim.submission(j.Spec)
				}
				sim.sendTo(n, r, func(a submission.Response) { sim.handleAnswer(j, before, a) })
			})
		}
	}
	if j.Accepted && !j.CancelRequested && sim.rng.IntN(4) == 0 {
		sim.clock.Schedule(soon(), func() { sim.cancel(j) })
	}
}

// jobCompleted may have a user cancel a job as its last task ends, and ask about it closely.
func (sim *simulation) jobCompleted(j *fakes.Job) {
	if sim.rng.Float64() >= sim.rates.cancelAtEnd {
		return
	}
	soon := func() time.Duration { return time.Duration(sim.rng.IntN(1500)) * time.Millisecond }
	sim.clock.Schedule(soon(), func() { sim.cancel(j) })
	for range 4 {
		sim.clock.Schedule(soon(), func() {
			before := j.KnownState
			sim.send(sim.query(j.Spec.ID), func(r submission.Response) { sim.handleAnswer(j, before, r) })
			sim.send(sim.submission(j.Spec), func(r submission.Response) { sim.handleAnswer(j, before, r) })
		})
	}
}

// invalidRequest makes a request that users should not make, and checks what it gets.
func (sim *simulation) invalidRequest() {
	sim.invalidRequests++
	expect := func(what string, allowed int) func(submission.Response) {
		return func(r submission.Response) {
			if r.Status != 429 && r.Status != 503 && r.Status != allowed {
				sim.addViolation("%s answered %d %v", what, r.Status, r.Body)
			}
		}
	}
	unknown := fmt.Sprintf("job-9%06d", sim.invalidRequests)
	switch sim.rng.IntN(4) {
	case 0:
		sim.send(sim.query(unknown), expect("a query of an unknown job", 404))
	case 1:
		sim.send(sim.cancellation(unknown), expect("a cancellation of an unknown job", 404))
	case 2:
		sim.send(sim.submission(sim.infeasibleJob(unknown)), expect("a job that can never run", 422))
	case 3:
		sim.repeatRequest()
	}
}

// infeasibleJob is a job that can never run.
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
		MemGb:    1,
		Image:    "img",
		AnyType:  true,
	}
	switch sim.rng.IntN(4) {
	case 0:
		spec.Team = "nobody"
	case 1:
		spec.MemGb = 1e6
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

// repeatRequest repeats the submission of some job, and cancels it if it is done.
func (sim *simulation) repeatRequest() {
	jobs := sim.cluster.Submitted
	if len(jobs) == 0 {
		return
	}
	j := jobs[sim.rng.IntN(len(jobs))]
	if !j.Accepted {
		return
	}
	before := j.KnownState
	sim.send(sim.submission(j.Spec), func(r submission.Response) { sim.handleAnswer(j, before, r) })
	if before == wire.JobDone {
		sim.send(sim.cancellation(j.Spec.ID), func(r submission.Response) { sim.handleAnswer(j, before, r) })
	}
}
