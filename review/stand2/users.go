package stand2

import (
	"encoding/json"
	"net/http"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

// Times of users, by the protocol.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	retryInterval = 1 * time.Second
)

// Submit submits a job, whose tasks run for runTime, until it is accepted. It reports whether that was so
// within 60 s.
func (d *Deployment) Submit(spec wire.JobSpec, runTime time.Duration) (*fakes.Job, bool) {
	job := fakes.NewJob(spec, runTime)
	d.With(func() { d.Cluster.AddJob(job) })
	raw, _ := json.Marshal(fakes.SubmissionBody(spec))
	client := &http.Client{Timeout: submitTimeout}
	for n, end := 0, time.Now().Add(60*time.Second); time.Now().Before(end); n++ {
		c := d.Controllers[n%len(d.Controllers)]
		if !c.Cut.Closed() && c.command != nil {
			status, body := post(client, "http://"+c.Config.APIAddr+"/submissions", raw)
			d.Logf("user -> %s: POST /submissions %.120s: %d %s", c.Name, raw, status, body)
			if status == http.StatusCreated || status == http.StatusOK {
				d.With(func() { job.Accepted = true })
				return job, true
			}
		}
		time.Sleep(retryInterval)
	}
	return job, false
}

// Ask asks a controller for a job's state. Status 0 means that there was no answer.
func (d *Deployment) Ask(c *Controller, id string) (status int, state wire.JobState) {
	client := &http.Client{Timeout: pollTimeout}
	status, body := get(client, "http://"+c.Config.APIAddr+"/submissions/"+id)
	_ = json.Unmarshal(body, &state)
	d.Logf("user -> %s: GET /submissions/%s: %d %s", c.Name, id, status, body)
	return status, state
}

// AskAny asks one controller after the other until one answers 200.
func (d *Deployment) AskAny(id string) (state wire.JobState, ok bool) {
	for _, c := range d.Controllers {
		if c.Cut.Closed() || c.command == nil {
			continue
		}
		if status, state := d.Ask(c, id); status == http.StatusOK {
			return state, true
		}
	}
	return wire.JobState{}, false
}

// Repeat repeats the submission of an accepted job at a controller. ok is false without an answer of 200.
func (d *Deployment) Repeat(c *Controller, spec wire.JobSpec) (state wire.JobState, ok bool) {
	raw, _ := json.Marshal(fakes.SubmissionBody(spec))
	client := &http.Client{Timeout: submitTimeout}
	status, body := post(client, "http://"+c.Config.APIAddr+"/submissions", raw)
	_ = json.Unmarshal(body, &state)
	d.Logf("user -> %s: POST /submissions %s, repeated: %d %s", c.Name, spec.ID, status, body)
	return state, status == http.StatusOK
}
