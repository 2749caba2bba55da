package integration

import (
	"fmt"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

const (
	longArrayTasks     = 4500 // enough that the completion bitmaps fill several pages
	longArrayRunTime   = 4 * time.Second
	serviceReplicas    = 3
	submissionInterval = 700 * time.Millisecond
)

// submitLoop submits arrays and gangs and cancels some, until the load is stopped.
func (u *upgradeTest) submitLoop() {
	defer u.goroutines.Done()
	long := u.submit(longArraySpec("job-900000", longArrayTasks), longArrayRunTime)
	u.withLock(func() { u.longArray = long })
	u.submit(longArraySpec("job-900001", longArrayTasks/3), longArrayRunTime)
	for {
		select {
		case <-u.stopLoad:
			return
		case <-u.ctx.Done():
			return
		case <-time.After(submissionInterval):
			u.submitRandom()
		}
	}
}

// longArraySpec returns an array that runs for the whole test.
func longArraySpec(id string, tasks int) wire.JobSpec {
	return wire.JobSpec{
		ID:                id,
		Team:              "blue",
		Class:             "sweep",
		Shape:             wire.ShapeBatch,
		Priority:          "low",
		Tasks:             tasks,
		Vcpus:             1,
		Gpus:              0,
		MemGB:             1,
		Image:             "img-long",
		ImageGB:           1,
		AnyType:           true,
		EstimatedRunTimeS: longArrayRunTime.Seconds(),
	}
}

// submitRandom submits a random array or gang, and cancels some of them.
func (u *upgradeTest) submitRandom() {
	var spec wire.JobSpec
	var runTime, cancelDelay time.Duration
	u.withLock(func() {
		spec = u.randomSpec()
		runTime = time.Duration(2000+u.rng.IntN(8000)) * time.Millisecond
		if u.rng.IntN(5) == 0 {
			cancelDelay = time.Duration(500+u.rng.IntN(8000)) * time.Millisecond
		}
		u.jobs++
	})
	job := u.submit(spec, runTime)
	if cancelDelay > 0 {
		u.sleep(cancelDelay % submissionInterval)
		u.cancel(job)
	}
}

// randomSpec returns a random small array or gang; the lock must be held.
func (u *upgradeTest) randomSpec() wire.JobSpec {
	spec := wire.JobSpec{
		ID:                fmt.Sprintf("job-%06d", u.jobs),
		Team:              []string{"red", "blue"}[u.rng.IntN(2)],
		Class:             "sweep",
		Shape:             wire.ShapeBatch,
		Priority:          []string{"low", "normal", "high"}[u.rng.IntN(3)],
		Tasks:             1 + u.rng.IntN(6),
		Vcpus:             2,
		Gpus:              1,
		MemGB:             8,
		Image:             fmt.Sprintf("img-%d", u.rng.IntN(4)),
		ImageGB:           1,
		AnyType:           true,
		EstimatedRunTimeS: 5,
	}
	if u.rng.IntN(3) == 0 {
		spec.Class, spec.Shape, spec.Tasks = "model", wire.ShapeGang, 1+u.rng.IntN(3)
		spec.CheckpointIntervalS, spec.CheckpointSaveTimeS = 2, 1
	}
	return spec
}

// exerciseServices runs a service, deletes the machine of a replica, waits for its replacement
// and cancels the service. Services require that all controllers run the new version.
func (u *upgradeTest) exerciseServices() {
	service := u.submit(wire.JobSpec{
		ID:       "job-800000",
		Team:     "red",
		Class:    "portal",
		Shape:    wire.ShapeService,
		Priority: "critical",
		Tasks:    serviceReplicas,
		Vcpus:    1,
		Gpus:     1,
		MemGB:    4,
		Image:    "img-portal",
		ImageGB:  1,
		AnyType:  true,
	}, 0)
	allRunning := func() bool { return len(u.runningOn(service)) == serviceReplicas }
	u.waitUntil("all replicas of the service", allRunning)
	u.withLock(func() { u.cloud.Remove(u.runningOn(service)[0]) })
	u.waitUntil("the replacement of the lost replica", allRunning)
	u.cancel(service)
	u.waitUntil("the end of the cancelled service", func() bool {
		return len(u.runningOn(service)) == 0 && service.KnownState == wire.JobCancelled
	})
}

// runningOn returns the machines of a job's running tasks; the lock must be held.
func (u *upgradeTest) runningOn(job *fakes.Job) (hosts []string) {
	for name, worker := range u.cluster.Workers {
		for _, task := range worker.Tasks {
			if task.Job == job && task.State == wire.TaskRunning {
				hosts = append(hosts, name)
			}
		}
	}
	return hosts
}
