package integration

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"juniperchute/internal/standin"
	"juniperchute/internal/wire"
)

// userPause is the pause between a user's requests.
const userPause = time.Second

// request is one request of a user.
type request func(base string) (status int, body []byte)

func (d *deployment) submission(spec wire.JobSpec) request {
	raw, _ := json.Marshal(standin.SubmissionBody(spec))
	return func(base string) (int, []byte) { return post(d.users, base+"/submissions", raw) }
}

func (d *deployment) query(id string) request {
	return func(base string) (int, []byte) { return get(d.users, base+"/submissions/"+id) }
}

func (d *deployment) cancellation(id string) request {
	return func(base string) (int, []byte) { return post(d.users, base+"/submissions/"+id+"/cancel", nil) }
}

// ask sends a request about a job to some node and records what its user was told.
func (d *deployment) ask(j *standin.Job, r request) {
	before := ""
	d.locked(func() { before = j.Told })
	n := d.nodes[rand.IntN(len(d.nodes))]
	status, body := r("http://" + n.cfg.APIAddr)
	var state wire.JobState
	_ = json.Unmarshal(body, &state)
	d.locked(func() {
		if status == http.StatusOK || status == http.StatusCreated {
			d.cluster.Tell(j, state.State, before)
			return
		}
		d.cluster.Refused(j, before, status)
	})
}

// add has a user submit a job, and ask about it until it has ended.
func (d *deployment) add(spec wire.JobSpec, run time.Duration) *standin.Job {
	j := standin.NewJob(spec, run)
	d.locked(func() { d.cluster.AddJob(j) })
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		d.follow(j)
	}()
	return j
}

// follow is the user of a job.
func (d *deployment) follow(j *standin.Job) {
	submission, query := d.submission(j.Spec), d.query(j.Spec.ID)
	for d.ctx.Err() == nil {
		accepted, ended := false, false
		d.locked(func() { accepted, ended = j.Accepted, j.Ended() })
		switch {
		case ended:
			return
		case accepted:
			d.ask(j, query)
		default:
			d.ask(j, submission)
		}
		d.sleep(userPause)
	}
}

// cancel has the job's user cancel it, again and again until it has ended.
func (d *deployment) cancel(j *standin.Job) {
	d.locked(func() { j.CancelAsked = true })
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		for ended := false; !ended && d.ctx.Err() == nil; {
			d.ask(j, d.cancellation(j.Spec.ID))
			d.locked(func() { ended = j.Ended() })
			d.sleep(userPause)
		}
	}()
}
