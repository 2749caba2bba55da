// Command 5 hangs a machine for some seconds while a gang is started there. Once it goes on, it gets no
// work any more.
package main

import (
	"errors"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
	"juniperchute/review/stand2"
)

const (
	waiting = 90 * time.Second        // that a job may wait, by the rule
	hang    = 9 * time.Second         // within the lease of 18 s
	long    = 115 * time.Second       // run time of the task that keeps the machine in use
	settled = 1500 * time.Millisecond // from the end of the trouble to the job
)

func main() {
	options := stand2.Dispatch()
	options.Platform.Workers = stand2.HuntWorkers()
	options.Machines = 1
	stand2.Main(options, run)
}

func run(d *stand2.Deployment) error {
	array, gang, next := stand2.Replay("job-000001", 1), stand2.Replay("job-000002", 1), stand2.Replay("job-000003", 1)
	gang.Class, gang.Shape, gang.Priority = "rutamadrugada", wire.ShapeGang, "normal"
	if _, ok := d.Submit(array, long); !ok {
		return errors.New("a job was not accepted")
	}
	runs := func(id string) func() bool { return func() bool { return len(d.RunsOn(id)) == 1 } }
	if !d.WaitFor(20*time.Second, "the machine is in use", runs(array.ID)) {
		return errors.New("the first job did not start")
	}
	var machine *fakes.Worker
	d.With(func() {
		for _, machine = range d.Cluster.Workers {
			machine.Hung = stand2.Trouble()
		}
	})
	d.Logf("%s hangs: %v", machine.Host.ID, stand2.Trouble())
	if _, ok := d.Submit(gang, 2*time.Second); !ok {
		return errors.New("a job was not accepted")
	}
	d.Sleep(hang)
	d.With(func() { machine.Hung = false })
	d.Logf("%s goes on", machine.Host.ID)
	d.Sleep(settled)
	if _, ok := d.Submit(next, 2*time.Second); !ok {
		return errors.New("a job was not accepted")
	}
	started := d.WaitFor(waiting+time.Second, "the next job runs", runs(next.ID))
	d.With(func() {
		free := machine.Available()
		d.Logf("%s: session %d, free %+v", machine.Host.ID, machine.Incarnation, free)
		room := free.CPUs >= next.Vcpus && free.GPUs >= next.Gpus && free.MemGB >= next.MemGB
		if !started && room && !machine.Terminated {
			d.Violate("%s has waited for %v while %s has room", next.ID, waiting, machine.Host.ID)
		}
	})
	return nil
}
