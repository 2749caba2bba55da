package placement

import (
	"strings"
	"testing"
	"time"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// A replica on a machine with a preemption notice migrates before the preemption, and every
// restart respects the service's zone constraints.
func TestServiceMigration(t *testing.T) {
	runServiceCases(t, []serviceCase{
		{
			name:     "a replica stops only once another machine can start it at once",
			machines: 2,
			run:      replicaMigratesToCachedImage,
		},
		{
			name:     "without its image elsewhere a replica migrates just before preemption",
			machines: 2,
			run:      replicaMigratesAtLastMoment,
		},
		{
			name:     "a service cancelled during migration is not restarted",
			machines: 2,
			run:      cancelledReplicaStaysStopped,
		},
		{
			name:     "a replica of a spread service migrates within its zone",
			machines: 4,
			run:      spreadReplicaMigratesWithinZone,
		},
		{
			name:     "a replica of a single-zone service restarts in that zone",
			machines: 4,
			run:      lostReplicaStaysInZone,
		},
	})
}

// noticePreemption gives a machine a preemption notice of 30 s and advances the clock by the
// part that has passed.
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
		t.Fatal("replica stopped before another machine has its image")
	}
	other.Images[testImage] = h.now
	h.now = h.now.Add(time.Second)
	if sent := h.deliverDirectCommands(); !strings.Contains(sent, "stop") {
		t.Fatal("replica not stopped although another machine has its image")
	}
	h.heartbeat(from, replicaExited(service, wire.ExitStopped))
	h.deliverDirectCommands()
	if h.replicasByHost(service)[other.Host] != 1 {
		t.Error("replica not restarted on the other machine")
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
		t.Error("replica not stopped just before the preemption")
	}
}

func cancelledReplicaStaysStopped(t *testing.T, h *testHarness) {
	service := h.startService(1)
	from := service.tasks[0].machine
	h.noticePreemption(from, time.Second)
	if sent := h.deliverDirectCommands(); !strings.Contains(sent, "stop") {
		t.Fatal("replica not stopped for migration")
	}
	h.scheduler.CloseJob(h.now, service.Spec.ID, h.now.Add(time.Minute))
	h.heartbeat(from, replicaExited(service, wire.ExitStopped))
	for range 20 {
		if sent := h.deliverDirectCommands(); strings.Contains(sent, "run ") {
			t.Fatal("cancelled replica restarted")
		}
	}
	if service.AssignedTasks() != 0 {
		t.Error("cancelled replica still assigned")
	}
}

// splitIntoTwoZones assigns the machines to two zones in turn.
func (h *testHarness) splitIntoTwoZones() {
	zones := []string{"a", "b"}
	h.scheduler.platform.Zones = zones
	for i, machine := range h.registry.All() {
		machine.Zone = zones[i%2]
	}
}

func spreadReplicaMigratesWithinZone(t *testing.T, h *testHarness) {
	h.splitIntoTwoZones()
	service := h.addService(2)
	service.Spec.SpreadAcrossZones = true
	h.deliverDirectCommands()
	if zones := service.zones.tasksByZone(assignedTasks); zones["a"] != 1 || zones["b"] != 1 {
		t.Fatal("replicas not spread across zones")
	}
	from := service.tasks[0].machine
	for _, machine := range h.registry.All() {
		if machine.Zone != from.Zone && !h.hosts(machine, service) {
			machine.Quarantined = true // leaves only a machine in the same zone
		}
	}
	h.noticePreemption(from, time.Second)
	if sent := h.deliverDirectCommands(); !strings.Contains(sent, "stop") {
		t.Fatal("replica not stopped although a machine in its zone is free")
	}
	h.heartbeat(from, replicaExited(service, wire.ExitStopped))
	h.deliverDirectCommands()
	if to := service.tasks[0].machine; to == nil || to.Zone != from.Zone || to == from {
		t.Error("replica not migrated within its zone")
	}
}

func lostReplicaStaysInZone(t *testing.T, h *testHarness) {
	h.splitIntoTwoZones()
	service := h.addService(2)
	service.Spec.SameZone = true
	h.deliverDirectCommands()
	zone := service.tasks[1].machine.Zone
	h.expireLease(service.tasks[0].machine)
	h.deliverDirectCommands()
	if to := service.tasks[0].machine; to == nil || to.Zone != zone {
		t.Error("replica not restarted in the zone of the others")
	}
}
