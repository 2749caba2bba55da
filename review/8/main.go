// Command 8 repeats the submission of a job that runs.
package main

import (
	"errors"
	"time"

	"juniperchute/internal/wire"
	"juniperchute/review/stand2"
)

const lag = 3 * time.Second // by which a state may be late

func main() {
	options := stand2.Dispatch()
	options.Machines = 1
	stand2.Main(options, run)
}

func run(d *stand2.Deployment) error {
	spec := stand2.Replay("job-000001", 1)
	if _, ok := d.Submit(spec, 100*time.Second); !ok {
		return errors.New("the job was not accepted")
	}
	runs := func() bool { return len(d.RunsOn(spec.ID)) == 1 }
	if !d.WaitFor(40*time.Second, "the task runs", runs) {
		return errors.New("the task did not start")
	}
	started := time.Now()
	d.Sleep(2 * lag)
	for _, c := range d.Controllers {
		state, ok := wire.JobState{}, false
		if stand2.Trouble() {
			state, ok = d.Repeat(c, spec)
		} else {
			state, ok = d.AskAny(spec.ID)
		}
		if !ok {
			return errors.New("no answer")
		}
		d.With(func() {
			if state.State == wire.JobPending && runs() {
				d.Violate("%s answers a repeated submission with pending, no task runs; the task of %s has run for %.0f s",
					c.Name, spec.ID, time.Since(started).Seconds())
			}
		})
		d.Sleep(time.Second)
	}
	return nil
}
