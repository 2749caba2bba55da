package placement

import (
	"testing"

	"juniperchute/internal/config"
	"juniperchute/internal/wire"
)

// Room for the next service, or for the replicas of a lost machine, is there before it
// is needed, on two machines that are not spot, and no more than that.
func TestServiceReserve(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines int
		spot     bool
		services int
		class    string // of an aim for the start within 4 s
		boot     float64
		want     [2]int // spot, ordinary
	}{
		{"no service", 2, false, 0, "", 25, [2]int{}},
		{"there is room on two", 2, false, 1, "", 25, [2]int{}},
		{"on one machine only, and that is full", 1, false, 1, "", 25, [2]int{0, 2}},
		{"only spot machines", 3, true, 1, "", 25, [2]int{0, 2}},
		{"a class to start within four seconds of which no job has come", 3, true, 0, "portal", 25, [2]int{0, 1}},
		{"the same where machines boot in ten", 3, true, 0, "portal", 10, [2]int{}},
		{"one whose jobs have come", 3, true, 0, "l", 25, [2]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.machines)
			for _, machine := range h.registry.All() {
				machine.Spot = c.spot
			}
			h.addJob("red", wire.ShapeBatch, "low", 1, 1).closed = true // its class is known
			h.scheduler.queue.open = nil
			if c.class != "" {
				h.scheduler.platform.Objectives = append(h.scheduler.platform.Objectives, waitObjective(c.class, 4))
			}
			for range c.services {
				job := h.addJob("blue", wire.ShapeService, "critical", 2, 0)
				job.Spec.Spot = c.spot
				h.deliverDirect()
				job.Spec.Spot = false
			}
			offers := []Offer{{Type: "g2", Zone: "a", Spot: true, Capacity: h.registry.All()[0].Capacity, Price: 1, BootSeconds: c.boot, Available: 50}, {Type: "g2", Zone: "a", Capacity: h.registry.All()[0].Capacity, Price: 3, BootSeconds: c.boot, Available: 50}}
			got := h.scheduler.ProvisioningDemand(h.now, offers, []int{0, 0})
			if got[0] != c.want[0] || got[1] != c.want[1] {
				t.Errorf("to be rented: %v, want %v", got, c.want)
			}
		})
	}
}

func waitObjective(class string, within float64) config.Objective {
	return config.Objective{Kind: "wait", Class: class, WithinS: within, Share: 0.8}
}
