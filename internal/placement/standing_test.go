package placement

import (
	"strings"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// direct lets the board send what does not wait for reports, and the machines answer.
func (x *bench) direct() string {
	x.t.Helper()
	x.now = x.now.Add(tuning.DrawEvery)
	x.b.Draw(x.now)
	sent := ""
	for _, m := range x.b.Kicks(x.now) {
		commands := x.b.Commands(x.now, m, false)
		sent += x.verbs(commands)
		x.b.Answered(m, commands)
		x.report(m)
	}
	return sent
}

// on names the machines of a service's replicas.
func (x *bench) on(j *Job) map[string]int {
	out := map[string]int{}
	for _, t := range j.tasks {
		if t.at != nil {
			out[t.at.Host]++
		}
	}
	return out
}

// A replica is handed out at once, by a direct command, with few of its siblings beside
// it; it runs again when it ends, fails or has to move; lower work gives way to it.
func TestStanding(t *testing.T) {
	service := func(x *bench, tasks int) *Job { return x.job("blue", wire.ShapeStanding, "critical", tasks, 0) }
	for _, c := range []struct {
		name     string
		machines int
		play     func(x *bench) string
	}{
		{"at once, one a machine", 3, func(x *bench) string {
			j := service(x, 3)
			if sent := x.direct(); strings.Count(sent, "run ") != 3 || len(x.on(j)) != 3 {
				return "sent " + sent
			}
			return ""
		}},
		{"more replicas than machines", 2, func(x *bench) string {
			j := service(x, 4)
			x.direct()
			if on := x.on(j); on["i-0"] != 2 || on["i-1"] != 2 {
				return "not spread"
			}
			return ""
		}},
		{"not on spot while there are others", 2, func(x *bench) string {
			x.reg.All()[0].Spot = true
			j := service(x, 2)
			j.Spec.Spot = true
			x.direct()
			if on := x.on(j); on["i-1"] != 1 || on["i-0"] != 1 {
				return "siblings share a machine"
			}
			k := service(x, 1)
			k.Spec.Spot = true
			x.direct()
			if x.on(k)["i-1"] != 1 {
				return "on spot"
			}
			return ""
		}},
		{"one that ends runs again, and is never done", 1, func(x *bench) string {
			j := service(x, 1)
			x.direct()
			m := x.reg.All()[0]
			x.now = x.now.Add(tuning.ServiceWell + time.Second)
			x.report(m, wire.Task{Task: j.Spec.ID + "/0", Stage: wire.TaskExited, Cause: wire.CauseDone})
			if sent := x.direct(); j.Done() != 0 || !strings.Contains(sent, "run ") && j.Located() != 1 {
				return "not started again: " + sent
			}
			return ""
		}},
		{"one that ends as it begins waits", 1, func(x *bench) string {
			j := service(x, 1)
			x.direct()
			x.report(x.reg.All()[0], wire.Task{Task: j.Spec.ID + "/0", Stage: wire.TaskExited, Cause: wire.CauseDone})
			if x.direct(); j.Located() != 0 {
				return "started again at once"
			}
			x.now = x.now.Add(tuning.RetryPause + time.Second)
			if x.direct(); j.Located() != 1 {
				return "not started again"
			}
			return ""
		}},
		{"lower work gives way", 1, func(x *bench) string {
			low := x.job("blue", wire.ShapeBatch, "low", 2, 1) // ten of the twelve CPUs
			m := x.reg.All()[0]
			x.b.Draw(x.now)
			x.report(m)
			x.report(m)
			j := service(x, 1)
			x.direct()
			stopping := ""
			for _, t := range low.sorted() {
				if t.phase == Stopping {
					stopping += t.Name()
				}
			}
			if stopping == "" || strings.Count(stopping, "job-") != 1 {
				return "stopped: " + stopping
			}
			x.report(m, wire.Task{Task: stopping, Stage: wire.TaskExited, Cause: wire.CauseHalted})
			x.direct()
			if j.Located() != 1 {
				return "the replica did not get the room"
			}
			return ""
		}},
		{"its machine is recalled: stopped only when another takes it at once", 2, func(x *bench) string {
			j := service(x, 1)
			x.direct()
			from := x.b.host(j.tasks[0].at)
			other := x.reg.All()[0]
			if other == from.m {
				other = x.reg.All()[1]
			}
			delete(other.Images, "img")
			from.m.Recall = x.now.Add(30 * time.Second)
			x.now = x.now.Add(time.Second)
			if sent := x.direct(); strings.Contains(sent, "stop") {
				return "stopped before its image is anywhere else"
			}
			other.Images["img"] = x.now
			x.now = x.now.Add(time.Second)
			if sent := x.direct(); !strings.Contains(sent, "stop") {
				return "not moved"
			}
			x.report(from.m, wire.Task{Task: j.Spec.ID + "/0", Stage: wire.TaskExited, Cause: wire.CauseHalted})
			x.direct()
			if x.on(j)[other.Host] != 1 {
				return "not started on the other machine"
			}
			return ""
		}},
		{"its machine is recalled and no other has its image: moved at the last moment", 2, func(x *bench) string {
			j := service(x, 1)
			x.direct()
			from := j.tasks[0].at
			for _, m := range x.reg.All() {
				if m != from {
					delete(m.Images, "img")
				}
			}
			from.Recall = x.now.Add(30 * time.Second)
			x.now = x.now.Add(28 * time.Second)
			if sent := x.direct(); !strings.Contains(sent, "stop") {
				return "left to go with its machine"
			}
			return ""
		}},
		{"one that fails everywhere backs off and blames no machine", 4, func(x *bench) string {
			j := service(x, 1)
			starts := 0
			for range 40 {
				x.direct()
				for _, m := range x.reg.All() {
					if x.on(j)[m.Host] > 0 {
						starts++
						x.report(m, wire.Task{Task: j.Spec.ID + "/0", Stage: wire.TaskExited, Cause: wire.CauseError})
					}
				}
				x.now = x.now.Add(time.Second)
			}
			for _, m := range x.reg.All() {
				if m.Faulty {
					return "blamed " + m.Host
				}
			}
			if starts < 4 || starts > 12 {
				return "not backed off"
			}
			return ""
		}},
		{"one that served well and then fails on some machines is not at fault", 5, func(x *bench) string {
			j := service(x, 1)
			x.direct()
			x.now = x.now.Add(tuning.ServiceWell + time.Second)
			for range 4 {
				for _, m := range x.reg.All() {
					if x.on(j)[m.Host] > 0 {
						x.report(m)
						x.report(m, wire.Task{Task: j.Spec.ID + "/0", Stage: wire.TaskExited, Cause: wire.CauseError})
						break
					}
				}
				x.now = x.now.Add(tuning.RetryPause + 100*time.Millisecond)
				if x.direct(); j.Located() != 1 {
					return "held back"
				}
			}
			return ""
		}},
		{"its age raises it over nobody", 1, func(x *bench) string {
			old := x.job("blue", wire.ShapeStanding, "low", 9, 0)
			x.now = x.now.Add(tuning.StarveAfter + time.Hour)
			young := x.job("blue", wire.ShapeBatch, "normal", 1, 1)
			x.b.Draw(x.now)
			if old.starved(x.now) || x.b.raised(x.now, old) != 0 || old.level > young.level {
				return "raised"
			}
			return ""
		}},
		{"a machine with a replica is not emptied", 2, func(x *bench) string {
			service(x, 2)
			x.direct()
			x.now = x.now.Add(time.Minute)
			x.b.Close(x.now)
			for _, m := range x.reg.All() {
				if m.Closing {
					return "emptied " + m.Host
				}
			}
			return ""
		}},
		{"a lost machine's replica runs elsewhere at once", 2, func(x *bench) string {
			j := service(x, 1)
			x.direct()
			at := j.tasks[0].at
			x.reg.Set(x.now, at, worker.Lapsed, "test")
			x.b.Lost(x.now, at, "test")
			if sent := x.direct(); !strings.Contains(sent, "run ") || x.on(j)[at.Host] != 0 {
				return "sent " + sent
			}
			return ""
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newBench(t, c.machines)
			for _, m := range x.reg.All() {
				m.Images["img"] = x.now
			}
			if bad := c.play(x); bad != "" {
				t.Error(bad)
			}
		})
	}
}

// Room for the next service, or for the replicas of a lost machine, is there before it
// is needed, on two machines that are not spot, and no more than that.
func TestReserve(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines int
		spot     bool
		services int
		class    string // of an aim for the start within 4 s
		boot     float64
		want     [2]int // spot, ordinary
	}{
		{"no service", 2, false, 0, "", 25, [2]int{}},
		{"there is room on two", 2, false, 1, "", 25, [2]int{}},
		{"on one machine only, and that is full", 1, false, 1, "", 25, [2]int{0, 2}},
		{"only spot machines", 3, true, 1, "", 25, [2]int{0, 2}},
		{"a class to start within four seconds of which no job has come", 3, true, 0, "portal", 25, [2]int{0, 1}},
		{"the same where machines boot in ten", 3, true, 0, "portal", 10, [2]int{}},
		{"one whose jobs have come", 3, true, 0, "l", 25, [2]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newBench(t, c.machines)
			for _, m := range x.reg.All() {
				m.Spot = c.spot
			}
			x.job("red", wire.ShapeBatch, "low", 1, 1).closed = true // its class is known
			x.b.order = nil
			if c.class != "" {
				x.b.facts.Objectives = append(x.b.facts.Objectives, objective(c.class, 4))
			}
			for range c.services {
				j := x.job("blue", wire.ShapeStanding, "critical", 2, 0)
				j.Spec.Spot = c.spot
				x.direct()
				j.Spec.Spot = false
			}
			offers := []Offer{{Type: "g2", Zone: "a", Spot: true, Cap: x.reg.All()[0].Cap, Price: 1, BootS: c.boot, Left: 50}, {Type: "g2", Zone: "a", Cap: x.reg.All()[0].Cap, Price: 3, BootS: c.boot, Left: 50}}
			got := x.b.Demand(x.now, offers, []int{0, 0})
			if got[0] != c.want[0] || got[1] != c.want[1] {
				t.Errorf("to be hired: %v, want %v", got, c.want)
			}
		})
	}
}

func objective(class string, within float64) config.Objective {
	return config.Objective{Kind: "wait", Class: class, WithinS: within, Share: 0.8}
}
