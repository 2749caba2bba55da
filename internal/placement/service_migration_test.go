package placement

import (
	"strings"
	"testing"
	"time"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// A replica migrates when the cloud is about to preempt its machine, within
// what its service demands of zones.
func TestServiceMigration(t *testing.T) {
	runServiceCases(t, []serviceCase{
		{
			name:     "it is stopped only when another machine takes it at once",
			machines: 2,
			run:      replicaMigratesToCachedImage,
		},
		{
			name:     "no other machine has its image: it migrates at the last moment",
			machines: 2,
			run:      replicaMigratesAtLastMoment,
		},
		{
			name:     "cancelled while it migrates: stopped, and started nowhere",
			machines: 2,
			run:      cancelledReplicaStaysStopped,
		},
		{
			name:     "spread across zones: it migrates within its zone",
			machines: 4,
			run:      spreadReplicaMigratesWithinZone,
		},
		{
			name:     "in one zone, a machine is lost: its replica stays in the zone of the others",
			machines: 4,
			run:      lostReplicaStaysInZone,
		},
	})
}

// noticePreemption gives a machine a preemption notice of 30 s, of which some time has passed.
func (h *testHarness) noticePreemption(machine *worker.Machine, passed time.Duration) {
	machine.PreemptionTime = h.now.Add(30 * time.Second)
	h.now = h.now.Add(passed)
}

func replicaMigratesToCachedImage(t *testing.T, h *testHarness) {
	service := h.startService(1)
	from, other := service.tasks[0].machine, h.registry.All()[0]
	if other == from {
		other = h.registry.All()[1]
	}
	delete(other.Images, testImage)
	h.noticePreemption(from, time.Second)
	if sent := h.deliverDirectCommands(); strings.Contains(sent, "stop") {
		t.Fatal("stopped before its image is anywhere else")
	}
	other.Images[testImage] = h.now
	h.now = h.now.Add(time.Second)
	if sent := h.deliverDirectCommands(); !strings.Contains(sent, "stop") {
		t.Fatal("not stopped")
	}
	h.heartbeat(from, replicaExited(service, wire.ExitStopped))
	h.deliverDirectCommands()
	if h.machinesOf(service)[other.Host] != 1 {
		t.Error("not started on the other machine")
	}
}

func replicaMigratesAtLastMoment(t *testing.T, h *testHarness) {
	service := h.startService(1)
	from := service.tasks[0].machine
	for _, machine := range h.registry.All() {
		if machine != from {
			delete(machine.Images, testImage)
		}
	}
	h.noticePreemption(from, 28*time.Second)
	if sent := h.deliverDirectCommands(); !strings.Contains(sent, "stop") {
		t.Error("left to end with its machine")
	}
}

func cancelledReplicaStaysStopped(t *testing.T, h *testHarness) {
	service := h.startService(1)
	from := service.tasks[0].machine
	h.noticePreemption(from, time.Second)
	if sent := h.deliverDirectCommands(); !strings.Contains(sent, "stop") {
		t.Fatal("does not migrate")
	}
	h.scheduler.CloseJob(h.now, service.Spec.ID, h.now.Add(time.Minute))
	h.heartbeat(from, replicaExited(service, wire.ExitStopped))
	for range 20 {
		if sent := h.deliverDirectCommands(); strings.Contains(sent, "run ") {
			t.Fatal("started again")
		}
	}
	if service.AssignedTasks() != 0 {
		t.Error("left on a machine")
	}
}

// twoZones puts every other machine into another zone.
func (h *testHarness) twoZones() {
	zones := []string{"a", "b"}
	h.scheduler.platform.Zones = zones
	for i, machine := range h.registry.All() {
		machine.Zone = zones[i%2]
	}
}

func spreadReplicaMigratesWithinZone(t *testing.T, h *testHarness) {
	h.twoZones()
	service := h.addService(2)
	service.Spec.SpreadAcrossZones = true
	h.deliverDirectCommands()
	if zones := service.tasksByZone(assignedTasks); zones["a"] != 1 || zones["b"] != 1 {
		t.Fatal("not spread")
	}
	from := service.tasks[0].machine
	for _, machine := range h.registry.All() {
		if machine.Zone != from.Zone && !h.hosts(machine, service) {
			machine.Quarantined = true // only a machine of the same zone is left
		}
	}
	h.noticePreemption(from, time.Second)
	if sent := h.deliverDirectCommands(); !strings.Contains(sent, "stop") {
		t.Fatal("does not migrate while there is a place")
	}
	h.heartbeat(from, replicaExited(service, wire.ExitStopped))
	h.deliverDirectCommands()
	if to := service.tasks[0].machine; to == nil || to.Zone != from.Zone || to == from {
		t.Error("not migrated within its zone")
	}
}

func lostReplicaStaysInZone(t *testing.T, h *testHarness) {
	h.twoZones()
	service := h.addService(2)
	service.Spec.SameZone = true
	h.deliverDirectCommands()
	zone := service.tasks[1].machine.Zone
	h.expireLease(service.tasks[0].machine)
	h.deliverDirectCommands()
	if to := service.tasks[0].machine; to == nil || to.Zone != zone {
		t.Error("in another zone")
	}
}
