package placement

import (
	"strings"
	"testing"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// serviceCase is a scenario with services. Each machine has the services' image cached.
type serviceCase struct {
	name     string
	machines int
	run      func(t *testing.T, h *testHarness)
}

func runServiceCases(t *testing.T, cases []serviceCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.machines)
			for _, machine := range h.registry.All() {
				machine.Images[testImage] = h.now
			}
			c.run(t, h)
		})
	}
}

// addService adds a service whose replicas need no GPU.
func (h *testHarness) addService(replicas int) *Job {
	return h.addJob("blue", wire.ShapeService, "critical", replicas, 0)
}

// startService adds a service and delivers the commands that start its replicas.
func (h *testHarness) startService(replicas int) *Job {
	service := h.addService(replicas)
	h.deliverDirectCommands()
	return service
}

// replicasByHost counts a service's replicas by the host name of their machine.
func (h *testHarness) replicasByHost(service *Job) map[string]int {
	counts := map[string]int{}
	for _, task := range service.tasks {
		if task.machine != nil {
			counts[task.machine.Host]++
		}
	}
	return counts
}

// hosts reports whether a replica of the service is assigned to the machine.
func (h *testHarness) hosts(machine *worker.Machine, service *Job) bool {
	return h.replicasByHost(service)[machine.Host] > 0
}

// replicaExited returns the status of a service's first replica after its exit.
func replicaExited(service *Job, reason string) wire.TaskStatus {
	return exited(service.Spec.ID+"/0", reason)
}

// Replicas are dispatched at once by direct commands and spread over machines, on demand
// before spot. They are neither aged nor consolidated.
func TestServicePlacement(t *testing.T) {
	runServiceCases(t, []serviceCase{
		{name: "replicas start at once, one per machine", machines: 3, run: replicasStartAtOnce},
		{name: "more replicas than machines are spread evenly", machines: 2, run: replicasAreSpread},
		{name: "on-demand is preferred to spot", machines: 2, run: replicasAvoidSpot},
		{name: "waiting does not raise the priority", machines: 1, run: servicesDoNotAge},
		{name: "a machine with a replica is not consolidated", machines: 2, run: replicasAreNotConsolidated},
	})
}

func replicasStartAtOnce(t *testing.T, h *testHarness) {
	service := h.addService(3)
	if sent := h.deliverDirectCommands(); strings.Count(sent, "run ") != 3 || len(h.replicasByHost(service)) != 3 {
		t.Error("replicas not started on three machines, sent " + sent)
	}
}

func replicasAreSpread(t *testing.T, h *testHarness) {
	service := h.startService(4)
	if on := h.replicasByHost(service); on["i-0"] != 2 || on["i-1"] != 2 {
		t.Errorf("replicas by machine: %v, want 2 on each", on)
	}
}

func replicasAvoidSpot(t *testing.T, h *testHarness) {
	h.registry.All()[0].Spot = true
	service := h.addService(2)
	service.Spec.Spot = true
	h.deliverDirectCommands()
	if on := h.replicasByHost(service); on["i-1"] != 1 || on["i-0"] != 1 {
		t.Fatal("replicas of one service share a machine")
	}
	second := h.addService(1)
	second.Spec.Spot = true
	h.deliverDirectCommands()
	if h.replicasByHost(second)["i-1"] != 1 {
		t.Error("replica not on the on-demand machine")
	}
}

func servicesDoNotAge(t *testing.T, h *testHarness) {
	old := h.addJob("blue", wire.ShapeService, "low", 9, 0)
	h.now = h.now.Add(tuning.StarvationTimeout + time.Hour)
	young := h.addJob("blue", wire.ShapeBatch, "normal", 1, 1)
	h.scheduler.Schedule(h.now)
	raised := old.starving(h.now) || old.starvationBoost(h.now) != 0
	if raised || old.effectivePriority > young.effectivePriority {
		t.Error("priority of the service raised")
	}
}

func replicasAreNotConsolidated(t *testing.T, h *testHarness) {
	h.startService(2)
	h.now = h.now.Add(time.Minute)
	h.scheduler.consolidator.consolidate(h.now)
	for _, machine := range h.registry.All() {
		if machine.Cordoned {
			t.Error("cordoned " + machine.Host)
		}
	}
}
