package controller

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/standin"
	"juniperchute/internal/wire"
)

// testConfig are the settings of a small deployment.
func testConfig(zones []string, teams []config.Team, reportS, leaseS float64) *config.Config {
	return &config.Config{Member: "x", Area: zones[0], Platform: standin.Facts(zones, teams, reportS, leaseS)}
}

// maxCloudCallDelay is how late a call of the cloud comes at most in a simulation.
const maxCloudCallDelay = 70 * time.Second

// TestRandomDays plays random days of crashes, cuts, late messages, outages
// and restarts, checks the protocol's rules after each step, and that every
// accepted job ends once the troubles are over. Seeds are fixed.
func TestRandomDays(t *testing.T) {
	small := []config.Team{{Name: "red", GPUs: 4, GPUsMax: 10}, {Name: "blue", GPUs: 6, GPUsMax: 12}, {Name: "free"}}
	wide := []config.Team{{Name: "red", GPUs: 80, GPUsMax: 200}, {Name: "blue", GPUs: 120, GPUsMax: 240}, {Name: "free"}}
	one := []wire.MachineType{{Name: "g2", Vcpus: 12, Gpus: 2, MemGb: 96, FetchGbPerS: 1, Price: 5, SpotPrice: 2, BootTimeS: 5, Zones: []string{"a"}}}
	two := []wire.MachineType{
		{Name: "g4", Vcpus: 16, Gpus: 4, MemGb: 128, FetchGbPerS: 1, Price: 9, SpotPrice: 4, BootTimeS: 5, Zones: []string{"a", "b"}},
		{Name: "c8", Vcpus: 8, Gpus: 0, MemGb: 32, FetchGbPerS: 1, Price: 2, SpotPrice: 1, BootTimeS: 4, Zones: []string{"b"}},
	}
	for _, day := range []struct {
		name         string
		zones        []string
		teams        []config.Team
		machineTypes []wire.MachineType
		blocks       int
		report       float64
		lease        float64
		seeds        int
		scale        int
		upgrade      bool // all controllers get the new version one after the other, then the state service's limits fall
		duties       bool // the log of duties is kept
	}{
		{"one zone, short leases", []string{"a"}, small, one, 1, 1.5, 10, 6, 1, false, false},
		{"one zone, long leases", []string{"a"}, small, one, 1, 3, 18, 4, 1, false, false},
		{"two zones, two types, wide gangs", []string{"a", "b"}, small, two, 1, 1.5, 10, 6, 1, false, false},
		{"three blocks", []string{"a", "b"}, small, two, 3, 1.5, 10, 4, 1, false, false},
		{"a fleet: a tenth and more of the machines hit at a time", []string{"a", "b"}, wide, two, 1, 5, 26.5, 2, 20, false, false},
		{"an upgrade, and limits that fall", []string{"a"}, wide, one, 1, 1.5, 10, 6, 4, true, false},
		{"duties, short leases", []string{"a"}, small, one, 1, 1.5, 10, 6, 1, false, true},
		{"duties, two zones", []string{"a", "b"}, small, two, 1, 3, 18, 4, 1, false, true},
		{"duties, three blocks", []string{"a", "b"}, small, two, 3, 1.5, 10, 3, 1, false, true},
		{"duties, a fleet", []string{"a", "b"}, wide, two, 1, 5, 26.5, 1, 20, false, true},
		{"duties, an upgrade, and limits that fall", []string{"a"}, wide, one, 1, 1.5, 10, 4, 4, true, true},
	} {
		for seed := range day.seeds * seedFactor() {
			t.Run(fmt.Sprintf("%s/%d", day.name, seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, uint64(seed), testConfig(day.zones, day.teams, day.report, day.lease), day.blocks, day.machineTypes)
				for _, f := range day.machineTypes {
					for _, y := range f.Zones {
						sim.cloud.Room[standin.RoomKey(f.Name, y, true)] = 5 * day.scale
						sim.cloud.Room[standin.RoomKey(f.Name, y, false)] = 8 * day.scale
					}
				}
				sim.cloud.NeverBoot = 0.02
				sim.randomMessageFaults, sim.scale = true, day.scale
				if day.upgrade {
					sim.startOldVersion()
				}
				if day.duties {
					sim.enableIntentLog()
					if day.upgrade {
						sim.intentChecker.Grace = maxCloudCallDelay
					}
				}
				playRandomDay(sim, day.zones, day.machineTypes)
				if day.duties && !day.upgrade {
					sim.requireIntentsCarriedOut()
				}
				if len(sim.violations()) > 0 {
					t.Fatalf("seed %d: %s", seed, sim.violations()[0])
				}
			})
		}
	}
}

