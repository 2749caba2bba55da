package placement

import (
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// testOffer is an offer of machines like those of the tests.
func testOffer(spot bool, price, bootSeconds float64) Offer {
	return Offer{
		Type: testMachineType, Zone: "a", Spot: spot, Capacity: testCapacity,
		Price: price, BootSeconds: bootSeconds, Available: 50,
	}
}

var replicaDemandCases = []struct {
	name    string
	staying int // machines without a preemption notice
	leaving int // machines with one, and two services' replicas each
	atLimit bool
	want    int // machines to be provisioned
}{
	{name: "no preemption notice", staying: 2},
	{name: "there is room elsewhere", staying: 2, leaving: 1},
	{name: "a wave takes more than there is room for", leaving: 3, want: 3},
	{name: "the same at the team's limit", leaving: 3, atLimit: true, want: 3},
}

// Replicas on machines that the cloud preempts need places by then: machines
// are provisioned for those that find none, also where their team is at its
// limit, and for no others.
func TestReplicasUnderPreemptionNotice(t *testing.T) {
	for _, c := range replicaDemandCases {
		t.Run(c.name, func(t *testing.T) {
			replicas := max(c.leaving, 1)
			h := newHarness(t, replicas)
			h.addLargeServices(replicas, c.atLimit)
			if c.atLimit {
				h.scheduler.ledger.SetUnknownUsage(quota.Resources{GPUs: 8}) // nothing more is admitted
			}
			for i, machine := range h.registry.All() {
				if i < c.leaving {
					machine.PreemptionTime = h.now.Add(12 * time.Second)
				}
			}
			for i := range c.staying {
				h.addMachine(fmt.Sprintf("i-9%d", i))
			}
			h.scheduler.jobs.seenClasses[testClass] = true
			got := h.scheduler.ProvisioningDemand(h.now, []Offer{testOffer(false, 3, 25)}, []int{0})
			// beside them, room for one more service is kept on two machines
			reserve := max(0, tuning.ReserveMachines-c.staying-replicas+c.leaving)
			if got[0] < c.want || got[0] > c.want+reserve {
				t.Errorf("%d machines to be provisioned, want %d and a reserve of %d at most", got[0], c.want, reserve)
			}
		})
	}
}

// addLargeServices starts two services with a replica on each machine: the two
// replicas on a machine leave no memory for a third.
func (h *testHarness) addLargeServices(replicas int, withGPU bool) {
	for range 2 {
		job := h.addJob("blue", wire.ShapeService, "critical", replicas, 0)
		job.Spec.MemGb, job.Spec.Vcpus = 40, 5
		job.need = quota.Resources{CPUs: 5, MemGB: 40}
		if withGPU {
			job.Spec.Gpus, job.need.GPUs = 1, 1
		}
	}
	for range 3 {
		h.deliverDirectCommands()
	}
}

var serviceReserveCases = []struct {
	name           string
	machines       int
	spot           bool // the machines are
	services       int
	startObjective string // a class that should start within 4 s
	bootSeconds    float64
	wantSpot       int
	wantOnDemand   int
}{
	{name: "no service", machines: 2, bootSeconds: 25},
	{name: "there is room on two", machines: 2, services: 1, bootSeconds: 25},
	{name: "on one machine only, and that is full", machines: 1, services: 1, bootSeconds: 25, wantOnDemand: 2},
	{name: "only spot machines", machines: 3, spot: true, services: 1, bootSeconds: 25, wantOnDemand: 2},
	{
		name:     "a class to start within four seconds of which no job has come",
		machines: 3, spot: true, startObjective: "portal", bootSeconds: 25,
		wantOnDemand: 1,
	},
	{name: "the same where machines boot in ten", machines: 3, spot: true, startObjective: "portal", bootSeconds: 10},
	{name: "one whose jobs have come", machines: 3, spot: true, startObjective: testClass, bootSeconds: 25},
}

// Room for the next service, or for the replicas of a lost machine, is there
// before it is needed, on two machines that are not spot, and no more than that.
func TestServiceReserve(t *testing.T) {
	for _, c := range serviceReserveCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.machines)
			for _, machine := range h.registry.All() {
				machine.Spot = c.spot
			}
			h.addJob("red", wire.ShapeBatch, "low", 1, 1).closed = true // its class has been seen
			h.scheduler.queue.open = nil
			if c.startObjective != "" {
				h.scheduler.platform.Objectives = append(h.scheduler.platform.Objectives,
					config.Objective{Kind: objectiveWait, Class: c.startObjective, WithinS: 4, Share: 0.8})
			}
			for range c.services {
				job := h.addJob("blue", wire.ShapeService, "critical", 2, 0)
				job.Spec.Spot = c.spot
				h.deliverDirectCommands()
				job.Spec.Spot = false
			}
			offers := []Offer{testOffer(true, 1, c.bootSeconds), testOffer(false, 3, c.bootSeconds)}
			got := h.scheduler.ProvisioningDemand(h.now, offers, []int{0, 0})
			if got[0] != c.wantSpot || got[1] != c.wantOnDemand {
				t.Errorf("to be provisioned: %d spot, %d on demand, want %d and %d",
					got[0], got[1], c.wantSpot, c.wantOnDemand)
			}
		})
	}
}
