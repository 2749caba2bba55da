package controller

import (
	"testing"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Guards against a service of as many replicas as a submission may have whose placement is one long event:
// no controller then answers users and workers, and each successor takes over the same event.
func TestLargestServiceLeavesOthersServed(t *testing.T) {
	const (
		machines  = 8
		minPlaced = 10000 // the workers start no more in that time: 300 in the response to each heartbeat
	)
	machineType := largeMachineType(2)
	sim := newSimulation(t, 1, testConfig(oneZone, limitedTeams, 3, 18), 1, []wire.MachineType{machineType})
	sim.cloud.Available[fakes.CapacityKey(machineType.Name, "a", false)] = machines
	other := sim.submitJob(sweepJob("job-0", "normal", 4, 300), 5*time.Minute)
	sim.runUntil("the other job runs", time.Minute, func() bool { return other.KnownState == wire.JobRunning })
	token := sim.leaseHolder().controller.terms[0].Token
	service := sweepJob("job-1", "critical", wire.MaxTasksPerJob, 0)
	service.Team, service.Class, service.Shape, service.SameZone = "free", "serve", wire.ShapeService, true
	service.Vcpus, service.Gpus, service.MemGB, service.ImageGB = 0.0001, 0, 0.001, 0.5
	sim.longestEvent = 0
	sim.submitJob(service, time.Hour)
	sim.runFor(10 * time.Second)
	sim.requireNoViolations()
	if sim.longestEvent > tuning.MemberLease {
		t.Errorf("an event took %v, want at most %v", sim.longestEvent, tuning.MemberLease)
	}
	holder := sim.leaseHolder()
	if holder == nil || holder.controller.terms[0].Token != token {
		t.Fatal("the lease holder has changed")
	}
	job := holder.controller.terms[0].Scheduler().OpenJob(service.ID)
	if job == nil || job.AssignedTasks() < minPlaced {
		t.Errorf("fewer than %d replicas placed after 10 s", minPlaced)
	}
}
