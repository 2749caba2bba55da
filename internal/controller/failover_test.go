package controller

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/fleet"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// BenchmarkFailover measures the failover of a large shard. All controllers start, and one of them
// loads, fences and reconciles every machine and open job. The real time includes the fakes.
func BenchmarkFailover(b *testing.B) {
	for _, size := range []struct{ machines, jobs int }{{850, 4000}, {1850, 6000}, {largeFleet, 12000}} {
		b.Run(fmt.Sprintf("%d-machines-%d-jobs", size.machines, size.jobs), func(b *testing.B) {
			for range b.N {
				measureFailover(b, size.machines, size.jobs)
			}
		})
	}
}

// measureFailover measures one failover and the three simulated seconds after it.
func measureFailover(b *testing.B, machines, jobs int) {
	cfg := testConfig(oneZone, steadyTeams, 4, 18)
	cfg.Platform.State.ValueKB = 8
	sim := newSimulation(nil, 5, cfg, 1, []wire.MachineType{largeMachineType(50)})
	sim.storeMachines(machines)
	for i := range jobs {
		sim.storeOpenJob(i)
	}
	start, simulatedStart := time.Now(), sim.clock.Now()
	for sim.leaseHolder() == nil && sim.clock.Now().Sub(simulatedStart) < time.Minute {
		sim.clock.Step()
	}
	open := sim.clock.Now().Sub(simulatedStart)
	b.ReportMetric(open.Seconds(), "simulated-s/open")
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms/open")
	for sim.clock.Now().Sub(simulatedStart) < open+3*time.Second {
		sim.clock.Step()
	}
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms/open+3s")
	if sim.leaseHolder() == nil {
		b.Fatal("no lease holder after a minute")
	}
}

// storeMachines adds running machines and the records that an earlier lease holder stored for them.
func (sim *simulation) storeMachines(count int) {
	const perRequest = 50
	const perPage = 5 * perRequest
	var names []string
	registered := map[string]string{} // addresses by name
	for i := range count {
		id := sim.addRunningMachine(i, "g8")
		names = append(names, id)
		registered[id] = machineAddressPrefix + id
		if len(names) == perRequest {
			request := fleet.ProvisioningRecord{Type: "g8", Zone: "a", Number: perRequest, Hosts: names}
			sim.storeDirectly(fmt.Sprintf("%sb0-0-%d", fleet.ShardProvisioningPrefix(0), i), request)
			names = nil
		}
		if len(registered) == perPage || i == count-1 {
			sim.storeDirectly(fmt.Sprintf("%s%d", fleet.RegistrationPrefix(0), i/perPage), registered)
			registered = map[string]string{}
		}
	}
	sim.cloud.Created = count
}

// storeOpenJob stores the record of an accepted job: a gang if number is even, else an array.
func (sim *simulation) storeOpenJob(number int) {
	spec := sweepJob(fmt.Sprintf("job-%06d", number), "low", 60, 30)
	spec.Vcpus, spec.Gpus, spec.MemGB = 6, 1, 36
	spec.Image = fmt.Sprintf("img-%d", number%12)
	if number%2 == 0 {
		spec.Shape, spec.Priority, spec.Tasks = wire.ShapeGang, "normal", 4
		spec.Vcpus, spec.Gpus, spec.MemGB = 57, 8, 310
	}
	sim.cluster.AddJob(fakes.NewJob(spec, time.Minute))
	record := submission.OpenJobRecord{Spec: spec, AcceptedAt: sim.clock.Now().UnixMilli()}
	sim.storeDirectly(submission.OpenJobKey(spec.ID), record)
}

// storeDirectly stores a value under a key without a call to the state service. Watches do not report
// the change.
func (sim *simulation) storeDirectly(key string, value any) {
	raw, _ := json.Marshal(value)
	sim.state.Revision++
	sim.state.Keys[key] = wire.KeyValue{Key: key, Value: raw, Version: sim.state.Revision}
}
