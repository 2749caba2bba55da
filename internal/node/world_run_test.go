package node

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/wire"
)

func facts(zones []string, teams []config.Team, reportS, leaseS float64) *config.Config {
	return &config.Config{
		Member: "x", Area: zones[0],
		Facts: config.Facts{
			Nodes: 3, Zones: zones, TimeBoundMS: 100, Teams: teams,
			Objectives: []config.Objective{{Kind: "finished", Class: "sweep", WithinS: 60, Share: 0.8}},
			Workers:    config.Workers{ReportS: reportS, LeaseS: leaseS, GangWaitS: 20, GangPeerS: 4, CancelS: 35},
			State:      config.State{RPS: 200, WriteRPS: 20, ValueKB: 4, TxnOps: 8},
			Cloud:      config.Cloud{RPS: 8, ListLagS: 3},
			Limits:     config.Limits{CPU: 0.1, MemoryMB: 98, Sockets: 900},
		},
	}
}

// TestRandomDays plays random days of crashes, cuts, late messages, outages
// and restarts, checks the protocol's rules after each step, and that every
// accepted job ends once the troubles are over. Seeds are fixed.
func TestRandomDays(t *testing.T) {
	small := []config.Team{{Name: "red", GPUs: 4, GPUsMax: 10}, {Name: "blue", GPUs: 6, GPUsMax: 12}, {Name: "free"}}
	wide := []config.Team{{Name: "red", GPUs: 80, GPUsMax: 200}, {Name: "blue", GPUs: 120, GPUsMax: 240}, {Name: "free"}}
	one := []wire.MachineType{{Name: "g2", Vcpus: 12, Gpus: 2, MemGb: 96, FetchGbPerS: 1, Price: 5, LowPrice: 2, BootS: 5, Zones: []string{"a"}}}
	two := []wire.MachineType{
		{Name: "g4", Vcpus: 16, Gpus: 4, MemGb: 128, FetchGbPerS: 1, Price: 9, LowPrice: 4, BootS: 5, Zones: []string{"a", "b"}},
		{Name: "c8", Vcpus: 8, Gpus: 0, MemGb: 32, FetchGbPerS: 1, Price: 2, LowPrice: 1, BootS: 4, Zones: []string{"b"}},
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
	}{
		{"one zone, short leases", []string{"a"}, small, one, 1, 1.5, 10, 6, 1, false},
		{"one zone, long leases", []string{"a"}, small, one, 1, 3, 18, 4, 1, false},
		{"two zones, two types, wide gangs", []string{"a", "b"}, small, two, 1, 1.5, 10, 6, 1, false},
		{"three blocks", []string{"a", "b"}, small, two, 3, 1.5, 10, 4, 1, false},
		{"a fleet: a tenth and more of the machines hit at a time", []string{"a", "b"}, wide, two, 1, 5, 26.5, 2, 20, false},
		{"an upgrade, and limits that fall", []string{"a"}, wide, one, 1, 1.5, 10, 6, 4, true},
	} {
		for seed := range day.seeds * seedFactor() {
			t.Run(fmt.Sprintf("%s/%d", day.name, seed), func(t *testing.T) {
				t.Parallel()
				w := newWorld(t, uint64(seed), facts(day.zones, day.teams, day.report, day.lease), day.blocks, day.machineTypes)
				for _, f := range day.machineTypes {
					for _, y := range f.Zones {
						w.cloud.room[roomKey(f.Name, y, true)] = 5 * day.scale
						w.cloud.room[roomKey(f.Name, y, false)] = 8 * day.scale
					}
				}
				w.cloud.never = 0.02
				w.chaos, w.scale = true, day.scale
				if day.upgrade {
					w.begins()
				}
				play(w, day.zones, day.machineTypes)
				if len(w.broken) > 0 {
					t.Fatalf("seed %d: %s", seed, w.broken[0])
				}
			})
		}
	}
}

// begins makes a deployment of the earlier version, with limits to come that make its
// pages too large.
func (w *world) begins() {
	w.upgrade = true
	w.cfg.Facts.State.ValueKB = 1
	w.cfg.Facts.State.Next = config.NextState{"value_kb": 0.5, "txn_ops": int64(4), "write_rps": 12.0}
	w.state.limits.value, w.state.limits.ops = 1024, 8
	for _, n := range w.nodes {
		n.crash(0)
	}
}

// upgrades gives one more controller the new version; once all have it the state
// service's limits fall, in the midst of whatever is going on.
func (w *world) upgrades() {
	for _, n := range w.nodes {
		if !n.next {
			n.next = true
			n.crash(time.Duration(100+w.rng.IntN(3000)) * time.Millisecond)
			return
		}
	}
	if w.state.limits.value == 1024 {
		w.clk.in(time.Duration(w.rng.IntN(20000))*time.Millisecond, func() {
			w.state.limits.value, w.state.limits.ops, w.state.limits.writes = 512, 4, 12
			switch w.rng.IntN(3) {
			case 0:
				w.state.setDown(true)
				w.clk.in(4*time.Second, func() { w.state.setDown(false) })
			case 1:
				w.nodes[w.rng.IntN(len(w.nodes))].crash(time.Second)
			}
		})
	}
}

