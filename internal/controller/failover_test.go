package controller

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fleet"
	"juniperchute/internal/standin"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// BenchmarkTakeover measures what a takeover of a large block costs: all
// controllers start, and one has to read, fence and answer for every machine and
// open job. The processor time includes the stand-ins'.
func BenchmarkTakeover(b *testing.B) {
	for _, size := range []struct{ machines, jobs int }{{850, 4000}, {1850, 6000}, {largeFleet, 12000}} {
		b.Run(fmt.Sprintf("%d-machines-%d-jobs", size.machines, size.jobs), func(b *testing.B) {
			benchmarkTakeover(b, size.machines, size.jobs)
		})
	}
}

func benchmarkTakeover(b *testing.B, machines, jobs int) {
	const perHire = 50
	for range b.N {
		machineTypes := []wire.MachineType{{Name: "g8", Vcpus: 64, Gpus: 8, MemGb: 384, FetchGbPerS: 1, Price: 5, SpotPrice: 2, BootTimeS: 50, Zones: []string{"a"}}}
		cfg := testConfig([]string{"a"}, []config.Team{{Name: "red"}}, 4, 18)
		cfg.Platform.State.ValueKB = 8
		sim := newSimulation(nil, 5, cfg, 1, machineTypes)
		put := func(key string, value any) {
			raw, _ := json.Marshal(value)
			sim.state.Revision++
			sim.state.Keys[key] = wire.KeyValue{Key: key, Value: raw, Version: sim.state.Revision}
		}
		var names []string
		used := map[string]string{}
		for i := range machines {
			id := fmt.Sprintf("i-%06d", i)
			names = append(names, id)
			used[id] = "addr-" + id
			host := wire.Machine{ID: id, Address: "addr-" + id, Type: "g8", Zone: "a", State: wire.MachineRunning}
			sim.cloud.Hosts[id] = &standin.CloudHost{CreatedAt: sim.clock.Now(), Machine: host}
			sim.booted(sim.cloud.Hosts[id])
			if len(names) == perHire {
				put(fmt.Sprintf("%sb0-0-%d", fleet.ShardProvisioningPrefix(0), i), fleet.ProvisioningRecord{Type: "g8", Zone: "a", Number: perHire, Hosts: names})
				names = nil
			}
			if len(used) == 5*perHire || i == machines-1 {
				put(fmt.Sprintf("%s%d", fleet.RegistrationPrefix(0), i/(5*perHire)), used)
				used = map[string]string{}
			}
		}
		sim.cloud.Created = machines
		for i := range jobs {
			id := fmt.Sprintf("job-%06d", i)
			s := wire.JobSpec{ID: id, Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "low", Tasks: 60,
				Vcpus: 6, Gpus: 1, MemGb: 36, Image: fmt.Sprintf("img-%d", i%12), ImageGb: 2, AnyType: true, EstimatedRunTimeS: 30}
			if i%2 == 0 {
				s.Shape, s.Priority, s.Tasks, s.Vcpus, s.Gpus, s.MemGb = wire.ShapeGang, "normal", 4, 57, 8, 310
			}
			sim.cluster.AddJob(standin.NewJob(s, time.Minute))
			put(submission.OpenJobKey(id), submission.OpenJobRecord{Spec: s, AcceptedAt: sim.clock.Now().UnixMilli()})
		}
		start, began := time.Now(), sim.clock.Now()
		for sim.leaseHolder() == nil && sim.clock.Now().Sub(began) < time.Minute {
			sim.clock.Step()
		}
		open := sim.clock.Now().Sub(began)
		b.ReportMetric(open.Seconds(), "simulated-s/open")
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms/open")
		for sim.clock.Now().Sub(began) < open+3*time.Second {
			sim.clock.Step()
		}
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms/open+3s")
		if sim.leaseHolder() == nil {
			b.Fatal("no holder after a minute")
		}
	}
}
