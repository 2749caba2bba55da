package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"juniperchute/review/stand"
)

// submit adds a job with its user.
func (p *play) submit() {
	number := len(p.views) + 1
	job := &stand.Job{ID: fmt.Sprintf("job-%06d", number), Lane: "essaysweep", Shape: "batch",
		Crew: p.settings.Teams[number%len(p.settings.Teams)].Name, Rank: []string{"low", "normal", "high"}[p.rng.IntN(3)],
		Pieces: 1 + p.rng.IntN(5), Vcpus: 4, Gpus: 1, MemGb: 30, Bundle: fmt.Sprintf("img-%d", p.rng.IntN(3)),
		ImageGb: 0.15, GuessS: 20, BookmarkS: float64(p.rng.IntN(2) * 5), StowS: 1,
		RunTime: time.Duration(2+p.rng.IntN(40)) * time.Second}
	switch kind := p.rng.IntN(6); {
	case kind < 2:
		job.Shape, job.Pieces = "gang", 1+p.rng.IntN(3)
	case kind == 2 && os.Getenv("EARLIER") == "":
		job.Shape, job.Pieces, job.GuessS, job.BookmarkS, job.StowS = "standing", 1+p.rng.IntN(3), 0, 0, 0
	}
	switch p.rng.IntN(6) {
	case 0, 1:
		job.Together = true
	case 2, 3:
		job.Apart = job.Pieces > 1
	case 4:
		job.Yard = &p.settings.AllZones[p.rng.IntN(len(p.settings.AllZones))]
	}
	cancelAfter := time.Duration(0)
	if p.rng.IntN(3) == 0 || job.Shape == "standing" {
		cancelAfter = time.Duration(1+p.rng.IntN(40)) * time.Second
	}
	v := &view{job: job}
	p.mu.Lock()
	p.views = append(p.views, v)
	p.mu.Unlock()
	p.Fleet.Upload(job)
	p.users.Go(func() { p.follow(v, cancelAfter) })
}

// follow is a job's user: submits, asks and perhaps cancels, each time at a random controller.
func (p *play) follow(v *view, cancelAfter time.Duration) {
	path := "/submissions/" + v.job.ID
	for began := time.Now(); time.Now().Before(p.stop); {
		p.mu.Lock()
		before := v.state
		cancels := cancelAfter > 0 && time.Since(began) > cancelAfter && before != "" && before != "done" &&
			before != "withdrawn"
		v.asked = v.asked || cancels
		p.mu.Unlock()
		node := p.Nodes[rand.IntN(len(p.Nodes))]
		switch {
		case before == "":
			p.observe(v, before, p.User.Send(node, http.MethodPost, "/submissions", v.job, 5*time.Second))
		case cancels:
			p.observe(v, before, p.User.Send(node, http.MethodPost, path+"/cancel", nil, 5*time.Second))
		default:
			p.observe(v, before, p.User.Poll(node, v.job.ID))
		}
		time.Sleep(time.Duration(300+rand.IntN(900)) * time.Millisecond)
	}
}

// observe checks an answer against what the user knew when the request was sent.
func (p *play) observe(v *view, before string, answer stand.Answer) {
	done, _, _ := p.Fleet.Count(v.job)
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer.Status != http.StatusOK && answer.Status != http.StatusCreated {
		unknown := answer.Status == http.StatusNotFound && before != ""
		if unknown || answer.Status == http.StatusBadRequest || answer.Status == http.StatusUnprocessableEntity {
			p.fail("forgotten: %s: %d after %q", v.job.ID, answer.Status, before)
		}
		return
	}
	switch {
	case (before == "done" || before == "withdrawn") && answer.Stage != before:
		p.fail("went_back: %s: %s after %s", v.job.ID, answer.Stage, before)
	case answer.Stage == "withdrawn" && !v.asked:
		p.fail("went_back: %s: withdrawn, not asked for", v.job.ID)
	case answer.Stage == "done" && done < v.job.Pieces:
		p.fail("not_done: %s: %d of %d", v.job.ID, done, v.job.Pieces)
	}
	if answer.Stage == "withdrawn" && v.cancelledAt.IsZero() {
		v.cancelledAt = time.Now()
	}
	if v.state != "done" && v.state != "withdrawn" {
		v.state = answer.Stage
	}
}

// check checks the rules that hold at all times.
func (p *play) check() {
	cancelTime := time.Duration(p.settings.CancelS * float64(time.Second))
	for {
		time.Sleep(50 * time.Millisecond)
		late := map[*stand.Job]bool{}
		p.mu.Lock()
		for _, v := range p.views {
			late[v.job] = !v.cancelledAt.IsZero() && time.Since(v.cancelledAt) > cancelTime
		}
		p.mu.Unlock()
		used := map[string]float64{}
		p.Fleet.Locked(func() {
			for _, w := range p.Fleet.Workers {
				for _, task := range w.Present() {
					used[task.JobOf().Crew] += task.JobOf().Gpus
					if late[task.JobOf()] {
						p.fail("ran_cancelled: %s on %s", task.Piece, w.Host.ID)
					}
				}
			}
		})
		for _, team := range p.settings.Teams {
			if used[team.Name] > team.GPUsMax {
				p.fail("quota: %s uses %.0f GPUs", team.Name, used[team.Name])
			}
		}
	}
}

// checkPlace checks the place of a task that starts.
func (p *play) checkPlace(w *stand.Worker, task *stand.Task) {
	job, zones := task.JobOf(), map[string]int{}
	for _, other := range p.Fleet.Workers {
		for _, there := range other.Present() {
			if there != task && there.JobOf() == job {
				zones[other.Host.Yard]++
			}
		}
	}
	elsewhere := 0
	for zone, count := range zones {
		if zone != w.Host.Yard {
			elsewhere += count
		}
	}
	switch {
	case job.Yard != nil && *job.Yard != w.Host.Yard, job.Together && elsewhere > 0:
		p.fail("wrong_place: %s in zone %s", task.Piece, w.Host.Yard)
	case job.Apart && zones[w.Host.Yard]+1 > (job.Pieces+1)/2:
		p.fail("wrong_place: %s, with %d others in zone %s", task.Piece, zones[w.Host.Yard], w.Host.Yard)
	}
}
