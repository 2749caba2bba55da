package controller

import (
	"time"
)

// playFrequentLeaderChanges ends the leader ten times in two minutes, now and then in an outage of the state
// service.
func playFrequentLeaderChanges(s *faultScenario) {
	for i := range 10 {
		s.jobs(1, 5*time.Second, 40*time.Second)
		if i%4 == 2 {
			s.stateOutage(s.randomMillis(4000, 20000))
		}
		s.leaderOrAny().crash(s.randomMillis(50, 3000))
		s.runFor(s.randomMillis(8000, 14000))
		s.cancelSome(0.1)
	}
}

// playRepeatedFailovers ends leaders in quick succession, then all controllers, of which
// one returns first.
func playRepeatedFailovers(s *faultScenario) {
	for range 5 {
		s.jobs(2, 10*time.Second, 60*time.Second)
		s.runFor(s.randomMillis(4000, 8000))
		s.leaderOrAny().crash(s.randomMillis(100, 900))
		s.runFor(s.randomMillis(500, 6000))
		s.leaderOrAny().crash(s.randomMillis(100, 900))
		s.runFor(s.randomMillis(200, 5000))
		first := s.rng.IntN(3)
		for i, n := range s.nodes {
			soon, late := s.randomMillis(100, 900), s.randomMillis(5000, 20000)
			if i == first {
				n.crash(soon)
			} else {
				n.crash(late)
			}
		}
		s.runFor(s.randomMillis(5000, 20000))
	}
}

// playZonePartition cuts a zone off for longer than a lease.
func playZonePartition(s *faultScenario) {
	for i := range 3 {
		s.jobs(4, 20*time.Second, 60*time.Second)
		s.runFor(s.randomMillis(10000, 15000))
		s.isolatedZone = s.zones[i%2]
		s.cancelSome(0.3)
		s.runFor(s.randomMillis(12000, 40000))
		s.isolatedZone = ""
		for _, n := range s.nodes {
			n.reconnectState()
		}
		for _, id := range s.machineNames() {
			s.release(s.machines[id])
		}
	}
}

// playAllControllersDown keeps all controllers away for longer than a lease.
func playAllControllersDown(s *faultScenario) {
	for range 3 {
		s.jobs(4, 20*time.Second, 60*time.Second)
		s.runFor(s.randomMillis(12000, 18000))
		for _, n := range s.nodes {
			n.crash(s.randomMillis(11000, 20000))
		}
		s.runFor(s.randomMillis(20000, 25000))
	}
}

// playLeaderLeftWithWorkers leaves a leader with its workers and users, and cancels jobs through the next.
func playLeaderLeftWithWorkers(s *faultScenario) {
	for range 3 {
		s.jobs(4, 40*time.Second, 120*time.Second)
		s.runFor(s.randomMillis(12000, 18000))
		s.leaveWithWorkers(s.leaderOrAny(), s.randomMillis(10000, 50000))
		for range 5 {
			s.runFor(s.randomMillis(1000, 5000))
			s.cancelSome(0.2)
		}
		s.runFor(s.randomMillis(10000, 30000))
	}
}

// playQuickRestarts restarts the leader and another controller within a fraction of a second.
func playQuickRestarts(s *faultScenario) {
	for range 12 {
		s.jobs(1, 5*time.Second, 40*time.Second)
		s.leaderOrAny().crash(s.randomMillis(20, 300))
		s.runFor(s.randomMillis(20, 900))
		s.nodes[s.rng.IntN(3)].crash(s.randomMillis(20, 300))
		s.cancelSome(0.1)
		s.runFor(s.randomMillis(200, 9000))
	}
}
