package controller

import (
	"time"

	"juniperchute/internal/wire"
)

// playZoneBoundJobsLoseMachines deletes machines under jobs that must stay in one zone.
func playZoneBoundJobsLoseMachines(s *faultScenario) {
	for i := range 6 {
		bindToZone := func(spec *wire.JobSpec) {
			spec.Zone = s.zones[i%2]
			spec.SameZone = i%3 == 0
		}
		s.job(bindToZone, s.randomMillis(10000, 40000))
		s.runFor(s.randomMillis(5000, 10000))
		for _, m := range s.randomMachines() {
			s.cloud.Remove(m.Host.ID)
		}
		if i%3 == 2 {
			s.leaderOrAny().crash(s.randomMillis(100, 2000))
		}
	}
}

// playFullTeamsCancelDuringMachineFaults cancels jobs of teams at their limits while
// machines hang or are cut off.
func playFullTeamsCancelDuringMachineFaults(s *faultScenario) {
	for i := range 4 {
		s.jobs(5, 30*time.Second, 90*time.Second)
		s.runFor(s.randomMillis(8000, 20000))
		flags := []machineFlag{hang, partition}
		s.applyFaultToShare(0.5, s.randomMillis(4000, 30000), flags[i%2])
		s.cancelSome(0.6)
		s.runFor(s.randomMillis(0, 1500))
		s.leaderOrAny().crash(s.randomMillis(100, 6000))
		s.jobs(3, 10*time.Second, 30*time.Second)
		s.runFor(s.randomMillis(10000, 20000))
	}
}

// playWorkersCutOutbound cuts workers off from the controllers, while direct commands reach them.
func playWorkersCutOutbound(s *faultScenario) {
	for range 4 {
		s.jobs(3, 20*time.Second, 60*time.Second)
		s.runFor(s.randomMillis(8000, 12000))
		s.applyFaultToShare(0.7, s.randomMillis(3000, 30000), cutOutbound)
		s.cancelSome(0.3)
		s.runFor(s.randomMillis(0, 3000))
		if s.rng.IntN(2) == 0 {
			s.leaderOrAny().crash(s.randomMillis(100, 3000))
		}
		s.runFor(s.randomMillis(8000, 20000))
	}
}

// playDelayedCommands holds direct commands or their replies up for seconds.
func playDelayedCommands(s *faultScenario) {
	s.rates.delayedCommands = 0.3
	criticalGang := func(spec *wire.JobSpec) { spec.Shape, spec.Priority = wire.ShapeGang, "critical" }
	for range 8 {
		s.jobs(2, 10*time.Second, 60*time.Second)
		s.job(criticalGang, s.randomMillis(5000, 60000))
		s.runFor(s.randomMillis(3000, 9000))
		s.cancelSome(0.25)
		if s.rng.IntN(4) == 0 {
			s.leaderOrAny().crash(s.randomMillis(100, 3000))
		}
	}
}

// playFailoverWithUnreachableMachines ends the leader while machines with long tasks are
// unreachable.
func playFailoverWithUnreachableMachines(s *faultScenario) {
	for i := range 4 {
		s.jobs(4, 40*time.Second, 120*time.Second)
		s.runFor(s.randomMillis(10000, 15000))
		flags := []machineFlag{partition, cutInbound, cutOutbound}
		s.applyFaultToShare(0.5, s.randomMillis(5000, 40000), flags[i%3])
		s.leaderOrAny().crash(s.randomMillis(100, 5000))
		s.runFor(s.randomMillis(100, 8000))
		s.cancelSome(0.4)
		s.runFor(s.randomMillis(10000, 30000))
	}
}

// playOldHeartbeatsToNewLeader delivers copies of old heartbeats to every controller as a
// new leader starts.
func playOldHeartbeatsToNewLeader(s *faultScenario) {
	s.rates.heartbeatsToNextLeaseHolder = 0.3
	for range 6 {
		s.jobs(3, 15*time.Second, 60*time.Second)
		s.runFor(s.randomMillis(5000, 12000))
		s.cancelSome(0.2)
		s.applyFaultToShare(0.4, s.randomMillis(2000, 12000), partition)
		s.leaderOrAny().crash(s.randomMillis(100, 3000))
		s.runFor(s.randomMillis(5000, 12000))
	}
}

// playReorderedHeartbeats delivers old heartbeats after newer ones, also of an earlier
// incarnation or attempt.
func playReorderedHeartbeats(s *faultScenario) {
	s.rates.lateHeartbeats = 0.3
	for range 8 {
		s.jobs(3, 3*time.Second, 30*time.Second)
		s.applyFaultToShare(0.2, s.randomMillis(500, 15000), partition)
		s.cancelSome(0.1)
		s.runFor(s.randomMillis(4000, 10000))
	}
}

// playFullTeamDuringFailover cancels jobs of teams at their limits during a change of
// leader with machines unreachable.
func playFullTeamDuringFailover(s *faultScenario) {
	for i := range 5 {
		s.jobs(5, 30*time.Second, 90*time.Second)
		s.runFor(s.randomMillis(8000, 15000))
		flags := []machineFlag{partition, hang, cutInbound}
		s.applyFaultToShare(0.4, s.randomMillis(3000, 45000), flags[i%3])
		s.leaderOrAny().crash(s.randomMillis(100, 3000))
		s.runFor(s.randomMillis(500, 6000))
		s.cancelSome(0.4)
		s.jobs(2, 5*time.Second, 30*time.Second)
		s.runFor(s.randomMillis(5000, 20000))
	}
}
