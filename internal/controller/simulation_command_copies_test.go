package controller

import (
	"time"

	"juniperchute/internal/wire"
)

// simulateRepeatedCommands repeats all executed start commands, while tasks are cancelled, preempted and lost, and
// lease holders and machines are back within a second.
func simulateRepeatedCommands(s *faultScenario) {
	s.cluster.CommandCopyShare = 1
	gang := func(spec *wire.JobSpec) { spec.Shape, spec.Priority = wire.ShapeGang, "critical" }
	flags := []machineFlag{hang, partition, blockInbound}
	for i := range 10 {
		s.submitRandomJobs(2, 5*time.Second, 40*time.Second)
		s.submitRandomJob(gang, s.randomMillis(2000, 20000))
		s.runFor(s.randomMillis(2000, 8000))
		s.applyFaultToShare(0.5, s.randomMillis(50, 1000), flags[i%len(flags)])
		s.cancelRandomJobs(0.2)
		s.runFor(s.randomMillis(0, 1000))
		if i%2 == 0 {
			s.leaseHolderOrAny().crash(s.randomMillis(10, 1000))
		}
		if i%3 == 0 {
			for _, m := range s.randomMachines() { // their tasks move
				s.cloud.Remove(m.Host.ID)
			}
		}
	}
}
