package controller

import (
	"time"

	"juniperchute/internal/wire"
)

// simulateZoneBoundJobsLoseMachines deletes machines while jobs that are bound to one zone run.
func simulateZoneBoundJobsLoseMachines(s *faultScenario) {
	for i := range 6 {
		bindToZone := func(spec *wire.JobSpec) {
			spec.Zone = s.zones[i%2]
			spec.SameZone = i%3 == 0
		}
		s.submitRandomJob(bindToZone, s.randomMillis(10000, 40000))
		s.runFor(s.randomMillis(5000, 10000))
		for _, m := range s.randomMachines() {
			s.cloud.Remove(m.Host.ID)
		}
		if i%3 == 2 {
			s.leaseHolderOrAny().crash(s.randomMillis(100, 2000))
		}
	}
}

// simulateFullTeamsCancelDuringMachineFaults cancels jobs of teams at their limits while
// machines hang or are partitioned.
func simulateFullTeamsCancelDuringMachineFaults(s *faultScenario) {
	for i := range 4 {
		s.submitRandomJobs(5, 30*time.Second, 90*time.Second)
		s.runFor(s.randomMillis(8000, 20000))
		flags := []machineFlag{hang, partition}
		s.applyFaultToShare(0.5, s.randomMillis(4000, 30000), flags[i%2])
		s.cancelRandomJobs(0.6)
		s.runFor(s.randomMillis(0, 1500))
		s.leaseHolderOrAny().crash(s.randomMillis(100, 6000))
		s.submitRandomJobs(3, 10*time.Second, 30*time.Second)
		s.runFor(s.randomMillis(10000, 20000))
	}
}

// simulateOutboundPartition blocks the workers' heartbeats, while direct commands reach the workers.
func simulateOutboundPartition(s *faultScenario) {
	for range 4 {
		s.submitRandomJobs(3, 20*time.Second, 60*time.Second)
		s.runFor(s.randomMillis(8000, 12000))
		s.applyFaultToShare(0.7, s.randomMillis(3000, 30000), blockOutbound)
		s.cancelRandomJobs(0.3)
		s.runFor(s.randomMillis(0, 3000))
		if s.rng.IntN(2) == 0 {
			s.leaseHolderOrAny().crash(s.randomMillis(100, 3000))
		}
		s.runFor(s.randomMillis(8000, 20000))
	}
}

// simulateDelayedCommands delays direct commands and their replies for seconds.
func simulateDelayedCommands(s *faultScenario) {
	s.rates.delayedCommands = 0.3
	criticalGang := func(spec *wire.JobSpec) { spec.Shape, spec.Priority = wire.ShapeGang, "critical" }
	for range 8 {
		s.submitRandomJobs(2, 10*time.Second, 60*time.Second)
		s.submitRandomJob(criticalGang, s.randomMillis(5000, 60000))
		s.runFor(s.randomMillis(3000, 9000))
		s.cancelRandomJobs(0.25)
		if s.rng.IntN(4) == 0 {
			s.leaseHolderOrAny().crash(s.randomMillis(100, 3000))
		}
	}
}

// simulateFailoverWithUnreachableMachines crashes the lease holder while machines with long tasks
// are unreachable.
func simulateFailoverWithUnreachableMachines(s *faultScenario) {
	for i := range 4 {
		s.submitRandomJobs(4, 40*time.Second, 120*time.Second)
		s.runFor(s.randomMillis(10000, 15000))
		flags := []machineFlag{partition, blockInbound, blockOutbound}
		s.applyFaultToShare(0.5, s.randomMillis(5000, 40000), flags[i%3])
		s.leaseHolderOrAny().crash(s.randomMillis(100, 5000))
		s.runFor(s.randomMillis(100, 8000))
		s.cancelRandomJobs(0.4)
		s.runFor(s.randomMillis(10000, 30000))
	}
}

// simulateOldHeartbeatsToNewLeaseHolder delivers copies of old heartbeats to every controller as a
// new term starts.
func simulateOldHeartbeatsToNewLeaseHolder(s *faultScenario) {
	s.rates.heartbeatsToNextLeaseHolder = 0.3
	for range 6 {
		s.submitRandomJobs(3, 15*time.Second, 60*time.Second)
		s.runFor(s.randomMillis(5000, 12000))
		s.cancelRandomJobs(0.2)
		s.applyFaultToShare(0.4, s.randomMillis(2000, 12000), partition)
		s.leaseHolderOrAny().crash(s.randomMillis(100, 3000))
		s.runFor(s.randomMillis(5000, 12000))
	}
}

// simulateReorderedHeartbeats delivers copies of old heartbeats after newer ones, also of earlier
// incarnations or attempts.
func simulateReorderedHeartbeats(s *faultScenario) {
	s.rates.repeatedHeartbeats = 0.3
	for range 8 {
		s.submitRandomJobs(3, 3*time.Second, 30*time.Second)
		s.applyFaultToShare(0.2, s.randomMillis(500, 15000), partition)
		s.cancelRandomJobs(0.1)
		s.runFor(s.randomMillis(4000, 10000))
	}
}

// simulateFullTeamDuringFailover cancels jobs of teams at their limits during a failover while
// machines are unreachable.
func simulateFullTeamDuringFailover(s *faultScenario) {
	for i := range 5 {
		s.submitRandomJobs(5, 30*time.Second, 90*time.Second)
		s.runFor(s.randomMillis(8000, 15000))
		flags := []machineFlag{partition, hang, blockInbound}
		s.applyFaultToShare(0.4, s.randomMillis(3000, 45000), flags[i%3])
		s.leaseHolderOrAny().crash(s.randomMillis(100, 3000))
		s.runFor(s.randomMillis(500, 6000))
		s.cancelRandomJobs(0.4)
		s.submitRandomJobs(2, 5*time.Second, 30*time.Second)
		s.runFor(s.randomMillis(5000, 20000))
	}
}
