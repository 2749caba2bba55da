package controller

import (
	"fmt"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/term"
	"juniperchute/internal/wire"
)

// faultScenario is what a combination of faults is played with.
type faultScenario struct {
	*simulation
	zones        []string
	machineTypes []wire.MachineType
	jobCount     int // jobs submitted so far
}

// priorities are the priorities that random jobs have.
var priorities = []string{"low", "normal", "high", "critical"}

// job makes a user submit a random job, changed as a scenario needs it. The order of the
// random draws is part of the scenario.
func (s *faultScenario) job(change func(spec *wire.JobSpec), runTime time.Duration) *fakes.Job {
	teams := s.cfg.Platform.Teams
	spec := wire.JobSpec{
		ID:                fmt.Sprintf("job-%06d", s.jobCount),
		Team:              teams[s.rng.IntN(len(teams))].Name,
		Class:             "sweep",
		Shape:             wire.ShapeBatch,
		Priority:          priorities[s.rng.IntN(len(priorities))],
		Tasks:             1 + s.rng.IntN(4),
		Vcpus:             4,
		Gpus:              1,
		MemGb:             20,
		Image:             fmt.Sprintf("img-%d", s.rng.IntN(3)),
		ImageGb:           2,
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
	s.jobCount++
	return s.add(spec, runTime)
}

// jobs makes users submit several random jobs.
func (s *faultScenario) jobs(count int, least, most time.Duration) {
	for range count {
		s.job(nil, least+time.Duration(s.rng.Int64N(int64(most-least)+1)))
	}
}

// randomMillis is a random time from least to most milliseconds.
func (s *faultScenario) randomMillis(least, most int) time.Duration {
	return time.Duration(least+s.rng.IntN(most-least+1)) * time.Millisecond
}

// leaderOrAny is the controller that holds the shard's lease or is taking it over, or
// any controller if there is none.
func (s *faultScenario) leaderOrAny() *simulatedNode {
	for _, n := range s.nodes {
		t := n.controller.terms[0]
		if n.alive && t != nil && t.State() != term.Ended && n.controller.membership.LeaseValid(s.clock.Now()) {
			return n
		}
	}
	return s.nodes[s.rng.IntN(len(s.nodes))]
}

// cancelSome has users cancel a part of the jobs that are not over, within a fifth of a
// second.
func (s *faultScenario) cancelSome(share float64) {
	for _, j := range s.cluster.Submitted {
		if j.Accepted && !j.CancelRequested && j.KnownState != wire.JobDone && s.rng.Float64() < share {
			s.clock.Schedule(s.randomMillis(0, 200), func() { s.cancel(j) })
		}
	}
}

// applyFaultToShare applies a fault to a part of the machines for a time.
func (s *faultScenario) applyFaultToShare(share float64, d time.Duration, set machineFlag) {
	var chosen []*machine
	for _, name := range s.machineNames() {
		if s.rng.Float64() < share {
			chosen = append(chosen, s.machines[name])
		}
	}
	s.applyFault(chosen, d, set)
}
