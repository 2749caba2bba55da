package controller

import (
	"fmt"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/term"
	"juniperchute/internal/wire"
)

// faultScenario provides a fault combination with a simulation and random jobs for it.
type faultScenario struct {
	*simulation
	zones         []string
	machineTypes  []wire.MachineType
	submittedJobs int
}

// priorities lists the priorities of which random jobs draw one.
var priorities = []string{"low", "normal", "high", "critical"}

// submitRandomJob lets a user submit a random job; change, if not nil, adapts its specification. The
// order of the random draws must not change, as a seed determines the whole simulation.
func (s *faultScenario) submitRandomJob(change func(spec *wire.JobSpec), runTime time.Duration) *fakes.Job {
	teams := s.cfg.Platform.Teams
	spec := wire.JobSpec{
		ID:                fmt.Sprintf("job-%06d", s.submittedJobs),
		Team:              teams[s.rng.IntN(len(teams))].Name,
		Class:             "sweep",
		Shape:             wire.ShapeBatch,
		Priority:          priorities[s.rng.IntN(len(priorities))],
		Tasks:             1 + s.rng.IntN(4),
		Vcpus:             4,
		Gpus:              1,
		MemGB:             20,
		Image:             fmt.Sprintf("img-%d", s.rng.IntN(3)),
		ImageGB:           2,
		AnyType:           true,
		Spot:              s.rng.IntN(2) == 0,
		EstimatedRunTimeS: runTime.Seconds(),
	}
	if s.rng.IntN(3) == 0 {
		spec.Shape, spec.Tasks = wire.ShapeGang, 1+s.rng.IntN(3)
	}
	if s.rng.IntN(6) == 0 {
		spec.Class, spec.Shape, spec.Tasks = "serve", wire.ShapeService, 1+s.rng.IntN(3)
		spec.Gpus, spec.Priority, spec.EstimatedRunTimeS = 0, "critical", 0
	}
	if change != nil {
		change(&spec)
	}
	s.submittedJobs++
	return s.submitJob(spec, runTime)
}

// submitRandomJobs submits random jobs whose run times lie between minRunTime and maxRunTime.
func (s *faultScenario) submitRandomJobs(count int, minRunTime, maxRunTime time.Duration) {
	for range count {
		s.submitRandomJob(nil, minRunTime+time.Duration(s.rng.Int64N(int64(maxRunTime-minRunTime)+1)))
	}
}

// randomMillis returns a random duration between two numbers of milliseconds, both included.
func (s *faultScenario) randomMillis(minMillis, maxMillis int) time.Duration {
	return time.Duration(minMillis+s.rng.IntN(maxMillis-minMillis+1)) * time.Millisecond
}

// leaseHolderOrAny returns the controller with the shard's lease, also while its term is not open
// yet. It returns a random controller if there is none.
func (s *faultScenario) leaseHolderOrAny() *simulatedNode {
	for _, n := range s.nodes {
		t := n.controller.terms[0]
		if n.alive && t != nil && t.State() != term.Ended && n.controller.membership.LeaseValid(s.clock.Now()) {
			return n
		}
	}
	return s.nodes[s.rng.IntN(len(s.nodes))]
}

// cancelRandomJobs lets users cancel each job that is not known as done with the given probability,
// within 200 ms.
func (s *faultScenario) cancelRandomJobs(probability float64) {
	for _, j := range s.cluster.Submitted {
		if j.Accepted && !j.CancelRequested && j.KnownState != wire.JobDone && s.rng.Float64() < probability {
			s.clock.Schedule(s.randomMillis(0, 200), func() { s.cancel(j) })
		}
	}
}

// applyFaultToShare applies a fault to each machine with probability share and ends it after d.
func (s *faultScenario) applyFaultToShare(share float64, d time.Duration, set machineFlag) {
	var chosen []*machine
	for _, name := range s.machineNames() {
		if s.rng.Float64() < share {
			chosen = append(chosen, s.machines[name])
		}
	}
	s.applyFault(chosen, d, set)
}
