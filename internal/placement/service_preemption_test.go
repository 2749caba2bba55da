package placement

import (
	"testing"

	"juniperchute/internal/wire"
)

// Work of lower priority is preempted for a replica that fits on no machine, or whose team is
// at its limit. The limit of team red is 4 GPUs.
func TestServicePreemption(t *testing.T) {
	runServiceCases(t, []serviceCase{
		{name: "work of lower priority is preempted", machines: 1, run: lowerWorkIsPreempted},
		{
			name:     "at the team's limit queued work of lower priority is requeued",
			machines: 4,
			run:      queuedWorkIsRequeuedForQuota,
		},
		{
			name:     "at the team's limit only as much running work as needed is stopped",
			machines: 4,
			run:      runningWorkIsPreemptedForQuota,
		},
		{
			name:     "at the team's limit work of equal priority is not stopped",
			machines: 4,
			run:      equalWorkIsNotPreemptedForQuota,
		},
	})
}

// stoppingTasks returns the job's tasks in phase Stopping.
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
		t.Fatalf("%d tasks stopped, want 1", len(stopping))
	}
	h.heartbeat(machine, exited(stopping[0].Name(), wire.ExitStopped))
	h.deliverDirectCommands()
	if service.AssignedTasks() != 1 {
		t.Error("replica not started after the preempted task exited")
	}
}

func queuedWorkIsRequeuedForQuota(t *testing.T, h *testHarness) {
	low := h.addJob("red", wire.ShapeBatch, "low", 4, 1)
	h.scheduler.Schedule(h.now)
	if len(low.tasks) != 4 {
		t.Fatal("tasks of the array not queued")
	}
	service := h.addJob("red", wire.ShapeService, "critical", 1, 1)
	h.deliverDirectCommands()
	if service.AssignedTasks() != 1 || len(low.tasks) != 3 {
		t.Errorf("%d replicas assigned, %d tasks queued, want 1 and 3", service.AssignedTasks(), len(low.tasks))
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
		t.Fatalf("%d tasks of the team and %d of another stopped, %d replicas assigned, want 1, 0 and 0",
			len(stopping), len(stoppingTasks(other)), service.AssignedTasks())
	}
	for _, task := range stopping {
		h.heartbeat(task.machine, exited(task.Name(), wire.ExitStopped))
	}
	h.deliverDirectCommands()
	if service.AssignedTasks() != 1 {
		t.Error("replica not started after the preempted task exited")
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
		t.Errorf("%d replicas assigned, pending reason %q", service.AssignedTasks(), service.PendingReason())
	}
}
