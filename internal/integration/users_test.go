package integration

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"juniperchute/internal/standin"
	"juniperchute/internal/wire"
)

// userInterval is the pause between a user's requests.
const userInterval = time.Second

// sendFunc is one request of a user.
type sendFunc func(base string) (status int, body []byte)

func (d *deployment) submission(spec wire.JobSpec) sendFunc {
	raw, _ := json.Marshal(standin.SubmissionBody(spec))
	return func(base string) (int, []byte) { return httpPost(d.users, base+"/submissions", raw) }
}

func (d *deployment) query(id string) sendFunc {
	return func(base string) (int, []byte) { return httpGet(d.users, base+"/submissions/"+id) }
}

func (d *deployment) cancellation(id string) sendFunc {
	return func(base string) (int, []byte) { return httpPost(d.users, base+"/submissions/"+id+"/cancel", nil) }
}

// sendRequest sends a request about a job to some node and records what its user was told.
func (d *deployment) sendRequest(job *standin.Job, send sendFunc) {
	before := ""
	d.withLock(func() { before = job.KnownState })
	controller := d.controllers[rand.IntN(len(d.controllers))]
	status, body := send("http://" + controller.config.APIAddr)
	var state wire.JobState
	_ = json.Unmarshal(body, &state)
	d.withLock(func() {
		if status == http.StatusOK || status == http.StatusCreated {
			d.cluster.RecordAnswer(job, state.State, before)
			return
		}
		d.cluster.RecordRefusal(job, before, status)
	})
}

// submit has a user submit a job, and ask about it until it has ended.
func (d *deployment) submit(spec wire.JobSpec, run time.Duration) *standin.Job {
	job := standin.NewJob(spec, run)
	d.withLock(func() { d.cluster.AddJob(job) })
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		d.followJob(job)
	}()
	return job
}

// followJob is the user of a job.
func (d *deployment) followJob(job *standin.Job) {
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

// cancel has the job's user cancel it, again and again until it has ended.
func (d *deployment) cancel(job *standin.Job) {
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
