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

// testOffer returns an offer of machines of the harness's type and capacity.
func testOffer(spot bool, price, bootSeconds float64) Offer {
	return Offer{
		Type: testMachineType, Zone: "a", Spot: spot, Capacity: testCapacity,
		Price: price, BootSeconds: bootSeconds, Available: 50,
	}
}

var replicaDemandCases = []struct {
	name    string
	staying int // machines without a preemption notice
	leaving int // machines with a notice and replicas of two services
	atLimit bool
	want    int // machines to provision
}{
	{name: "without a notice nothing is provisioned", staying: 2},
	{name: "replicas that fit on other machines need no new ones", staying: 2, leaving: 1},
	{name: "replicas that fit nowhere else get new machines", leaving: 3, want: 3},
	{name: "a team at its limit gets new machines too", leaving: 3, atLimit: true, want: 3},
}

// Replicas on machines with a preemption notice get replacement machines if they fit
// nowhere else, also at their team's limit. No other machines are provisioned.
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
			// The service reserve may add machines.
			reserve := max(0, tuning.ReserveMachines-c.staying-replicas+c.leaving)
			if got[0] < c.want || got[0] > c.want+reserve {
				t.Errorf("%d machines to provision, want %d and a reserve of at most %d", got[0], c.want, reserve)
			}
		})
	}
}

// addLargeServices starts two services with a replica on each machine. The memory of a
// machine fits no third replica.
func (h *testHarness) addLargeServices(replicas int, withGPU bool) {
	for range 2 {
		job := h.addJob("blue", wire.ShapeService, "critical", replicas, 0)
		job.Spec.MemGB, job.Spec.Vcpus = 40, 5
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
	spot           bool // whether the machines are spot
	services       int
	startObjective string // class with a start objective of 4 s
	bootSeconds    float64
	wantSpot       int
	wantOnDemand   int
}{
	{name: "without a service nothing is reserved", machines: 2, bootSeconds: 25},
	{name: "two machines with capacity suffice", machines: 2, services: 1, bootSeconds: 25},
	{name: "one full machine needs two more", machines: 1, services: 1, bootSeconds: 25, wantOnDemand: 2},
	{name: "spot machines are no reserve", machines: 3, spot: true, services: 1, bootSeconds: 25, wantOnDemand: 2},
	{
		name:     "an unseen class with a start objective gets one machine",
		machines: 3, spot: true, startObjective: "portal", bootSeconds: 25,
		wantOnDemand: 1,
	},
	{
		name:     "an unseen class gets none if machines boot fast",
		machines: 3, spot: true, startObjective: "portal", bootSeconds: 10,
	},
	{name: "a class seen before gets none", machines: 3, spot: true, startObjective: testClass, bootSeconds: 25},
}

// Two on-demand machines, and no more, are reserved for the next service or for the replicas
// of a lost machine.
func TestServiceReserve(t *testing.T) {
	for _, c := range serviceReserveCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.machines)
			for _, machine := range h.registry.All() {
				machine.Spot = c.spot
			}
			h.addJob("red", wire.ShapeBatch, "low", 1, 1).closed = true // marks its class as seen
			h.scheduler.jobQueue.open = nil
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
				t.Errorf("%d spot and %d on-demand machines to provision, want %d and %d",
					got[0], got[1], c.wantSpot, c.wantOnDemand)
			}
		})
	}
}

// Guards against a job that waits for an orphaned machine, which gets no work for minutes while a provisioning request
// of any shard may still be granted: other machines must be provisioned meanwhile, and the orphan be kept.
func TestOrphanedMachineIsNoCapacity(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		h := newHarness(t, 1)
		machine := h.registry.All()[0]
		machine.Recorded, machine.Registered = recorded, false
		h.addJob("blue", wire.ShapeGang, "low", 1, 1)
		want := 1
		if recorded {
			want = 0
		}
		got := h.scheduler.ProvisioningDemand(h.now, []Offer{testOffer(false, 3, 25)}, []int{0})
		if got[0] != want || !machine.InDemand {
			t.Errorf("recorded %t: %d machines to provision, want %d; machine in demand: %t, want true",
				recorded, got[0], want, machine.InDemand)
		}
	}
}
