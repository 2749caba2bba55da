package controller

import (
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

// playTasksEndAcrossFailover spreads the ends of a job's few tasks over a change of leader.
func playTasksEndAcrossFailover(s *faultScenario) {
	for range 5 {
		fewTasks := func(spec *wire.JobSpec) { spec.Shape, spec.Tasks = wire.ShapeBatch, 2+s.rng.IntN(2) }
		job := s.job(fewTasks, s.randomMillis(3000, 8000))
		s.runFor(s.randomMillis(6000, 9000))
		s.prolongLaterTasks(job)
		s.leaderOrAny().crash(s.randomMillis(100, 5000))
		s.runFor(s.randomMillis(4000, 9000))
	}
}

// prolongLaterTasks lets all running tasks of a job but its first end much later.
func (s *faultScenario) prolongLaterTasks(job *fakes.Job) {
	for _, id := range s.machineNames() {
		for _, task := range s.machines[id].Tasks {
			if task.Job == job && task.Index > 0 && task.State == wire.TaskRunning {
				task.StateEndsAt = s.clock.Now().Add(s.randomMillis(10000, 30000))
			}
		}
	}
}

// playRequestsAtJobEnd sends cancellations, queries and submissions just as jobs end.
func playRequestsAtJobEnd(s *faultScenario) {
	s.rates.cancelAtEnd, s.rates.burstsOfQueries = 0.7, true
	for range 12 {
		s.jobs(2, 2*time.Second, 8*time.Second)
		s.runFor(s.randomMillis(2000, 6000))
	}
}

// playBurstsOfQueries has users query all controllers within milliseconds of each change.
func playBurstsOfQueries(s *faultScenario) {
	s.rates.burstsOfQueries, s.rates.lostAnswers, s.rates.slowState = true, 0.05, 60*time.Millisecond
	for range 15 {
		s.jobs(2, 2*time.Second, 8*time.Second)
		s.cancelSome(0.15)
		s.runFor(s.randomMillis(1000, 5000))
		s.invalidRequest()
	}
}

// playCancellationsDuringFailover cancels jobs again and again during a change of leader.
func playCancellationsDuringFailover(s *faultScenario) {
	for range 5 {
		s.jobs(4, 20*time.Second, 80*time.Second)
		s.runFor(s.randomMillis(8000, 14000))
		s.leaderOrAny().crash(s.randomMillis(100, 6000))
		for range 8 {
			s.cancelSome(0.12)
			s.runFor(s.randomMillis(200, 900))
		}
	}
}

// playOverloadOnSlowLinks submits more work than there is room for, over slow links.
func playOverloadOnSlowLinks(s *faultScenario) {
	s.rates.slowLinks = 1500 * time.Millisecond
	for range 10 {
		s.jobs(4, 5*time.Second, 30*time.Second)
		s.runFor(s.randomMillis(3000, 8000))
		s.cancelSome(0.1)
	}
	s.rates.slowLinks = 0
}

// playHighJobRate submits four one-task jobs a second and cancels a quarter of them.
func playHighJobRate(s *faultScenario) {
	oneTask := func(spec *wire.JobSpec) {
		spec.Shape, spec.Tasks = wire.ShapeBatch, 1
		spec.Gpus, spec.Vcpus = 0, 1
	}
	for range 240 {
		j := s.job(oneTask, s.randomMillis(1000, 5000))
		if s.rng.IntN(4) == 0 {
			s.clock.Schedule(s.randomMillis(0, 4000), func() { s.cancel(j) })
		}
		s.runFor(250 * time.Millisecond)
	}
}
