package integration

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

// userInterval is the time between two requests of a user.
const userInterval = time.Second

// sendFunc sends one user request to the controller with a base URL.
type sendFunc func(base string) (status int, body []byte)

// submission returns the request that submits a job.
func (d *deployment) submission(spec wire.JobSpec) sendFunc {
	raw, _ := json.Marshal(fakes.SubmissionBody(spec))
	return func(base string) (int, []byte) { return httpPost(d.users, base+"/submissions", raw) }
}

// query returns the request for the state of a job.
func (d *deployment) query(id string) sendFunc {
	return func(base string) (int, []byte) { return httpGet(d.users, base+"/submissions/"+id) }
}

// cancellation returns the request that cancels a job.
func (d *deployment) cancellation(id string) sendFunc {
	return func(base string) (int, []byte) { return httpPost(d.users, base+"/submissions/"+id+"/cancel", nil) }
}

// sendRequest sends a request about a job to a random controller and records the response.
func (d *deployment) sendRequest(job *fakes.Job, send sendFunc) {
	before := ""
	d.withLock(func() { before = job.KnownState })
	controller := d.controllers[rand.IntN(len(d.controllers))]
	status, body := send("http://" + controller.config.APIAddr)
	var state wire.JobState
	_ = json.Unmarshal(body, &state)
	d.withLock(func() {
		if status == http.StatusOK || status == http.StatusCreated {
			d.cluster.RecordResponse(job, state.State, before)
			return
		}
		d.cluster.RecordFailedRequest(job, before, status)
	})
}

// submit adds a job whose tasks run for runTime, and starts a goroutine that submits the job and
// queries its state until it has ended.
func (d *deployment) submit(spec wire.JobSpec, runTime time.Duration) *fakes.Job {
	job := fakes.NewJob(spec, runTime)
	d.withLock(func() { d.cluster.AddJob(job) })
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		d.followJob(job)
	}()
	return job
}

// followJob submits a job until it is accepted, then queries its state until it has ended.
func (d *deployment) followJob(job *fakes.Job) {
	submission, query := d.submission(job.Spec), d.query(job.Spec.ID)
	for d.ctx.Err() == nil {
		accepted, ended := false, false
		d.withLock(func() { accepted, ended = job.Accepted, job.Ended() })
		switch {
		case ended:
			return
		case accepted:
			d.sendRequest(job, query)
		default:
			d.sendRequest(job, submission)
		}
		d.sleep(userInterval)
	}
}

// cancel starts a goroutine that repeats the cancellation of a job until the job has ended.
func (d *deployment) cancel(job *fakes.Job) {
	d.withLock(func() { job.CancelRequested = true })
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		for ended := false; !ended && d.ctx.Err() == nil; {
			d.sendRequest(job, d.cancellation(job.Spec.ID))
			d.withLock(func() { ended = job.Ended() })
			d.sleep(userInterval)
		}
	}()
}
