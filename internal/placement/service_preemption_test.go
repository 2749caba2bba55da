package placement

import (
	"testing"

	"juniperchute/internal/wire"
)

// Work of lower priority is preempted for a replica where there is no room, and
// where its team is at its limit. The limit of the team red is 4 GPUs.
func TestServicePreemption(t *testing.T) {
	runServiceCases(t, []serviceCase{
		{name: "lower work is preempted", machines: 1, run: lowerWorkIsPreempted},
		{
			name:     "its team is at its limit: queued lower work is requeued, and the replica starts",
			machines: 4,
			run:      queuedWorkIsRequeuedForQuota,
		},
		{
			name:     "its team is at its limit: as much of its lower work as it takes is stopped",
			machines: 4,
			run:      runningWorkIsPreemptedForQuota,
		},
		{
			name:     "its team is at its limit with work as important: nothing is stopped",
			machines: 4,
			run:      equalWorkIsNotPreemptedForQuota,
		},
	})
}

// stoppingTasks lists the job's tasks that are being stopped.
func stoppingTasks(job *Job) (tasks []*Task) {
	for _, task := range job.tasksByIndex() {
		if task.phase == Stopping {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

func lowerWorkIsPreempted(t *testing.T, h *testHarness) {
	low := h.addJob("blue", wire.ShapeBatch, "low", 2, 1) // ten of the twelve CPUs
	machine := h.registry.All()[0]
	h.scheduler.Schedule(h.now)
	h.heartbeat(machine)
	h.heartbeat(machine)
	service := h.startService(1)
	stopping := stoppingTasks(low)
	if len(stopping) != 1 {
		t.Fatalf("%d tasks stopped", len(stopping))
	}
	h.heartbeat(machine, exited(stopping[0].Name(), wire.ExitStopped))
	h.deliverDirectCommands()
	if service.AssignedTasks() != 1 {
		t.Error("the replica did not get the room")
	}
}

func queuedWorkIsRequeuedForQuota(t *testing.T, h *testHarness) {
	low := h.addJob("red", wire.ShapeBatch, "low", 4, 1)
	h.scheduler.Schedule(h.now)
	if len(low.tasks) != 4 {
		t.Fatal("not queued")
	}
	service := h.addJob("red", wire.ShapeService, "critical", 1, 1)
	h.deliverDirectCommands()
	if service.AssignedTasks() != 1 || len(low.tasks) != 3 {
		t.Errorf("%d replicas, %d queued", service.AssignedTasks(), len(low.tasks))
	}
}

func runningWorkIsPreemptedForQuota(t *testing.T, h *testHarness) {
	low := h.addJob("red", wire.ShapeBatch, "low", 4, 1)
	other := h.addJob("blue", wire.ShapeBatch, "low", 2, 1)
	h.scheduler.Schedule(h.now)
	h.heartbeatAll(2)
	service := h.addJob("red", wire.ShapeService, "critical", 1, 1)
	for range 5 {
		h.deliverDirectCommands()
	}
	stopping := stoppingTasks(low)
	if len(stopping) != 1 || len(stoppingTasks(other)) != 0 || service.AssignedTasks() != 0 {
		t.Fatalf("%d of its team's and %d of another's stopped, %d replicas",
			len(stopping), len(stoppingTasks(other)), service.AssignedTasks())
	}
	for _, task := range stopping {
		h.heartbeat(task.machine, exited(task.Name(), wire.ExitStopped))
	}
	h.deliverDirectCommands()
	if service.AssignedTasks() != 1 {
		t.Error("not started")
	}
}

func equalWorkIsNotPreemptedForQuota(t *testing.T, h *testHarness) {
	same := h.addJob("red", wire.ShapeBatch, "critical", 4, 1)
	h.scheduler.Schedule(h.now)
	h.heartbeatAll(2)
	service := h.addJob("red", wire.ShapeService, "critical", 1, 1)
	h.deliverDirectCommands()
	for _, task := range stoppingTasks(same) {
		t.Fatal("stopped " + task.Name())
	}
	if service.AssignedTasks() != 0 || service.PendingReason() != "team's limit" {
		t.Error("waits for " + service.PendingReason())
	}
}
