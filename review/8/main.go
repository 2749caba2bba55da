// Command 8 has connections between controllers refused while a job runs, and asks every controller for it.
package main

import (
	"errors"
	"net/http"
	"time"

	"juniperchute/internal/wire"
	"juniperchute/review/stand2"
)

const (
	refused = 30 * time.Second // as long as in the site's days
	lag     = 3 * time.Second  // by which a state may be late
)

func main() {
	options := stand2.Dispatch()
	options.Platform.Workers.HeartbeatS = 4 // the grown site's
	options.Machines = 1
	stand2.Main(options, run)
}

func run(d *stand2.Deployment) error {
	const id = "job-000001"
	if _, ok := d.Submit(stand2.Replay(id, 1), 100*time.Second); !ok {
		return errors.New("the job was not accepted")
	}
	runs := func() bool { return len(d.RunsOn(id)) == 1 }
	if !d.WaitFor(40*time.Second, "the task runs", runs) {
		return errors.New("the task did not start")
	}
	started := time.Now()
	d.Sleep(2 * lag)
	if stand2.Trouble() {
		if err := d.RefusePeers(true); err != nil {
			return err
		}
	}
	for end := time.Now().Add(refused); time.Now().Before(end); d.Sleep(5 * time.Second) {
		for _, c := range d.Controllers {
			status, state := d.Ask(c, id)
			d.With(func() {
				if status == http.StatusOK && state.State == wire.JobPending && runs() {
					d.Violate("%s answers that no task of %s runs (pending); its task has run for %.0f s", c.Name, id,
						time.Since(started).Seconds())
				}
			})
		}
	}
	if stand2.Trouble() {
		return d.RefusePeers(false)
	}
	return nil
}
