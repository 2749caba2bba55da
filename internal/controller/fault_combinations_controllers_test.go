package controller

import (
	"time"
)

// simulateFrequentFailovers crashes the lease holder ten times in about two minutes, twice during
// an outage of the state service.
func simulateFrequentFailovers(s *faultScenario) {
	for i := range 10 {
		s.submitRandomJobs(1, 5*time.Second, 40*time.Second)
		if i%4 == 2 {
			s.injectStateOutage(s.randomMillis(4000, 20000))
		}
		s.leaseHolderOrAny().crash(s.randomMillis(50, 3000))
		s.runFor(s.randomMillis(8000, 14000))
		s.cancelRandomJobs(0.1)
	}
}

// simulateRepeatedFailovers crashes two lease holders in quick succession and then all controllers,
// one of which restarts before the others.
func simulateRepeatedFailovers(s *faultScenario) {
	for range 5 {
		s.submitRandomJobs(2, 10*time.Second, 60*time.Second)
		s.runFor(s.randomMillis(4000, 8000))
		s.leaseHolderOrAny().crash(s.randomMillis(100, 900))
		s.runFor(s.randomMillis(500, 6000))
		s.leaseHolderOrAny().crash(s.randomMillis(100, 900))
		s.runFor(s.randomMillis(200, 5000))
		first := s.rng.IntN(3)
		for i, n := range s.nodes {
			shortDelay, longDelay := s.randomMillis(100, 900), s.randomMillis(5000, 20000)
			if i == first {
				n.crash(shortDelay)
			} else {
				n.crash(longDelay)
			}
		}
		s.runFor(s.randomMillis(5000, 20000))
	}
}

// simulateZonePartition partitions one zone from the rest for longer than a worker lease.
func simulateZonePartition(s *faultScenario) {
	for i := range 3 {
		s.submitRandomJobs(4, 20*time.Second, 60*time.Second)
		s.runFor(s.randomMillis(10000, 15000))
		s.isolatedZone = s.zones[i%2]
		s.cancelRandomJobs(0.3)
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

// simulateAllControllersDown stops all controllers for longer than a worker lease.
func simulateAllControllersDown(s *faultScenario) {
	for range 3 {
		s.submitRandomJobs(4, 20*time.Second, 60*time.Second)
		s.runFor(s.randomMillis(12000, 18000))
		for _, n := range s.nodes {
			n.crash(s.randomMillis(11000, 20000))
		}
		s.runFor(s.randomMillis(20000, 25000))
	}
}

// simulateLeaseHolderIsolations partitions the lease holder from the state service and its peers,
// and cancels jobs through its successor.
func simulateLeaseHolderIsolations(s *faultScenario) {
	for range 3 {
		s.submitRandomJobs(4, 40*time.Second, 120*time.Second)
		s.runFor(s.randomMillis(12000, 18000))
		s.isolateFor(s.leaseHolderOrAny(), s.randomMillis(10000, 50000))
		for range 5 {
			s.runFor(s.randomMillis(1000, 5000))
			s.cancelRandomJobs(0.2)
		}
		s.runFor(s.randomMillis(10000, 30000))
	}
}

// simulateQuickRestarts restarts the lease holder, and then a random controller, within 300 ms each.
func simulateQuickRestarts(s *faultScenario) {
	for range 12 {
		s.submitRandomJobs(1, 5*time.Second, 40*time.Second)
		s.leaseHolderOrAny().crash(s.randomMillis(20, 300))
		s.runFor(s.randomMillis(20, 900))
		s.nodes[s.rng.IntN(3)].crash(s.randomMillis(20, 300))
		s.cancelRandomJobs(0.1)
		s.runFor(s.randomMillis(200, 9000))
	}
}
