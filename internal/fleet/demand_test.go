package fleet

import (
	"encoding/json"
	"fmt"
	"testing"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// A burst of demand is split into requests of the cloud's size and, counting requests not granted
// yet, does not exceed the operators' bound.
func TestRequestSizes(t *testing.T) {
	for _, test := range []struct {
		name        string
		maxMachines int
		want        int // machines requested
	}{
		{name: "no bound", maxMachines: 0, want: 300},
		{name: "bound below the demand", maxMachines: 70, want: 70},
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
					t.Errorf("request for %d machines, want 1 to 50", request.record.Number)
				}
			}
			if total != test.want {
				t.Errorf("%d machines requested, want %d", total, test.want)
			}
		})
	}
}

// A request asks for no more machines than its record can name within the state service's present
// and announced limits.
func TestRequestFitsLimits(t *testing.T) {
	for _, test := range []struct {
		name    string
		valueKB float64 // announced limit
		want    int     // machines per request
	}{
		{name: "announced limit equal to the present one", valueKB: 4, want: tuning.MaxMachinesPerRequest},
		{name: "announced limit of 2 KiB", valueKB: 2, want: tuning.MaxMachinesPerRequest},
		{name: "announced limit of 0.5 KiB", valueKB: 0.5, want: 17},
		{name: "announced limit of 0.1 KiB", valueKB: 0.1, want: 1},
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
