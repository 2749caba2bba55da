package placement

import (
	"strings"
	"testing"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// serviceCase is a scenario with services. Each machine has the jobs' image.
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

// startService adds a service and lets its replicas start.
func (h *testHarness) startService(replicas int) *Job {
	service := h.addService(replicas)
	h.deliverDirectCommands()
	return service
}

// machinesOf counts a service's replicas by the name of their machine.
func (h *testHarness) machinesOf(service *Job) map[string]int {
	counts := map[string]int{}
	for _, task := range service.tasks {
		if task.machine != nil {
			counts[task.machine.Host]++
		}
	}
	return counts
}

// hosts reports whether a replica of a service is on a machine.
func (h *testHarness) hosts(machine *worker.Machine, service *Job) bool {
	return h.machinesOf(service)[machine.Host] > 0
}

// replicaExited is the status of a service's first replica that has exited.
func replicaExited(service *Job, reason string) wire.TaskStatus {
	return exited(service.Spec.ID+"/0", reason)
}

// A replica is dispatched at once, by a direct command, with few of its
// siblings beside it.
func TestServicePlacement(t *testing.T) {
	runServiceCases(t, []serviceCase{
		{name: "at once, one a machine", machines: 3, run: replicasStartAtOnce},
		{name: "more replicas than machines", machines: 2, run: replicasAreSpread},
		{name: "not on spot while there are others", machines: 2, run: replicasAvoidSpot},
		{name: "its age raises it over nobody", machines: 1, run: servicesDoNotAge},
		{name: "a machine with a replica is not emptied", machines: 2, run: replicasAreNotConsolidated},
	})
}

func replicasStartAtOnce(t *testing.T, h *testHarness) {
	service := h.addService(3)
	if sent := h.deliverDirectCommands(); strings.Count(sent, "run ") != 3 || len(h.machinesOf(service)) != 3 {
		t.Error("sent " + sent)
	}
}

func replicasAreSpread(t *testing.T, h *testHarness) {
	service := h.startService(4)
	if on := h.machinesOf(service); on["i-0"] != 2 || on["i-1"] != 2 {
		t.Error("not spread")
	}
}

func replicasAvoidSpot(t *testing.T, h *testHarness) {
	h.registry.All()[0].Spot = true
	service := h.addService(2)
	service.Spec.Spot = true
	h.deliverDirectCommands()
	if on := h.machinesOf(service); on["i-1"] != 1 || on["i-0"] != 1 {
		t.Fatal("siblings share a machine")
	}
	second := h.addService(1)
	second.Spec.Spot = true
	h.deliverDirectCommands()
	if h.machinesOf(second)["i-1"] != 1 {
		t.Error("on spot")
	}
}

func servicesDoNotAge(t *testing.T, h *testHarness) {
	old := h.addJob("blue", wire.ShapeService, "low", 9, 0)
	h.now = h.now.Add(tuning.StarvationTimeout + time.Hour)
	young := h.addJob("blue", wire.ShapeBatch, "normal", 1, 1)
	h.scheduler.Schedule(h.now)
	raised := old.starving(h.now) || old.starvationBoost(h.now) != 0
	if raised || old.effectivePriority > young.effectivePriority {
		t.Error("raised")
	}
}

func replicasAreNotConsolidated(t *testing.T, h *testHarness) {
	h.startService(2)
	h.now = h.now.Add(time.Minute)
	h.scheduler.consolidator.consolidate(h.now)
	for _, machine := range h.registry.All() {
		if machine.Cordoned {
			t.Error("emptied " + machine.Host)
		}
	}
}
