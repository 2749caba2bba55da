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
	patrol  = 75 * time.Second
	// bystanderTime is the run time of another user's task, longer than a worker's lease.
	bystanderTime = 30 * time.Second
)

func main() {
	options := stand2.Dispatch()
	options.Machines = 4
	stand2.Main(options, run)
}

func run(d *stand2.Deployment) error {
	// Another user's job, which is on one of the machines before.
	bystander := stand2.Replay("job-000002", 1)
	other, ok := d.Submit(bystander, bystanderTime)
	if !ok {
		return errors.New("the first job was not accepted")
	}
	if !d.WaitFor(30*time.Second, "the other user's task runs", func() bool { return len(d.RunsOn(bystander.ID)) == 1 }) {
		return errors.New("the first job did not start")
	}
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
		first, _ := d.AskAny(bystander.ID)
		second, _ := d.AskAny(spec.ID)
		if first.State == wire.JobDone && second.State == wire.JobDone {
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
		d.Logf("%d of %d tasks completed, the other user's: %v; %d worker leases ran out", done, spec.Tasks, other.Done[0],
			killed)
		if killed > 0 {
			d.Violate("accepted jobs do not run: %d tasks of %s completed, %s done %v, %d worker leases ran out for lack "+
				"of reports", done, spec.ID, bystander.ID, other.Done[0], killed)
		}
	})
	return nil
}
