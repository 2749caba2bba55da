package placement

import (
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Replicas on machines that the cloud takes back need places by then: machines are rented
// for those that find none, also where their team is at its limit, and for no others.
func TestReplicasUnderPreemptionNotice(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines int // that stay
		recalled int // machines with two services' replicas
		limit    bool
		want     int // machines rented
	}{
		{"none is recalled", 2, 0, false, 0},
		{"there is room elsewhere", 2, 1, false, 0},
		{"a wave takes more than there is room for", 0, 3, false, 3},
		{"the same at the team's limit", 0, 3, true, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, max(c.recalled, 1))
			for range 2 {
				// two replicas of a machine's whole memory, one a machine
				job := h.addJob("blue", wire.ShapeService, "critical", max(c.recalled, 1), 0)
				job.Spec.MemGb, job.Spec.Vcpus = 40, 5
				job.need = quota.Resources{CPUs: 5, MemGB: 40}
				if c.limit {
					job.Spec.Gpus, job.need.GPUs = 1, 1
				}
			}
			for range 3 {
				h.deliverDirect()
			}
			if c.limit {
				h.scheduler.ledger.SetUnknownUsage(quota.Resources{GPUs: 8}) // nothing more is admitted
			}
			for i, machine := range h.registry.All() {
				if i < c.recalled {
					machine.PreemptionTime = h.now.Add(12 * time.Second)
				}
			}
			for i := range c.machines {
				machine := h.registry.Add(h.now, fmt.Sprintf("i-9%d", i), worker.Booting)
				machine.Capacity, machine.Registered, machine.Type, machine.Zone = quota.Resources{CPUs: 12, GPUs: 2, MemGB: 96}, true, "g2", "a"
				h.heartbeat(machine)
			}
			h.scheduler.jobs.seenClasses["l"] = true
			offers := []Offer{{Type: "g2", Zone: "a", Capacity: quota.Resources{CPUs: 12, GPUs: 2, MemGB: 96}, Price: 3, BootSeconds: 25, Available: 50}}
			got := h.scheduler.ProvisioningDemand(h.now, offers, []int{0})
			// beside them, room for one more service is kept on two machines
			reserve := max(0, tuning.ReserveMachines-c.machines-max(c.recalled, 1)+c.recalled)
			if got[0] < c.want || got[0] > c.want+reserve {
				t.Errorf("%d machines to be rented, want %d and a reserve of %d at most", got[0], c.want, reserve)
			}
		})
	}
}