// startOldVersion makes a deployment of the earlier version, with limits to come that make its
// pages too large.
func (sim *simulation) startOldVersion() {
	sim.startsOld = true
	sim.cfg.Platform.State.ValueKB = 1
	sim.cfg.Platform.State.Next = config.UpcomingLimits{"value_kb": 0.5, "txn_ops": int64(4), "write_rps": 12.0}
	sim.state.Limits.ValueBytes, sim.state.Limits.TxnOps = 1024, 8
	for _, n := range sim.nodes {
		n.crash(0)
	}
}

// upgradeNext gives one more controller the new version; once all have it the state
// service's limits fall, in the midst of whatever is going on.
func (sim *simulation) upgradeNext() {
	for _, n := range sim.nodes {
		if !n.upgraded {
			n.upgraded = true
			n.crash(time.Duration(100+sim.rng.IntN(3000)) * time.Millisecond)
			return
		}
	}
	if sim.state.Limits.ValueBytes == 1024 {
		sim.clock.In(time.Duration(sim.rng.IntN(20000))*time.Millisecond, func() {
			sim.state.Limits.ValueBytes, sim.state.Limits.TxnOps, sim.state.Limits.Writes = 512, 4, 12
			switch sim.rng.IntN(3) {
			case 0:
				sim.state.SetDown(true)
				sim.clock.In(4*time.Second, func() { sim.state.SetDown(false) })
			case 1:
				sim.nodes[sim.rng.IntN(len(sim.nodes))].crash(time.Second)
			}
		})
	}
}

// playRandomDay lets users submit for a while under troubles, then lets the troubles
// pass and waits for every job's end.
func playRandomDay(sim *simulation, zones []string, machineTypes []wire.MachineType) {
	const rounds = 60
	for i := range rounds {
		sim.runFor(time.Duration(1+sim.rng.IntN(5)) * time.Second)
		if len(sim.violations()) > 0 {
			return
		}
		if sim.rng.IntN(3) > 0 {
			randomJob(sim, i, zones, machineTypes)
		}
		if sim.startsOld && i >= 10 && i%6 == 0 {
			sim.upgradeNext()
		}
		if i > 3 && sim.rng.IntN(2) == 0 {
			sim.randomFault()
		}
	}
	sim.finish()
}

// randomJob makes a user submit a random job, and now and then cancel it.
func randomJob(sim *simulation, i int, zones []string, machineTypes []wire.MachineType) {
	team := sim.cfg.Platform.Teams[sim.rng.IntN(len(sim.cfg.Platform.Teams))].Name
	s := wire.JobSpec{ID: fmt.Sprintf("job-%06d", i), Team: team, Class: "sweep", Shape: wire.ShapeBatch,
		Priority: []string{"low", "normal", "high", "critical"}[sim.rng.IntN(4)], Tasks: 1 + sim.rng.IntN(8),
		Vcpus: 4, Gpus: 1, MemGb: 20, Image: fmt.Sprintf("img-%d", sim.rng.IntN(4)), ImageGb: 2, AnyType: true,
		Spot: sim.rng.IntN(3) > 0, EstimatedRunTimeS: 10}
	if sim.rng.IntN(3) == 0 {
		s.CheckpointIntervalS, s.CheckpointSaveTimeS = 2, 1
	}
	if sim.rng.IntN(3) == 0 {
		s.Class, s.Shape, s.Tasks = "train", wire.ShapeGang, 1+sim.rng.IntN(5)
		s.Gpus = float64(1 + sim.rng.IntN(2))
	}
	if sim.rng.IntN(12) == 0 {
		s.Class, s.Shape, s.Tasks = "serve", wire.ShapeService, 1+sim.rng.IntN(2)
	}
	if len(machineTypes) > 1 && sim.rng.IntN(4) == 0 {
		s.AnyType, s.Types = false, []string{machineTypes[sim.rng.IntN(len(machineTypes))].Name}
		if s.Types[0] == "c8" {
			s.Gpus = 0
		}
	}
	switch sim.rng.IntN(6) {
	case 0:
		s.SameZone = true
	case 1:
		s.SpreadAcrossZones = s.Shape == wire.ShapeBatch || len(zones) > 1 && s.AnyType && s.Gpus > 0
	case 2:
		s.Zone = zones[sim.rng.IntN(len(zones))]
		if !s.AnyType && s.Types[0] == "c8" {
			s.Zone = "b"
		}
	}
	if s.Shape == wire.ShapeBatch {
		s.Tasks *= sim.scale
	}
	j := sim.add(s, time.Duration(2+sim.rng.IntN(20))*time.Second)
	j.Faulty = sim.rng.IntN(25) == 0
	if sim.rng.IntN(6) == 0 {
		sim.clock.In(time.Duration(sim.rng.IntN(20))*time.Second, func() { sim.cancel(j) })
	}
}

// seedFactor lets a longer search than CI's be asked for.
func seedFactor() int {
	if n, err := strconv.Atoi(os.Getenv("SIMULATION_SEEDS")); err == nil {
		return n
	}
	return 1
}
