// Command 5 submits a job of many small tasks, of which one machine takes more than its report has room for.
package main

import (
	"errors"
	"time"

	"juniperchute/internal/wire"
	"juniperchute/review/stand2"
)

const (
	tasks   = 2400
	runTime = 25 * time.Second
	patrol  = 85 * time.Second
)

func main() {
	options := stand2.Dispatch()
	options.Machines = 4
	stand2.Main(options, run)
}

func run(d *stand2.Deployment) error {
	spec := stand2.Replay("job-000001", tasks)
	spec.Vcpus, spec.Gpus, spec.MemGB, spec.EstimatedRunTimeS = 0.05, 0, 0.25, runTime.Seconds()
	if !stand2.Trouble() { // the same work in larger pieces
		spec.Tasks, spec.Vcpus, spec.MemGB = tasks/8, 8*spec.Vcpus, 8*spec.MemGB
	}
	job, ok := d.Submit(spec, runTime)
	if !ok {
		return errors.New("the job was not accepted")
	}
	for end := time.Now().Add(patrol); time.Now().Before(end); d.Sleep(5 * time.Second) {
		if state, ok := d.AskAny(spec.ID); ok && state.State == wire.JobDone {
			return nil
		}
	}
	done := 0
	d.With(func() {
		for _, ended := range job.Done {
			if ended {
				done++
			}
		}
		killed := 0
		for _, w := range d.Cluster.Workers {
			killed += int(w.Incarnation) - 1
		}
		d.Logf("%d of %d tasks completed on the workers; %d worker leases ran out", done, spec.Tasks, killed)
		if killed > 0 {
			d.Violate("accepted job %s is not run: %d tasks completed, %d worker leases ran out for lack of reports",
				spec.ID, done, killed)
		}
	})
	return nil
}
