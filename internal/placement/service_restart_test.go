package placement

import (
	"strings"
	"testing"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// A replica runs again when it ends, fails, or its machine is lost, after a
// pause while none of its service lasts.
func TestServiceRestart(t *testing.T) {
	runServiceCases(t, []serviceCase{
		{name: "one that ends runs again, and is never completed", machines: 1, run: endedReplicaRestarts},
		{name: "one that ends as it starts waits", machines: 1, run: shortRunWaits},
		{name: "one that ends at once again and again is started less often", machines: 1, run: shortRunsBackOff},
		{name: "one that fails everywhere backs off and blames no machine", machines: 4, run: failingServiceBacksOff},
		{
			name:     "one that ran well and then fails on some machines is not at fault",
			machines: 5,
			run:      healthyServiceIsNotBlamed,
		},
		{name: "a lost machine's replica runs elsewhere at once", machines: 2, run: lostReplicaRestarts},
		{
			name:     "its machine hangs: it runs elsewhere only once the lease has expired",
			machines: 2,
			run:      unresponsiveReplicaWaits,
		},
	})
}

func endedReplicaRestarts(t *testing.T, h *testHarness) {
	service := h.startService(1)
	h.now = h.now.Add(tuning.ServiceHealthyAfter + time.Second)
	h.heartbeat(h.registry.All()[0], replicaExited(service, wire.ExitDone))
	sent := h.deliverDirectCommands()
	started := strings.Contains(sent, "run ") || service.AssignedTasks() == 1
	if service.CompletedTasks() != 0 || !started {
		t.Error("not started again: " + sent)
	}
}

func shortRunWaits(t *testing.T, h *testHarness) {
	service := h.startService(1)
	h.heartbeat(h.registry.All()[0], replicaExited(service, wire.ExitDone))
	if h.deliverDirectCommands(); service.AssignedTasks() != 0 {
		t.Fatal("started again at once")
	}
	h.now = h.now.Add(tuning.RetryInitial + time.Second)
	if h.deliverDirectCommands(); service.AssignedTasks() != 1 {
		t.Error("not started again")
	}
}

// exitReplicas lets the machines with a replica of a service report its exit,
// and counts them.
func (h *testHarness) exitReplicas(service *Job, reason string) (exits int) {
	for _, machine := range h.registry.All() {
		if h.hosts(machine, service) {
			exits++
			h.heartbeat(machine, replicaExited(service, reason))
		}
	}
	return exits
}

func shortRunsBackOff(t *testing.T, h *testHarness) {
	service := h.addService(1)
	starts := 0
	for range 120 {
		h.deliverDirectCommands()
		h.now = h.now.Add(time.Second)
		starts += h.exitReplicas(service, wire.ExitDone)
	}
	if starts < 5 || starts > 10 {
		t.Errorf("%d starts in two minutes", starts)
	}
}

func failingServiceBacksOff(t *testing.T, h *testHarness) {
	service := h.addService(1)
	starts := 0
	for range 40 {
		h.deliverDirectCommands()
		starts += h.exitReplicas(service, wire.ExitError)
		h.now = h.now.Add(time.Second)
	}
	for _, machine := range h.registry.All() {
		if machine.Quarantined {
			t.Fatal("blamed " + machine.Host)
		}
	}
	if starts < 4 || starts > 12 {
		t.Error("not backed off")
	}
}

func healthyServiceIsNotBlamed(t *testing.T, h *testHarness) {
	service := h.startService(1)
	h.now = h.now.Add(tuning.ServiceHealthyAfter + time.Second)
	for range 4 {
		for _, machine := range h.registry.All() {
			if h.hosts(machine, service) {
				h.heartbeat(machine)
				h.heartbeat(machine, replicaExited(service, wire.ExitError))
				break
			}
		}
		h.now = h.now.Add(tuning.RetryInitial + 100*time.Millisecond)
		if h.deliverDirectCommands(); service.AssignedTasks() != 1 {
			t.Fatal("held back")
		}
	}
}

func lostReplicaRestarts(t *testing.T, h *testHarness) {
	service := h.startService(1)
	lost := service.tasks[0].machine
	h.expireLease(lost)
	if sent := h.deliverDirectCommands(); !strings.Contains(sent, "run ") || h.hosts(lost, service) {
		t.Error("sent " + sent)
	}
}

func unresponsiveReplicaWaits(t *testing.T, h *testHarness) {
	service := h.startService(1)
	hanging := service.tasks[0].machine
	h.registry.SetState(h.now, hanging, worker.Unresponsive, "test")
	for range 50 {
		if sent := h.deliverDirectCommands(); strings.Contains(sent, "run ") {
			t.Fatal("started beside the one that hangs")
		}
	}
	h.expireLease(hanging)
	if h.deliverDirectCommands(); service.AssignedTasks() != 1 || h.hosts(hanging, service) {
		t.Error("not started elsewhere")
	}
}
