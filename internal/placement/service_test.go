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

// deliverDirect lets the board send what does not wait for reports, and the machines answer.
func (h *testHarness) deliverDirect() string {
	h.t.Helper()
	h.now = h.now.Add(tuning.PassInterval)
	h.scheduler.Schedule(h.now)
	sent := ""
	for _, machine := range h.scheduler.UrgentMachines(h.now) {
		commands := h.scheduler.Commands(h.now, machine, DirectCommand)
		sent += h.describe(commands)
		h.scheduler.SettleDirectCommands(machine, commands)
		h.heartbeat(machine)
	}
	return sent
}

// twoZones puts every other machine into another zone.
func (h *testHarness) twoZones() {
	h.scheduler.platform.Zones = []string{"a", "b"}
	for i, machine := range h.registry.All() {
		machine.Zone = h.scheduler.platform.Zones[i%2]
	}
}

// machinesOf names the machines of a service's replicas.
func (h *testHarness) machinesOf(job *Job) map[string]int {
	counts := map[string]int{}
	for _, task := range job.tasks {
		if task.machine != nil {
			counts[task.machine.Host]++
		}
	}
	return counts
}

// A replica is handed out at once, by a direct command, with few of its siblings beside
// it; it runs again when it ends, fails or has to move; lower work gives way to it.
func TestServices(t *testing.T) {
	service := func(h *testHarness, tasks int) *Job { return h.addJob("blue", wire.ShapeService, "critical", tasks, 0) }
	for _, c := range []struct {
		name     string
		machines int
		play     func(h *testHarness) string
	}{
		{"at once, one a machine", 3, func(h *testHarness) string {
			job := service(h, 3)
			if sent := h.deliverDirect(); strings.Count(sent, "run ") != 3 || len(h.machinesOf(job)) != 3 {
				return "sent " + sent
			}
			return ""
		}},
		{"more replicas than machines", 2, func(h *testHarness) string {
			job := service(h, 4)
			h.deliverDirect()
			if on := h.machinesOf(job); on["i-0"] != 2 || on["i-1"] != 2 {
				return "not spread"
			}
			return ""
		}},
		{"not on spot while there are others", 2, func(h *testHarness) string {
			h.registry.All()[0].Spot = true
			job := service(h, 2)
			job.Spec.Spot = true
			h.deliverDirect()
			if on := h.machinesOf(job); on["i-1"] != 1 || on["i-0"] != 1 {
				return "siblings share a machine"
			}
			second := service(h, 1)
			second.Spec.Spot = true
			h.deliverDirect()
			if h.machinesOf(second)["i-1"] != 1 {
				return "on spot"
			}
			return ""
		}},
		{"one that ends runs again, and is never done", 1, func(h *testHarness) string {
			job := service(h, 1)
			h.deliverDirect()
			machine := h.registry.All()[0]
			h.now = h.now.Add(tuning.ServiceHealthyAfter + time.Second)
			h.heartbeat(machine, wire.TaskStatus{Name: job.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitDone})
			if sent := h.deliverDirect(); job.CompletedTasks() != 0 || !strings.Contains(sent, "run ") && job.AssignedTasks() != 1 {
				return "not started again: " + sent
			}
			return ""
		}},
		{"one that ends as it begins waits", 1, func(h *testHarness) string {
			job := service(h, 1)
			h.deliverDirect()
			h.heartbeat(h.registry.All()[0], wire.TaskStatus{Name: job.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitDone})
			if h.deliverDirect(); job.AssignedTasks() != 0 {
				return "started again at once"
			}
			h.now = h.now.Add(tuning.RetryInitial + time.Second)
			if h.deliverDirect(); job.AssignedTasks() != 1 {
				return "not started again"
			}
			return ""
		}},
		{"lower work gives way", 1, func(h *testHarness) string {
			low := h.addJob("blue", wire.ShapeBatch, "low", 2, 1) // ten of the twelve CPUs
			machine := h.registry.All()[0]
			h.scheduler.Schedule(h.now)
			h.heartbeat(machine)
			h.heartbeat(machine)
			job := service(h, 1)
			h.deliverDirect()
			stopping := ""
			for _, t := range low.tasksByIndex() {
				if t.phase == Stopping {
					stopping += t.Name()
				}
			}
			if stopping == "" || strings.Count(stopping, "job-") != 1 {
				return "stopped: " + stopping
			}
			h.heartbeat(machine, wire.TaskStatus{Name: stopping, State: wire.TaskExited, ExitReason: wire.ExitStopped})
			h.deliverDirect()
			if job.AssignedTasks() != 1 {
				return "the replica did not get the room"
			}
			return ""
		}},
		{"its machine is recalled: stopped only when another takes it at once", 2, func(h *testHarness) string {
			job := service(h, 1)
			h.deliverDirect()
			from := h.scheduler.capacity.info(job.tasks[0].machine)
			other := h.registry.All()[0]
			if other == from.machine {
				other = h.registry.All()[1]
			}
			delete(other.Images, "img")
			from.machine.PreemptionTime = h.now.Add(30 * time.Second)
			h.now = h.now.Add(time.Second)
			if sent := h.deliverDirect(); strings.Contains(sent, "stop") {
				return "stopped before its image is anywhere else"
			}
			other.Images["img"] = h.now
			h.now = h.now.Add(time.Second)
			if sent := h.deliverDirect(); !strings.Contains(sent, "stop") {
				return "not moved"
			}
			h.heartbeat(from.machine, wire.TaskStatus{Name: job.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitStopped})
			h.deliverDirect()
			if h.machinesOf(job)[other.Host] != 1 {
				return "not started on the other machine"
			}
			return ""
		}},
		{"its machine is recalled and no other has its image: moved at the last moment", 2, func(h *testHarness) string {
			job := service(h, 1)
			h.deliverDirect()
			from := job.tasks[0].machine
			for _, machine := range h.registry.All() {
				if machine != from {
					delete(machine.Images, "img")
				}
			}
			from.PreemptionTime = h.now.Add(30 * time.Second)
			h.now = h.now.Add(28 * time.Second)
			if sent := h.deliverDirect(); !strings.Contains(sent, "stop") {
				return "left to go with its machine"
			}
			return ""
		}},
		{"one that fails everywhere backs off and blames no machine", 4, func(h *testHarness) string {
			job := service(h, 1)
			starts := 0
			for range 40 {
				h.deliverDirect()
				for _, machine := range h.registry.All() {
					if h.machinesOf(job)[machine.Host] > 0 {
						starts++
						h.heartbeat(machine, wire.TaskStatus{Name: job.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitError})
					}
				}
				h.now = h.now.Add(time.Second)
			}
			for _, machine := range h.registry.All() {
				if machine.Quarantined {
					return "blamed " + machine.Host
				}
			}
			if starts < 4 || starts > 12 {
				return "not backed off"
			}
			return ""
		}},
		{"one that served well and then fails on some machines is not at fault", 5, func(h *testHarness) string {
			job := service(h, 1)
			h.deliverDirect()
			h.now = h.now.Add(tuning.ServiceHealthyAfter + time.Second)
			for range 4 {
				for _, machine := range h.registry.All() {
					if h.machinesOf(job)[machine.Host] > 0 {
						h.heartbeat(machine)
						h.heartbeat(machine, wire.TaskStatus{Name: job.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitError})
						break
					}
				}
				h.now = h.now.Add(tuning.RetryInitial + 100*time.Millisecond)
				if h.deliverDirect(); job.AssignedTasks() != 1 {
					return "held back"
				}
			}
			return ""
		}},
		{"its age raises it over nobody", 1, func(h *testHarness) string {
			old := h.addJob("blue", wire.ShapeService, "low", 9, 0)
			h.now = h.now.Add(tuning.StarvationTimeout + time.Hour)
			young := h.addJob("blue", wire.ShapeBatch, "normal", 1, 1)
			h.scheduler.Schedule(h.now)
			if old.starving(h.now) || old.starvationBoost(h.now) != 0 || old.effectivePriority > young.effectivePriority {
				return "raised"
			}
			return ""
		}},
		{"a machine with a replica is not emptied", 2, func(h *testHarness) string {
			service(h, 2)
			h.deliverDirect()
			h.now = h.now.Add(time.Minute)
			h.scheduler.consolidator.consolidate(h.now)
			for _, machine := range h.registry.All() {
				if machine.Cordoned {
					return "emptied " + machine.Host
				}
			}
			return ""
		}},
		{"one that ends at once again and again is started less and less often", 1, func(h *testHarness) string {
			job := service(h, 1)
			starts := 0
			for range 120 {
				h.deliverDirect()
				h.now = h.now.Add(time.Second)
				for _, machine := range h.registry.All() {
					if h.machinesOf(job)[machine.Host] > 0 {
						starts++
						h.heartbeat(machine, wire.TaskStatus{Name: job.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitDone})
					}
				}
			}
			if starts < 5 || starts > 10 {
				return fmt.Sprintf("%d starts in two minutes", starts)
			}
			return ""
		}},
		{"its machine hangs: it runs elsewhere only once the lease is over", 2, func(h *testHarness) string {
			job := service(h, 1)
			h.deliverDirect()
			at := job.tasks[0].machine
			h.registry.SetState(h.now, at, worker.Unresponsive, "test")
			for range 50 {
				if sent := h.deliverDirect(); strings.Contains(sent, "run ") {
					return "started beside the one that hangs"
				}
			}
			h.registry.SetState(h.now, at, worker.LeaseExpired, "test")
			h.scheduler.ReleaseMachine(h.now, at, "test")
			if h.deliverDirect(); job.AssignedTasks() != 1 || h.machinesOf(job)[at.Host] != 0 {
				return "not started elsewhere"
			}
			return ""
		}},
		{"cancelled while it moves: stopped, and started nowhere", 2, func(h *testHarness) string {
			job := service(h, 1)
			h.deliverDirect()
			from := job.tasks[0].machine
			from.PreemptionTime = h.now.Add(30 * time.Second)
			h.now = h.now.Add(time.Second)
			if sent := h.deliverDirect(); !strings.Contains(sent, "stop") {
				return "does not move"
			}
			h.scheduler.CloseJob(h.now, job.Spec.ID, h.now.Add(time.Minute))
			h.heartbeat(from, wire.TaskStatus{Name: job.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitStopped})
			for range 20 {
				if sent := h.deliverDirect(); strings.Contains(sent, "run ") {
					return "started again"
				}
			}
			if job.AssignedTasks() != 0 {
				return "left on a machine"
			}
			return ""
		}},
		{"apart, its machine is recalled: it moves within its zone", 4, func(h *testHarness) string {
			h.twoZones()
			job := service(h, 2)
			job.Spec.SpreadAcrossZones = true
			h.deliverDirect()
			if zones := job.tasksByZone(assignedTasks); zones["a"] != 1 || zones["b"] != 1 {
				return "not apart"
			}
			from := job.tasks[0].machine
			for _, machine := range h.registry.All() {
				if machine.Zone != from.Zone && h.machinesOf(job)[machine.Host] == 0 {
					machine.Quarantined = true // only a machine of the same zone is left
				}
			}
			from.PreemptionTime = h.now.Add(30 * time.Second)
			h.now = h.now.Add(time.Second)
			if sent := h.deliverDirect(); !strings.Contains(sent, "stop") {
				return "does not move while there is a place"
			}
			zone := from.Zone
			h.heartbeat(from, wire.TaskStatus{Name: job.Spec.ID + "/0", State: wire.TaskExited, ExitReason: wire.ExitStopped})
			h.deliverDirect()
			if at := job.tasks[0].machine; at == nil || at.Zone != zone || at == from {
				return "not moved within its zone"
			}
			return ""
		}},
		{"together, a machine is lost: its replica stays in the zone of the others", 4, func(h *testHarness) string {
			h.twoZones()
			job := service(h, 2)
			job.Spec.SameZone = true
			h.deliverDirect()
			zone := job.tasks[1].machine.Zone
			lost := job.tasks[0].machine
			h.registry.SetState(h.now, lost, worker.LeaseExpired, "test")
			h.scheduler.ReleaseMachine(h.now, lost, "test")
			h.deliverDirect()
			if at := job.tasks[0].machine; at == nil || at.Zone != zone {
				return "in another zone"
			}
			return ""
		}},
		{"its team is at its limit: queued lower work goes back, and the replica starts", 4, func(h *testHarness) string {
			low := h.addJob("red", wire.ShapeBatch, "low", 4, 1) // the limit is 4 GPUs
			h.scheduler.Schedule(h.now)
			if len(low.tasks) != 4 {
				return "not queued"
			}
			job := h.addJob("red", wire.ShapeService, "critical", 1, 1)
			h.deliverDirect()
			if job.AssignedTasks() != 1 || len(low.tasks) != 3 {
				return fmt.Sprintf("%d replicas, %d queued", job.AssignedTasks(), len(low.tasks))
			}
			return ""
		}},
		{"its team is at its limit: as much of its lower work as it takes is stopped", 4, func(h *testHarness) string {
			low := h.addJob("red", wire.ShapeBatch, "low", 4, 1)
			other := h.addJob("blue", wire.ShapeBatch, "low", 2, 1)
			h.scheduler.Schedule(h.now)
			for range 2 {
				for _, machine := range h.registry.All() {
					h.heartbeat(machine)
				}
			}
			job := h.addJob("red", wire.ShapeService, "critical", 1, 1)
			for range 5 {
				h.deliverDirect()
			}
			stopping := func(job *Job) (n int) {
				for _, t := range job.tasks {
					if t.phase == Stopping {
						n++
					}
				}
				return n
			}
			if stopping(low) != 1 || stopping(other) != 0 || job.AssignedTasks() != 0 {
				return fmt.Sprintf("%d of its team's and %d of another's stopped, %d replicas", stopping(low), stopping(other), job.AssignedTasks())
			}
			for _, t := range low.tasksByIndex() {
				if t.phase == Stopping {
					h.heartbeat(t.machine, wire.TaskStatus{Name: t.Name(), State: wire.TaskExited, ExitReason: wire.ExitStopped})
				}
			}
			h.deliverDirect()
			if job.AssignedTasks() != 1 {
				return "not started"
			}
			return ""
		}},
		{"its team is at its limit with work as important: nothing is stopped", 4, func(h *testHarness) string {
			same := h.addJob("red", wire.ShapeBatch, "critical", 4, 1)
			h.scheduler.Schedule(h.now)
			for range 2 {
				for _, machine := range h.registry.All() {
					h.heartbeat(machine)
				}
			}
			job := h.addJob("red", wire.ShapeService, "critical", 1, 1)
			h.deliverDirect()
			for _, t := range same.tasks {
				if t.phase == Stopping {
					return "stopped " + t.Name()
				}
			}
			if job.AssignedTasks() != 0 || job.PendingReason() != "team's limit" {
				return "waits for " + job.PendingReason()
			}
			return ""
		}},
		{"a lost machine's replica runs elsewhere at once", 2, func(h *testHarness) string {
			job := service(h, 1)
			h.deliverDirect()
			at := job.tasks[0].machine
			h.registry.SetState(h.now, at, worker.LeaseExpired, "test")
			h.scheduler.ReleaseMachine(h.now, at, "test")
			if sent := h.deliverDirect(); !strings.Contains(sent, "run ") || h.machinesOf(job)[at.Host] != 0 {
				return "sent " + sent
			}
			return ""
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.machines)
			for _, machine := range h.registry.All() {
				machine.Images["img"] = h.now
			}
			if problem := c.play(h); problem != "" {
				t.Error(problem)
			}
		})
	}
}