// play lets users submit for a while under troubles, then lets the troubles
// pass and waits for every job's end.
func play(w *world, zones []string, machineTypes []wire.MachineType) {
	const rounds = 60
	for i := range rounds {
		w.runFor(time.Duration(1+w.rng.IntN(5)) * time.Second)
		if len(w.broken) > 0 {
			return
		}
		if w.rng.IntN(3) > 0 {
			randomJob(w, i, zones, machineTypes)
		}
		if w.upgrade && i >= 10 && i%6 == 0 {
			w.upgrades()
		}
		if i > 3 && w.rng.IntN(2) == 0 {
			w.trouble()
		}
	}
	w.ends()
}

// ends lets the troubles pass and waits for every job's end.
func (w *world) ends() {
	w.chaos, w.odds = false, odds{}
	w.runFor(30 * time.Second) // the last troubles pass
	w.calm = w.clk.now
	for _, j := range w.order {
		if j.bad || j.spec.Shape == wire.ShapeStanding {
			w.cancel(j) // these end only so
		}
	}
	for i := range 40 {
		w.runFor(15 * time.Second)
		for _, j := range w.order {
			if i >= 5 && j.accepted && w.clk.now.Sub(j.answered) > 75*time.Second {
				w.fail("forgotten: no question about %s was answered for %v", j.spec.ID, w.clk.now.Sub(j.answered))
			}
		}
		left := ""
		for _, j := range w.order {
			if j.told != wire.JobDone && j.told != wire.JobWithdrawn {
				left += fmt.Sprintf(" %s(%s %s x%d told %q)", j.spec.ID, j.spec.Shape, j.spec.Team, j.spec.Tasks, j.told)
			}
		}
		if left == "" || len(w.broken) > 0 {
			return
		}
		w.t.Log("left:", left)
	}
	for _, j := range w.order {
		if j.told != wire.JobDone && j.told != wire.JobWithdrawn {
			w.t.Logf("%+v", j.spec)
		}
	}
	w.fail("some accepted jobs never ended")
}

func randomJob(w *world, i int, zones []string, machineTypes []wire.MachineType) {
	team := w.cfg.Facts.Teams[w.rng.IntN(len(w.cfg.Facts.Teams))].Name
	s := wire.Submission{ID: fmt.Sprintf("job-%06d", i), Team: team, Class: "sweep", Shape: wire.ShapeBatch,
		Priority: []string{"low", "normal", "high", "critical"}[w.rng.IntN(4)], Tasks: 1 + w.rng.IntN(8),
		Vcpus: 4, Gpus: 1, MemGb: 20, Bundle: fmt.Sprintf("img-%d", w.rng.IntN(4)), ImageGb: 2, AnyType: true,
		Spot: w.rng.IntN(3) > 0, GuessS: 10}
	if w.rng.IntN(3) == 0 {
		s.BookmarkS, s.StowS = 2, 1
	}
	if w.rng.IntN(3) == 0 {
		s.Class, s.Shape, s.Tasks = "train", wire.ShapeGang, 1+w.rng.IntN(5)
		s.Gpus = float64(1 + w.rng.IntN(2))
	}
	if w.rng.IntN(12) == 0 {
		s.Class, s.Shape, s.Tasks = "serve", wire.ShapeStanding, 1+w.rng.IntN(2)
	}
	if len(machineTypes) > 1 && w.rng.IntN(4) == 0 {
		s.AnyType, s.Types = false, []string{machineTypes[w.rng.IntN(len(machineTypes))].Name}
		if s.Types[0] == "c8" {
			s.Gpus = 0
		}
	}
	switch w.rng.IntN(6) {
	case 0:
		s.Together = true
	case 1:
		s.Apart = s.Shape == wire.ShapeBatch || len(zones) > 1 && s.AnyType && s.Gpus > 0
	case 2:
		s.Zone = zones[w.rng.IntN(len(zones))]
		if !s.AnyType && s.Types[0] == "c8" {
			s.Zone = "b"
		}
	}
	if s.Shape == wire.ShapeBatch {
		s.Tasks *= w.scale
	}
	j := w.add(s, time.Duration(2+w.rng.IntN(20))*time.Second)
	j.bad = w.rng.IntN(25) == 0
	if w.rng.IntN(6) == 0 {
		w.clk.in(time.Duration(w.rng.IntN(20))*time.Second, func() { w.cancel(j) })
	}
}

// seedFactor lets a longer search than CI's be asked for.
func seedFactor() int {
	if n, err := strconv.Atoi(os.Getenv("WORLD_SEEDS")); err == nil {
		return n
	}
	return 1
}
