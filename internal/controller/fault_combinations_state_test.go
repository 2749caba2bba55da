package controller

import (
	"time"
)

// playCancellationsBeforeOutage cancels jobs while the state service refuses the leader, then takes the
// service away from all.
func playCancellationsBeforeOutage(s *faultScenario) {
	for range 2 {
		s.jobs(4, 60*time.Second, 150*time.Second)
		s.runFor(25 * time.Second)
		n := s.leaderOrAny()
		s.refuseState(n, s.randomMillis(5000, 14000))
		s.runFor(s.randomMillis(100, 1500))
		s.cancelSome(0.7)
		s.runFor(s.randomMillis(300, 1200))
		s.stateOutage(s.randomMillis(40000, 60000))
		if s.rng.IntN(2) == 0 {
			crashAny := func() { s.nodes[s.rng.IntN(3)].crash(s.randomMillis(100, 900)) }
			s.clock.Schedule(s.randomMillis(2000, 20000), crashAny)
		}
		if s.rng.IntN(3) == 0 {
			n.peersCut = true
			s.clock.Schedule(s.randomMillis(5000, 50000), func() { n.peersCut = false })
		}
		s.runFor(75 * time.Second)
	}
}

// playInstantBootsWithLateWrites has machines boot at once and get work while writes lag.
func playInstantBootsWithLateWrites(s *faultScenario) {
	s.cloud.FastBoot = true
	s.rates.lateWrites, s.rates.slowState = 0.15, 800*time.Millisecond
	for range 6 {
		s.jobs(4, 5*time.Second, 40*time.Second)
		s.runFor(s.randomMillis(500, 6000))
		s.leaderOrAny().crash(s.randomMillis(100, 3000))
		s.runFor(s.randomMillis(6000, 15000))
	}
}

// playLateTransactions has transactions carried out after newer ones.
func playLateTransactions(s *faultScenario) {
	s.rates.lateWrites = 0.2
	playJobsBesideCrashes(s)
}

// playJobsBesideCrashes submits and cancels jobs while the leader crashes now and then.
func playJobsBesideCrashes(s *faultScenario) {
	for range 12 {
		s.jobs(2, 3*time.Second, 20*time.Second)
		s.cancelSome(0.15)
		s.runFor(s.randomMillis(3000, 8000))
		if s.rng.IntN(4) == 0 {
			s.leaderOrAny().crash(s.randomMillis(100, 3000))
		}
	}
}

// playLostTransactionReplies has transactions carried out whose replies are lost.
func playLostTransactionReplies(s *faultScenario) {
	s.rates.lostAnswers, s.rates.burstsOfQueries = 0.3, true
	playJobsBesideCrashes(s)
}

// playSlowThenRefusingStateService slows the state service, then has it refuse the leader, then all.
func playSlowThenRefusingStateService(s *faultScenario) {
	s.rates.burstsOfQueries = true
	for i := range 3 {
		s.rates.slowState = 1200 * time.Millisecond
		s.jobs(4, 30*time.Second, 100*time.Second)
		s.runFor(s.randomMillis(15000, 20000))
		s.rates.slowState = 0
		s.refuseState(s.leaderOrAny(), s.randomMillis(3000, 20000))
		s.cancelSome(0.4)
		s.runFor(s.randomMillis(500, 4000))
		if i%2 == 0 {
			s.stateOutage(s.randomMillis(36000, 50000))
		}
		s.cancelSome(0.4)
		s.runFor(s.randomMillis(20000, 55000))
	}
}
