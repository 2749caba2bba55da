package controller

import (
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

// simulateTasksEndAcrossFailover lets some tasks of a small job end before a failover and the others
// during or after it.
func simulateTasksEndAcrossFailover(s *faultScenario) {
	for range 5 {
		fewTasks := func(spec *wire.JobSpec) { spec.Shape, spec.Tasks = wire.ShapeBatch, 2+s.rng.IntN(2) }
		job := s.submitRandomJob(fewTasks, s.randomMillis(3000, 8000))
		s.runFor(s.randomMillis(6000, 9000))
		s.prolongLaterTasks(job)
		s.leaseHolderOrAny().crash(s.randomMillis(100, 5000))
		s.runFor(s.randomMillis(4000, 9000))
	}
}

// prolongLaterTasks delays the ends of a job's running tasks, except the task with index 0, by 10 s
// to 30 s.
func (s *faultScenario) prolongLaterTasks(job *fakes.Job) {
	for _, id := range s.machineNames() {
		for _, task := range s.machines[id].Tasks {
			if task.Job == job && task.Index > 0 && task.State == wire.TaskRunning {
				task.StateEndsAt = s.clock.Now().Add(s.randomMillis(10000, 30000))
			}
		}
	}
}

// simulateRequestsAtJobEnd sends cancellations, queries and repeated submissions as jobs end.
func simulateRequestsAtJobEnd(s *faultScenario) {
	s.rates.cancelledAtCompletion, s.rates.queryBursts = 0.7, true
	for range 12 {
		s.submitRandomJobs(2, 2*time.Second, 8*time.Second)
		s.runFor(s.randomMillis(2000, 6000))
	}
}

// simulateQueryBursts lets users query all controllers within milliseconds of each change.
func simulateQueryBursts(s *faultScenario) {
	s.rates.queryBursts, s.rates.lostReplies, s.rates.maxStateDelay = true, 0.05, 60*time.Millisecond
	for range 15 {
		s.submitRandomJobs(2, 2*time.Second, 8*time.Second)
		s.cancelRandomJobs(0.15)
		s.runFor(s.randomMillis(1000, 5000))
		s.sendInvalidRequest()
	}
}

// simulateCancellationsDuringFailover cancels jobs at intervals below a second during a failover.
func simulateCancellationsDuringFailover(s *faultScenario) {
	for range 5 {
		s.submitRandomJobs(4, 20*time.Second, 80*time.Second)
		s.runFor(s.randomMillis(8000, 14000))
		s.leaseHolderOrAny().crash(s.randomMillis(100, 6000))
		for range 8 {
			s.cancelRandomJobs(0.12)
			s.runFor(s.randomMillis(200, 900))
		}
	}
}

// simulateOverloadOnSlowLinks submits more jobs than the machines have capacity for, over slow links.
func simulateOverloadOnSlowLinks(s *faultScenario) {
	s.rates.maxLinkDelay = 1500 * time.Millisecond
	for range 10 {
		s.submitRandomJobs(4, 5*time.Second, 30*time.Second)
		s.runFor(s.randomMillis(3000, 8000))
		s.cancelRandomJobs(0.1)
	}
	s.rates.maxLinkDelay = 0
}

// simulateHighJobRate submits four one-task jobs per second and cancels a quarter of them.
func simulateHighJobRate(s *faultScenario) {
	oneTask := func(spec *wire.JobSpec) {
		spec.Shape, spec.Tasks = wire.ShapeBatch, 1
		spec.Gpus, spec.Vcpus = 0, 1
	}
	for range 240 {
		j := s.submitRandomJob(oneTask, s.randomMillis(1000, 5000))
		if s.rng.IntN(4) == 0 {
			s.clock.Schedule(s.randomMillis(0, 4000), func() { s.cancel(j) })
		}
		s.runFor(250 * time.Millisecond)
	}
}
