package controller

import (
	"time"
)

// simulateCancellationsBeforeOutage cancels jobs while the state service refuses the lease holder,
// and then begins an outage for all controllers.
func simulateCancellationsBeforeOutage(s *faultScenario) {
	for range 2 {
		s.submitRandomJobs(4, 60*time.Second, 150*time.Second)
		s.runFor(25 * time.Second)
		n := s.leaseHolderOrAny()
		s.injectStateRefusal(n, s.randomMillis(5000, 14000))
		s.runFor(s.randomMillis(100, 1500))
		s.cancelRandomJobs(0.7)
		s.runFor(s.randomMillis(300, 1200))
		s.injectStateOutage(s.randomMillis(40000, 60000))
		if s.rng.IntN(2) == 0 {
			crashAny := func() { s.nodes[s.rng.IntN(3)].crash(s.randomMillis(100, 900)) }
			s.clock.Schedule(s.randomMillis(2000, 20000), crashAny)
		}
		if s.rng.IntN(3) == 0 {
			n.peersPartitioned = true
			s.clock.Schedule(s.randomMillis(5000, 50000), func() { n.peersPartitioned = false })
		}
		s.runFor(75 * time.Second)
	}
}

// simulateInstantBootsWithDelayedWrites lets machines boot at once and start tasks while writes are
// delayed and lease holders crash.
func simulateInstantBootsWithDelayedWrites(s *faultScenario) {
	s.cloud.FastBoot = true
	s.rates.delayedWrites, s.rates.maxStateDelay = 0.15, 800*time.Millisecond
	for range 6 {
		s.submitRandomJobs(4, 5*time.Second, 40*time.Second)
		s.runFor(s.randomMillis(500, 6000))
		s.leaseHolderOrAny().crash(s.randomMillis(100, 3000))
		s.runFor(s.randomMillis(6000, 15000))
	}
}

// simulateDelayedTransactions executes transactions after later ones.
func simulateDelayedTransactions(s *faultScenario) {
	s.rates.delayedWrites = 0.2
	simulateJobsDuringCrashes(s)
}

// simulateJobsDuringCrashes submits and cancels jobs while the lease holder crashes at random.
func simulateJobsDuringCrashes(s *faultScenario) {
	for range 12 {
		s.submitRandomJobs(2, 3*time.Second, 20*time.Second)
		s.cancelRandomJobs(0.15)
		s.runFor(s.randomMillis(3000, 8000))
		if s.rng.IntN(4) == 0 {
			s.leaseHolderOrAny().crash(s.randomMillis(100, 3000))
		}
	}
}

// simulateLostTransactionReplies executes transactions whose replies are lost.
func simulateLostTransactionReplies(s *faultScenario) {
	s.rates.lostReplies, s.rates.queryBursts = 0.3, true
	simulateJobsDuringCrashes(s)
}

// simulateSlowThenRefusingStateService delays the state service, then lets it refuse the lease
// holder, and in some rounds begins an outage for all controllers.
func simulateSlowThenRefusingStateService(s *faultScenario) {
	s.rates.queryBursts = true
	for i := range 3 {
		s.rates.maxStateDelay = 1200 * time.Millisecond
		s.submitRandomJobs(4, 30*time.Second, 100*time.Second)
		s.runFor(s.randomMillis(15000, 20000))
		s.rates.maxStateDelay = 0
		s.injectStateRefusal(s.leaseHolderOrAny(), s.randomMillis(3000, 20000))
		s.cancelRandomJobs(0.4)
		s.runFor(s.randomMillis(500, 4000))
		if i%2 == 0 {
			s.injectStateOutage(s.randomMillis(36000, 50000))
		}
		s.cancelRandomJobs(0.4)
		s.runFor(s.randomMillis(20000, 55000))
	}
}
