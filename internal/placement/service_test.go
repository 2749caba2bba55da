package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

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
	for _, m := range x.b.Urgent(x.now) {
		commands := x.b.Commands(x.now, m, Direct)
		sent += x.verbs(commands)
		x.b.Answered(m, commands)
		x.report(m)
	}
	return sent
}

// twoZones puts every other machine into another zone.
func (x *bench) twoZones() {
	x.b.facts.Zones = []string{"a", "b"}
	for i, m := range x.reg.All() {
		m.Zone = x.b.facts.Zones[i%2]
	}
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
func TestServices(t *testing.T) {
	service := func(x *bench, tasks int) *Job { return x.job("blue", wire.ShapeService, "critical", tasks, 0) }
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
			x.report(m, wire.TaskStatus{Name: j.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitDone})
			if sent := x.direct(); j.Done() != 0 || !strings.Contains(sent, "run ") && j.Located() != 1 {
				return "not started again: " + sent
			}
			return ""
		}},
		{"one that ends as it begins waits", 1, func(x *bench) string {
			j := service(x, 1)
			x.direct()
			x.report(x.reg.All()[0], wire.TaskStatus{Name: j.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitDone})
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
			x.report(m, wire.TaskStatus{Name: stopping, State: wire.TaskExited, ExitReason: wire.ExitStopped})
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
			x.report(from.m, wire.TaskStatus{Name: j.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitStopped})
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
						x.report(m, wire.TaskStatus{Name: j.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitError})
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
						x.report(m, wire.TaskStatus{Name: j.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitError})
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
			old := x.job("blue", wire.ShapeService, "low", 9, 0)
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
		{"one that ends at once again and again is started less and less often", 1, func(x *bench) string {
			j := service(x, 1)
			starts := 0
			for range 120 {
				x.direct()
				x.now = x.now.Add(time.Second)
				for _, m := range x.reg.All() {
					if x.on(j)[m.Host] > 0 {
						starts++
						x.report(m, wire.TaskStatus{Name: j.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitDone})
					}
				}
			}
			if starts < 5 || starts > 10 {
				return fmt.Sprintf("%d starts in two minutes", starts)
			}
			return ""
		}},
		{"its machine hangs: it runs elsewhere only once the lease is over", 2, func(x *bench) string {
			j := service(x, 1)
			x.direct()
			at := j.tasks[0].at
			x.reg.Set(x.now, at, worker.Silent, "test")
			for range 50 {
				if sent := x.direct(); strings.Contains(sent, "run ") {
					return "started beside the one that hangs"
				}
			}
			x.reg.Set(x.now, at, worker.Lapsed, "test")
			x.b.Lost(x.now, at, "test")
			if x.direct(); j.Located() != 1 || x.on(j)[at.Host] != 0 {
				return "not started elsewhere"
			}
			return ""
		}},
		{"cancelled while it moves: stopped, and started nowhere", 2, func(x *bench) string {
			j := service(x, 1)
			x.direct()
			from := j.tasks[0].at
			from.Recall = x.now.Add(30 * time.Second)
			x.now = x.now.Add(time.Second)
			if sent := x.direct(); !strings.Contains(sent, "stop") {
				return "does not move"
			}
			x.b.CloseJob(x.now, j.Spec.ID, x.now.Add(time.Minute))
			x.report(from, wire.TaskStatus{Name: j.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitStopped})
			for range 20 {
				if sent := x.direct(); strings.Contains(sent, "run ") {
					return "started again"
				}
			}
			if j.Located() != 0 {
				return "left on a machine"
			}
			return ""
		}},
		{"apart, its machine is recalled: it moves within its zone", 4, func(x *bench) string {
			x.twoZones()
			j := service(x, 2)
			j.Spec.SpreadAcrossZones = true
			x.direct()
			if zones := j.zones(false); zones["a"] != 1 || zones["b"] != 1 {
				return "not apart"
			}
			from := j.tasks[0].at
			for _, m := range x.reg.All() {
				if m.Zone != from.Zone && x.on(j)[m.Host] == 0 {
					m.Faulty = true // only a machine of the same zone is left
				}
			}
			from.Recall = x.now.Add(30 * time.Second)
			x.now = x.now.Add(time.Second)
			if sent := x.direct(); !strings.Contains(sent, "stop") {
				return "does not move while there is a place"
			}
			zone := from.Zone
			x.report(from, wire.TaskStatus{Name: j.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitStopped})
			x.direct()
			if at := j.tasks[0].at; at == nil || at.Zone != zone || at == from {
				return "not moved within its zone"
			}
			return ""
		}},
		{"together, a machine is lost: its replica stays in the zone of the others", 4, func(x *bench) string {
			x.twoZones()
			j := service(x, 2)
			j.Spec.SameZone = true
			x.direct()
			zone := j.tasks[1].at.Zone
			lost := j.tasks[0].at
			x.reg.Set(x.now, lost, worker.Lapsed, "test")
			x.b.Lost(x.now, lost, "test")
			x.direct()
			if at := j.tasks[0].at; at == nil || at.Zone != zone {
				return "in another zone"
			}
			return ""
		}},
		{"its team is at its limit: queued lower work goes back, and the replica starts", 4, func(x *bench) string {
			low := x.job("red", wire.ShapeBatch, "low", 4, 1) // the limit is 4 GPUs
			x.b.Draw(x.now)
			if len(low.tasks) != 4 {
				return "not queued"
			}
			j := x.job("red", wire.ShapeService, "critical", 1, 1)
			x.direct()
			if j.Located() != 1 || len(low.tasks) != 3 {
				return fmt.Sprintf("%d replicas, %d queued", j.Located(), len(low.tasks))
			}
			return ""
		}},
		{"its team is at its limit: as much of its lower work as it takes is stopped", 4, func(x *bench) string {
			low := x.job("red", wire.ShapeBatch, "low", 4, 1)
			other := x.job("blue", wire.ShapeBatch, "low", 2, 1)
			x.b.Draw(x.now)
			for range 2 {
				for _, m := range x.reg.All() {
					x.report(m)
				}
			}
			j := x.job("red", wire.ShapeService, "critical", 1, 1)
			for range 5 {
				x.direct()
			}
			stopping := func(job *Job) (n int) {
				for _, t := range job.tasks {
					if t.phase == Stopping {
						n++
					}
				}
				return n
			}
			if stopping(low) != 1 || stopping(other) != 0 || j.Located() != 0 {
				return fmt.Sprintf("%d of its team's and %d of another's stopped, %d replicas", stopping(low), stopping(other), j.Located())
			}
			for _, t := range low.sorted() {
				if t.phase == Stopping {
					x.report(t.at, wire.TaskStatus{Name: t.Name(), State: wire.TaskExited, ExitReason: wire.ExitStopped})
				}
			}
			x.direct()
			if j.Located() != 1 {
				return "not started"
			}
			return ""
		}},
		{"its team is at its limit with work as important: nothing is stopped", 4, func(x *bench) string {
			same := x.job("red", wire.ShapeBatch, "critical", 4, 1)
			x.b.Draw(x.now)
			for range 2 {
				for _, m := range x.reg.All() {
					x.report(m)
				}
			}
			j := x.job("red", wire.ShapeService, "critical", 1, 1)
			x.direct()
			for _, t := range same.tasks {
				if t.phase == Stopping {
					return "stopped " + t.Name()
				}
			}
			if j.Located() != 0 || j.WaitsFor() != "team's limit" {
				return "waits for " + j.WaitsFor()
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
