package integration

import (
	"fmt"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

const (
	longArrayTasks     = 4500 // so many that the bitmaps of completed tasks fill pages
	longArrayRunTime   = 4 * time.Second
	serviceReplicas    = 3
	submissionInterval = 700 * time.Millisecond
)

// submitLoop is the users: arrays, gangs, and cancellations, until the load is ended.
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

// longArraySpec is an array that lasts for the whole test.
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
		MemGb:             1,
		Image:             "img-long",
		ImageGb:           1,
		AnyType:           true,
		EstimatedRunTimeS: longArrayRunTime.Seconds(),
	}
}

// submitRandom has a user submit an array or a gang, and perhaps cancel it soon.
func (u *upgradeTest) submitRandom() {
	var spec wire.JobSpec
	var runTime, cancelAfter time.Duration
	u.withLock(func() {
		spec = u.randomSpec()
		runTime = time.Duration(2000+u.rng.IntN(8000)) * time.Millisecond
		if u.rng.IntN(5) == 0 {
			cancelAfter = time.Duration(500+u.rng.IntN(8000)) * time.Millisecond
		}
		u.jobs++
	})
	job := u.submit(spec, runTime)
	if cancelAfter > 0 {
		u.sleep(cancelAfter % submissionInterval)
		u.cancel(job)
	}
}

// randomSpec is a small array or gang; the lock is held.
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
		MemGb:             8,
		Image:             fmt.Sprintf("img-%d", u.rng.IntN(4)),
		ImageGb:           1,
		AnyType:           true,
		EstimatedRunTimeS: 5,
	}
	if u.rng.IntN(3) == 0 {
		spec.Class, spec.Shape, spec.Tasks = "model", wire.ShapeGang, 1+u.rng.IntN(3)
		spec.CheckpointIntervalS, spec.CheckpointSaveTimeS = 2, 1
	}
	return spec
}

// useServices plays services, which may be submitted once all have the new version: a
// service runs, a machine of it is lost, the replica comes back, and it is cancelled.
func (u *upgradeTest) useServices() {
	service := u.submit(wire.JobSpec{
		ID:       "job-800000",
		Team:     "red",
		Class:    "portal",
		Shape:    wire.ShapeService,
		Priority: "critical",
		Tasks:    serviceReplicas,
		Vcpus:    1,
		Gpus:     1,
		MemGb:    4,
		Image:    "img-portal",
		ImageGb:  1,
		AnyType:  true,
	}, 0)
	allRun := func() bool { return len(u.runningOn(service)) == serviceReplicas }
	u.waitUntil("a service's replicas", allRun)
	u.withLock(func() { u.cloud.Remove(u.runningOn(service)[0]) })
	u.waitUntil("a lost replica elsewhere", allRun)
	u.cancel(service)
	u.waitUntil("a cancelled service's end", func() bool {
		return len(u.runningOn(service)) == 0 && service.KnownState == wire.JobCancelled
	})
}

// runningOn lists the machines of a job's running tasks; the lock is held.
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
