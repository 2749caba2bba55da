package controller

import (
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/standin"
	"juniperchute/internal/wire"
)

// TestFaultCombinations plays combinations of faults, each on a few seeds, with the rules checked
// after each step, as docs/fault-combinations.md lists them.
func TestFaultCombinations(t *testing.T) {
	small := []config.Team{{Name: "red", GPUs: 4, GPUsMax: 10}, {Name: "blue", GPUs: 6, GPUsMax: 12}, {Name: "free"}}
	tight := []config.Team{{Name: "red", GPUs: 2, GPUsMax: 4}, {Name: "blue", GPUs: 2, GPUsMax: 4}}
	one := []wire.MachineType{{Name: "g2", Vcpus: 12, Gpus: 2, MemGb: 96, FetchGbPerS: 1, Price: 5, SpotPrice: 2, BootTimeS: 5, Zones: []string{"a"}}}
	two := []wire.MachineType{{Name: "g4", Vcpus: 16, Gpus: 4, MemGb: 128, FetchGbPerS: 1, Price: 9, SpotPrice: 4, BootTimeS: 5, Zones: []string{"a", "b"}}}
	for _, c := range []struct {
		name  string
		zones int
		teams []config.Team
		play  func(m *faultScenario)
	}{
		{"leaders change ten times in two minutes, also in an outage", 1, small, func(m *faultScenario) {
			for i := range 10 {
				m.jobs(1, 5*time.Second, 40*time.Second)
				if i%4 == 2 {
					m.stateOutage(m.randomMillis(4000, 20000))
				}
				m.leaderOrAny().crash(m.randomMillis(50, 3000))
				m.runFor(m.randomMillis(8000, 14000))
				m.cancelSome(0.1)
			}
		}},
		{"jobs bound to one zone lose machines", 2, small, func(m *faultScenario) {
			for i := range 6 {
				m.job(func(s *wire.JobSpec) { s.Zone = m.zones[i%2]; s.SameZone = i%3 == 0 }, m.randomMillis(10000, 40000))
				m.runFor(m.randomMillis(5000, 10000))
				for _, h := range m.randomMachines() {
					m.cloud.Remove(h.Host.ID)
				}
				if i%3 == 2 {
					m.leaderOrAny().crash(m.randomMillis(100, 2000))
				}
			}
		}},
		{"cancelled as the state service refuses the leader, and then it is out", 1, small, func(m *faultScenario) {
			for range 2 {
				m.jobs(4, 60*time.Second, 150*time.Second)
				m.runFor(25 * time.Second)
				n := m.leaderOrAny()
				m.refuseState(n, m.randomMillis(5000, 14000))
				m.runFor(m.randomMillis(100, 1500))
				m.cancelSome(0.7)
				m.runFor(m.randomMillis(300, 1200))
				m.stateOutage(m.randomMillis(40000, 60000))
				if m.rng.IntN(2) == 0 {
					m.clock.In(m.randomMillis(2000, 20000), func() { m.nodes[m.rng.IntN(3)].crash(m.randomMillis(100, 900)) })
				}
				if m.rng.IntN(3) == 0 {
					n.peersCut = true
					m.clock.In(m.randomMillis(5000, 50000), func() { n.peersCut = false })
				}
				m.runFor(75 * time.Second)
			}
		}},
		{"jobs of two or three tasks end far apart across a change of leader", 1, small, func(m *faultScenario) {
			for range 5 {
				j := m.job(func(s *wire.JobSpec) { s.Shape, s.Tasks = wire.ShapeBatch, 2+m.rng.IntN(2) }, m.randomMillis(3000, 8000))
				m.runFor(m.randomMillis(6000, 9000))
				for _, id := range m.machineNames() {
					for _, p := range m.machines[id].Tasks {
						if p.Job == j && p.N > 0 && p.Stage == wire.TaskRunning {
							p.Until = m.clock.Now().Add(m.randomMillis(10000, 30000))
						}
					}
				}
				m.leaderOrAny().crash(m.randomMillis(100, 5000))
				m.runFor(m.randomMillis(4000, 9000))
			}
		}},
		{"every team at its limit, cancelled with machines cut off or hung, and the leader changes", 1, tight, func(m *faultScenario) {
			for i := range 4 {
				m.jobs(5, 30*time.Second, 90*time.Second)
				m.runFor(m.randomMillis(8000, 20000))
				m.applyFaultToShare(0.5, m.randomMillis(4000, 30000), []machineFlag{hang, partition}[i%2])
				m.cancelSome(0.6)
				m.runFor(m.randomMillis(0, 1500))
				m.leaderOrAny().crash(m.randomMillis(100, 6000))
				m.jobs(3, 10*time.Second, 30*time.Second)
				m.runFor(m.randomMillis(10000, 20000))
			}
		}},
		{"controllers hand over and back, all end, and one returns", 1, small, func(m *faultScenario) {
			for range 5 {
				m.jobs(2, 10*time.Second, 60*time.Second)
				m.runFor(m.randomMillis(4000, 8000))
				m.leaderOrAny().crash(m.randomMillis(100, 900))
				m.runFor(m.randomMillis(500, 6000))
				m.leaderOrAny().crash(m.randomMillis(100, 900))
				m.runFor(m.randomMillis(200, 5000))
				first := m.rng.IntN(3)
				for i, n := range m.nodes {
					n.crash(map[bool]time.Duration{true: m.randomMillis(100, 900), false: m.randomMillis(5000, 20000)}[i == first])
				}
				m.runFor(m.randomMillis(5000, 20000))
			}
		}},
		{"a zone with workers and a controller is cut off for longer than a lease", 2, small, func(m *faultScenario) {
			for i := range 3 {
				m.jobs(4, 20*time.Second, 60*time.Second)
				m.runFor(m.randomMillis(10000, 15000))
				m.isolatedZone = m.zones[i%2]
				m.cancelSome(0.3)
				m.runFor(m.randomMillis(12000, 40000))
				m.isolatedZone = ""
				for _, n := range m.nodes {
					n.reconnectState()
				}
				for _, id := range m.machineNames() {
					m.release(m.machines[id])
				}
			}
		}},
		{"all controllers are away for longer than a lease", 1, small, func(m *faultScenario) {
			for range 3 {
				m.jobs(4, 20*time.Second, 60*time.Second)
				m.runFor(m.randomMillis(12000, 18000))
				for _, n := range m.nodes {
					n.crash(m.randomMillis(11000, 20000))
				}
				m.runFor(m.randomMillis(20000, 25000))
			}
		}},
		{"workers reach no controller, commands reach them", 1, small, func(m *faultScenario) {
			for range 4 {
				m.jobs(3, 20*time.Second, 60*time.Second)
				m.runFor(m.randomMillis(8000, 12000))
				m.applyFaultToShare(0.7, m.randomMillis(3000, 30000), cutOutbound)
				m.cancelSome(0.3)
				m.runFor(m.randomMillis(0, 3000))
				if m.rng.IntN(2) == 0 {
					m.leaderOrAny().crash(m.randomMillis(100, 3000))
				}
				m.runFor(m.randomMillis(8000, 20000))
			}
		}},
		{"machines are up at once and get work while writes lag, and the leader ends", 1, small, func(m *faultScenario) {
			m.cloud.QuickBoots = true
			m.rates.lateWrites, m.rates.slowState = 0.15, 800*time.Millisecond
			for range 6 {
				m.jobs(4, 5*time.Second, 40*time.Second)
				m.runFor(m.randomMillis(500, 6000))
				m.leaderOrAny().crash(m.randomMillis(100, 3000))
				m.runFor(m.randomMillis(6000, 15000))
			}
		}},
		{"a cancellation, a question or a submission meets the end of a job", 1, small, func(m *faultScenario) {
			m.rates.cancelAtEnd, m.rates.burstsOfQueries = 0.7, true
			for range 12 {
				m.jobs(2, 2*time.Second, 8*time.Second)
				m.runFor(m.randomMillis(2000, 6000))
			}
		}},
		{"users ask at all nodes within milliseconds of each news", 1, small, func(m *faultScenario) {
			m.rates.burstsOfQueries, m.rates.lostAnswers, m.rates.slowState = true, 0.05, 60*time.Millisecond
			for range 15 {
				m.jobs(2, 2*time.Second, 8*time.Second)
				m.cancelSome(0.15)
				m.runFor(m.randomMillis(1000, 5000))
				m.invalidRequest()
			}
		}},
		{"a command or its answer is held up for seconds, and the machine goes on", 1, small, func(m *faultScenario) {
			m.rates.delayedCommands = 0.3
			for range 8 {
				m.jobs(2, 10*time.Second, 60*time.Second)
				m.job(func(s *wire.JobSpec) { s.Shape, s.Priority = wire.ShapeGang, "critical" }, m.randomMillis(5000, 60000))
				m.runFor(m.randomMillis(3000, 9000))
				m.cancelSome(0.25)
				if m.rng.IntN(4) == 0 {
					m.leaderOrAny().crash(m.randomMillis(100, 3000))
				}
			}
		}},
		{"jobs are cancelled while one controller's work changes hands", 1, small, func(m *faultScenario) {
			for range 5 {
				m.jobs(4, 20*time.Second, 80*time.Second)
				m.runFor(m.randomMillis(8000, 14000))
				m.leaderOrAny().crash(m.randomMillis(100, 6000))
				for range 8 {
					m.cancelSome(0.12)
					m.runFor(m.randomMillis(200, 900))
				}
			}
		}},
		{"a leader ends while machines with long tasks are not reached, or do not hear the next", 1, small, func(m *faultScenario) {
			for i := range 4 {
				m.jobs(4, 40*time.Second, 120*time.Second)
				m.runFor(m.randomMillis(10000, 15000))
				m.applyFaultToShare(0.5, m.randomMillis(5000, 40000), []machineFlag{partition, cutInbound, cutOutbound}[i%3])
				m.leaderOrAny().crash(m.randomMillis(100, 5000))
				m.runFor(m.randomMillis(100, 8000))
				m.cancelSome(0.4)
				m.runFor(m.randomMillis(10000, 30000))
			}
		}},
		{"an old report reaches every controller as a new leader begins, or has acted", 1, small, func(m *faultScenario) {
			m.rates.heartbeatsToNextLeaseHolder = 0.3
			for range 6 {
				m.jobs(3, 15*time.Second, 60*time.Second)
				m.runFor(m.randomMillis(5000, 12000))
				m.cancelSome(0.2)
				m.applyFaultToShare(0.4, m.randomMillis(2000, 12000), partition)
				m.leaderOrAny().crash(m.randomMillis(100, 3000))
				m.runFor(m.randomMillis(5000, 12000))
			}
		}},
		{"transactions are carried out late, after newer ones", 1, small, func(m *faultScenario) {
			m.rates.lateWrites = 0.2
			for range 12 {
				m.jobs(2, 3*time.Second, 20*time.Second)
				m.cancelSome(0.15)
				m.runFor(m.randomMillis(3000, 8000))
				if m.rng.IntN(4) == 0 {
					m.leaderOrAny().crash(m.randomMillis(100, 3000))
				}
			}
		}},
		{"transactions are carried out, their answers lost, while others read what they wrote", 1, small, func(m *faultScenario) {
			m.rates.lostAnswers, m.rates.burstsOfQueries = 0.3, true
			for range 12 {
				m.jobs(2, 3*time.Second, 20*time.Second)
				m.cancelSome(0.15)
				m.runFor(m.randomMillis(3000, 8000))
				if m.rng.IntN(4) == 0 {
					m.leaderOrAny().crash(m.randomMillis(100, 3000))
				}
			}
		}},
		{"more work than room, urgent and not, over slow links", 1, tight, func(m *faultScenario) {
			m.rates.slowLinks = 1500 * time.Millisecond
			for range 10 {
				m.jobs(4, 5*time.Second, 30*time.Second)
				m.runFor(m.randomMillis(3000, 8000))
				m.cancelSome(0.1)
			}
			m.rates.slowLinks = 0
		}},
		{"one-task jobs come four a second, a quarter of them cancelled", 1, small, func(m *faultScenario) {
			for range 240 {
				j := m.job(func(s *wire.JobSpec) { s.Shape, s.Tasks, s.Gpus, s.Vcpus = wire.ShapeBatch, 1, 0, 1 }, m.randomMillis(1000, 5000))
				if m.rng.IntN(4) == 0 {
					m.clock.In(m.randomMillis(0, 4000), func() { m.cancel(j) })
				}
				m.runFor(250 * time.Millisecond)
			}
		}},
		{"the state service is slow, or refuses the leader and then all, while users cancel and ask", 1, small, func(m *faultScenario) {
			m.rates.burstsOfQueries = true
			for i := range 3 {
				m.rates.slowState = 1200 * time.Millisecond
				m.jobs(4, 30*time.Second, 100*time.Second)
				m.runFor(m.randomMillis(15000, 20000))
				m.rates.slowState = 0
				m.refuseState(m.leaderOrAny(), m.randomMillis(3000, 20000))
				m.cancelSome(0.4)
				m.runFor(m.randomMillis(500, 4000))
				if i%2 == 0 {
					m.stateOutage(m.randomMillis(36000, 50000))
				}
				m.cancelSome(0.4)
				m.runFor(m.randomMillis(20000, 55000))
			}
		}},
		{"old reports come after newer ones, also of an earlier session or attempt", 1, small, func(m *faultScenario) {
			m.rates.lateHeartbeats = 0.3
			for range 8 {
				m.jobs(3, 3*time.Second, 30*time.Second)
				m.applyFaultToShare(0.2, m.randomMillis(500, 15000), partition)
				m.cancelSome(0.1)
				m.runFor(m.randomMillis(4000, 10000))
			}
		}},
		{"a leader left with its workers and users, jobs cancelled through the new one", 1, small, func(m *faultScenario) {
			for range 3 {
				m.jobs(4, 40*time.Second, 120*time.Second)
				m.runFor(m.randomMillis(12000, 18000))
				m.leaveWithWorkers(m.leaderOrAny(), m.randomMillis(10000, 50000))
				for range 5 {
					m.runFor(m.randomMillis(1000, 5000))
					m.cancelSome(0.2)
				}
				m.runFor(m.randomMillis(10000, 30000))
			}
		}},
		{"a team at its limit, the leader changes, machines cannot be asked, a cancellation in that spell", 1, tight, func(m *faultScenario) {
			for i := range 5 {
				m.jobs(5, 30*time.Second, 90*time.Second)
				m.runFor(m.randomMillis(8000, 15000))
				m.applyFaultToShare(0.4, m.randomMillis(3000, 45000), []machineFlag{partition, hang, cutInbound}[i%3])
				m.leaderOrAny().crash(m.randomMillis(100, 3000))
				m.runFor(m.randomMillis(500, 6000))
				m.cancelSome(0.4)
				m.jobs(2, 5*time.Second, 30*time.Second)
				m.runFor(m.randomMillis(5000, 20000))
			}
		}},
		{"everything is back within a fraction of a second, also in mid-election", 1, small, func(m *faultScenario) {
			for range 12 {
				m.jobs(1, 5*time.Second, 40*time.Second)
				m.leaderOrAny().crash(m.randomMillis(20, 300))
				m.runFor(m.randomMillis(20, 900))
				m.nodes[m.rng.IntN(3)].crash(m.randomMillis(20, 300))
				m.cancelSome(0.1)
				m.runFor(m.randomMillis(200, 9000))
			}
		}},
	} {
		for seed := range 2 * seedFactor() {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				zones, machineTypes := []string{"a"}, one
				if c.zones == 2 {
					zones, machineTypes = []string{"a", "b"}, two
				}
				report, lease := 1.5, 10.0
				if seed%2 == 1 {
					report, lease = 4, 18
				}
				sim := newSimulation(t, uint64(100+seed), testConfig(zones, c.teams, report, lease), 1, machineTypes)
				for _, z := range zones {
					sim.cloud.Room[standin.RoomKey(machineTypes[0].Name, z, true)] = 5
					sim.cloud.Room[standin.RoomKey(machineTypes[0].Name, z, false)] = 8
				}
				m := &faultScenario{simulation: sim, zones: zones, machineTypes: machineTypes}
				c.play(m)
				m.isolatedZone = ""
				sim.finish()
				if len(sim.violations()) > 0 {
					t.Fatalf("seed %d: %s", seed, sim.violations()[0])
				}
			})
		}
	}
}
