package controller

import (
	"fmt"
	"time"

	"juniperchute/internal/standin"
	"juniperchute/internal/term"
	"juniperchute/internal/wire"
)

// faultScenario is what a combination of faults is played with.
type faultScenario struct {
	*simulation
	zones        []string
	machineTypes []wire.MachineType
	n            int // jobs so far
}

// job makes a user submit a random job, changed as a scenario needs it.
func (m *faultScenario) job(change func(s *wire.JobSpec), run time.Duration) *standin.Job {
	s := wire.JobSpec{ID: fmt.Sprintf("job-%06d", m.n), Team: m.cfg.Platform.Teams[m.rng.IntN(len(m.cfg.Platform.Teams))].Name, Class: "sweep",
		Shape: wire.ShapeBatch, Priority: []string{"low", "normal", "high", "critical"}[m.rng.IntN(4)], Tasks: 1 + m.rng.IntN(4),
		Vcpus: 4, Gpus: 1, MemGb: 20, Image: fmt.Sprintf("img-%d", m.rng.IntN(3)), ImageGb: 2, AnyType: true, Spot: m.rng.IntN(2) == 0, EstimatedRunTimeS: run.Seconds()}
	if m.rng.IntN(3) == 0 {
		s.Shape, s.Tasks = wire.ShapeGang, 1+m.rng.IntN(3)
	}
	if m.rng.IntN(6) == 0 {
		s.Class, s.Shape, s.Tasks, s.Gpus, s.Priority, s.EstimatedRunTimeS = "serve", wire.ShapeService, 1+m.rng.IntN(3), 0, "critical", 0
	}
	if change != nil {
		change(&s)
	}
	m.n++
	return m.add(s, run)
}

// jobs makes users submit several random jobs.
func (m *faultScenario) jobs(n int, least, most time.Duration) {
	for range n {
		m.job(nil, least+time.Duration(m.rng.Int64N(int64(most-least)+1)))
	}
}

func (m *faultScenario) ms(least, most int) time.Duration {
	return time.Duration(least+m.rng.IntN(most-least+1)) * time.Millisecond
}

// leader is whoever holds the block or is about to, or any node.
func (m *faultScenario) leader() *simulatedNode {
	for _, n := range m.nodes {
		if t := n.controller.terms[0]; n.alive && t != nil && t.State() != term.Ended && n.controller.membership.LeaseValid(m.clk.Now()) {
			return n
		}
	}
	return m.nodes[m.rng.IntN(len(m.nodes))]
}

// cancelSome has users cancel a part of the jobs that are not over, within a fifth of a
// second.
func (m *faultScenario) cancelSome(share float64) {
	for _, j := range m.cluster.Submitted {
		if j.Accepted && !j.CancelRequested && j.KnownState != wire.JobDone && m.rng.Float64() < share {
			m.clk.Schedule(m.ms(0, 200), func() { m.cancel(j) })
		}
	}
}

// hit does something to a part of the machines for a time.
func (m *faultScenario) hit(share float64, d time.Duration, set machineFlag) {
	var chosen []*machine
	for _, name := range m.hosts() {
		if m.rng.Float64() < share {
			chosen = append(chosen, m.machines[name])
		}
	}
	m.affect(chosen, d, set)
}
