package placement

import (
	"strings"
	"testing"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// A replica restarts after it exits, fails or loses its machine. The restart is delayed by a
// backoff while no replica of the service runs long enough to count as healthy.
func TestServiceRestart(t *testing.T) {
	runServiceCases(t, []serviceCase{
		{name: "an exited replica restarts and never completes", machines: 1, run: exitedReplicaRestarts},
		{name: "a replica with a short run restarts after a backoff", machines: 1, run: shortRunBacksOff},
		{name: "repeated short runs increase the backoff", machines: 1, run: repeatedShortRunsBackOff},
		{
			name:     "a replica that fails everywhere backs off and no machine is quarantined",
			machines: 4,
			run:      failingServiceBacksOff,
		},
		{
			name:     "failures after a healthy run do not delay restarts",
			machines: 5,
			run:      healthyServiceIsNotDelayed,
		},
		{name: "a lost machine's replica restarts elsewhere at once", machines: 2, run: lostReplicaRestarts},
		{
			name:     "an unresponsive machine's replica restarts only after lease expiry",
			machines: 2,
			run:      unresponsiveReplicaWaits,
		},
	})
}

func exitedReplicaRestarts(t *testing.T, h *testHarness) {
	service := h.startService(1)
	h.now = h.now.Add(tuning.ServiceHealthyAfter + time.Second)
	h.heartbeat(h.registry.All()[0], replicaExited(service, wire.ExitDone))
	sent := h.deliverDirectCommands()
	started := strings.Contains(sent, "run ") || service.AssignedTasks() == 1
	if service.CompletedTasks() != 0 || !started {
		t.Error("replica not restarted, sent " + sent)
	}
}

func shortRunBacksOff(t *testing.T, h *testHarness) {
	service := h.startService(1)
	h.heartbeat(h.registry.All()[0], replicaExited(service, wire.ExitDone))
	if h.deliverDirectCommands(); service.AssignedTasks() != 0 {
		t.Fatal("replica restarted without a backoff")
	}
	h.now = h.now.Add(tuning.TaskBackoffInitial + time.Second)
	if h.deliverDirectCommands(); service.AssignedTasks() != 1 {
		t.Error("replica not restarted after the backoff")
	}
}

// exitReplicas lets each machine with a replica of the service report its exit, and
// returns the number of these machines.
func (h *testHarness) exitReplicas(service *Job, reason string) (exits int) {
	for _, machine := range h.registry.All() {
		if h.hosts(machine, service) {
			exits++
			h.heartbeat(machine, replicaExited(service, reason))
		}
	}
	return exits
}

func repeatedShortRunsBackOff(t *testing.T, h *testHarness) {
	service := h.addService(1)
	starts := 0
	for range 120 {
		h.deliverDirectCommands()
		h.now = h.now.Add(time.Second)
		starts += h.exitReplicas(service, wire.ExitDone)
	}
	if starts < 5 || starts > 10 {
		t.Errorf("%d starts in two minutes, want 5 to 10", starts)
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
			t.Fatal("quarantined " + machine.Host)
		}
	}
	if starts < 4 || starts > 12 {
		t.Errorf("%d starts in 40 s, want 4 to 12", starts)
	}
}

func healthyServiceIsNotDelayed(t *testing.T, h *testHarness) {
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
		h.now = h.now.Add(tuning.TaskBackoffInitial + 100*time.Millisecond)
		if h.deliverDirectCommands(); service.AssignedTasks() != 1 {
			t.Fatal("restart of a healthy service delayed")
		}
	}
}

func lostReplicaRestarts(t *testing.T, h *testHarness) {
	service := h.startService(1)
	lost := service.tasks[0].machine
	h.expireLease(lost)
	if sent := h.deliverDirectCommands(); !strings.Contains(sent, "run ") || h.hosts(lost, service) {
		t.Error("replica not restarted on the other machine, sent " + sent)
	}
}

func unresponsiveReplicaWaits(t *testing.T, h *testHarness) {
	service := h.startService(1)
	unresponsive := service.tasks[0].machine
	h.registry.SetState(h.now, unresponsive, worker.Unresponsive, "test")
	for range 50 {
		if sent := h.deliverDirectCommands(); strings.Contains(sent, "run ") {
			t.Fatal("second copy started before the lease expired")
		}
	}
	h.expireLease(unresponsive)
	if h.deliverDirectCommands(); service.AssignedTasks() != 1 || h.hosts(unresponsive, service) {
		t.Error("replica not restarted elsewhere after lease expiry")
	}
}
