package fleet

import (
	"encoding/json"
	"fmt"
	"testing"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// A morning asks for hundreds of machines at once: in requests of the cloud's size, and never for
// more than the operators' bound, those not yet granted counted.
func TestRequestSizes(t *testing.T) {
	for _, test := range []struct {
		name        string
		maxMachines int
		want        int // machines asked for
	}{
		{name: "no bound", maxMachines: 0, want: 300},
		{name: "the operators' bound", maxMachines: 70, want: 70},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.autoscaler.Settings.MaxMachines = test.maxMachines
			f.addGang(1, 150, true)
			f.addGang(2, 150, false)
			for range 5 {
				f.advance(tuning.ScaleOutInterval)
				f.commitWrites()
			}
			total := 0
			for _, request := range f.autoscaler.provisioner.sorted() {
				total += request.record.Number
				if request.record.Number < 1 || request.record.Number > 50 {
					t.Errorf("a request for %d machines", request.record.Number)
				}
			}
			if total != test.want {
				t.Errorf("%d machines asked for, want %d", total, test.want)
			}
		})
	}
}

// A request's record names all its machines: it asks for no more than fit the state service's
// limits, present and announced.
func TestRequestFitsLimits(t *testing.T) {
	for _, test := range []struct {
		name    string
		valueKB float64 // the limit announced
		want    int     // machines of a request
	}{
		{name: "as now", valueKB: 4, want: tuning.MaxMachinesPerRequest},
		{name: "half of that", valueKB: 2, want: tuning.MaxMachinesPerRequest},
		{name: "half a KiB", valueKB: 0.5, want: 17},
		{name: "next to nothing", valueKB: 0.1, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.autoscaler.demand.stateLimits = config.StateLimits{ValueKB: 4,
				Next: config.UpcomingLimits{"value_kb": test.valueKB}}
			size := f.autoscaler.demand.maxRequestSize()
			record := ProvisioningRecord{Type: "g2", Zone: "a", Spot: true, Number: size}
			for i := range size {
				record.Hosts = append(record.Hosts, fmt.Sprintf("i-%06d", i))
			}
			raw, _ := json.Marshal(record)
			if size != test.want || size > 1 && float64(len(raw)) > test.valueKB*1024 {
				t.Errorf("%d machines, %d bytes", size, len(raw))
			}
		})
	}
}
