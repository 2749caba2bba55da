package controller

import (
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

// Zones of the simulated deployments.
var (
	oneZone  = []string{"a"}
	twoZones = []string{"a", "b"}
)

// Teams of the simulated deployments.
var (
	steadyTeams  = []config.Team{{Name: "red"}}
	limitedTeams = []config.Team{
		{Name: "red", GPUs: 4, GPUsMax: 10},
		{Name: "blue", GPUs: 6, GPUsMax: 12},
		{Name: "free"},
	}
	tightTeams = []config.Team{
		{Name: "red", GPUs: 2, GPUsMax: 4},
		{Name: "blue", GPUs: 2, GPUsMax: 4},
	}
	fleetTeams = []config.Team{
		{Name: "red", GPUs: 80, GPUsMax: 200},
		{Name: "blue", GPUs: 120, GPUsMax: 240},
		{Name: "free"},
	}
)

// Machine types of the simulated deployments.
var (
	smallType = wire.MachineType{
		Name:        "g2",
		Vcpus:       12,
		Gpus:        2,
		MemGb:       96,
		FetchGbPerS: 1,
		Price:       5,
		SpotPrice:   2,
		BootTimeS:   5,
		Zones:       oneZone,
	}
	mediumType = wire.MachineType{
		Name:        "g4",
		Vcpus:       16,
		Gpus:        4,
		MemGb:       128,
		FetchGbPerS: 1,
		Price:       9,
		SpotPrice:   4,
		BootTimeS:   5,
		Zones:       twoZones,
	}
	cpuOnlyType = wire.MachineType{
		Name:        "c8",
		Vcpus:       8,
		Gpus:        0,
		MemGb:       32,
		FetchGbPerS: 1,
		Price:       2,
		SpotPrice:   1,
		BootTimeS:   4,
		Zones:       []string{"b"},
	}

	oneZoneTypes = []wire.MachineType{smallType}
	twoZoneTypes = []wire.MachineType{mediumType}
	mixedTypes   = []wire.MachineType{mediumType, cpuOnlyType}
)

// largeMachineType is a machine type with eight GPUs.
func largeMachineType(bootTimeS float64) wire.MachineType {
	return wire.MachineType{
		Name:        "g8",
		Vcpus:       64,
		Gpus:        8,
		MemGb:       384,
		FetchGbPerS: 1,
		Price:       5,
		SpotPrice:   2,
		BootTimeS:   bootTimeS,
		Zones:       oneZone,
	}
}

// testConfig is the configuration of a small deployment.
func testConfig(zones []string, teams []config.Team, heartbeatS, leaseS float64) *config.Config {
	platform := fakes.DeploymentConfig(zones, teams, heartbeatS, leaseS)
	return &config.Config{Member: "x", Zone: zones[0], Platform: platform}
}

// steadySimulation is a deployment without random faults, with work under way.
func steadySimulation(t *testing.T, machines, jobs int) *simulation {
	return steadySimulationWith(t, 11, machines, jobs)
}

// steadySimulationWith is a steady deployment on a seed, prepared before its jobs come.
func steadySimulationWith(
	t *testing.T, seed uint64, machines, jobs int, prepare ...func(sim *simulation),
) *simulation {
	sim := newSimulation(t, seed, testConfig(oneZone, steadyTeams, 1.5, 10), 1, oneZoneTypes)
	sim.cloud.Available[fakes.CapacityKey(smallType.Name, "a", false)] = machines
	for _, f := range prepare {
		f(sim)
	}
	for i := range jobs {
		sim.add(steadyJob(i), 50*time.Second)
	}
	sim.runFor(25 * time.Second)
	for _, m := range sim.machines {
		m.Faulty = false
	}
	if len(sim.machines) == 0 || sim.leaseHolder() == nil {
		t.Fatal("nothing runs yet")
	}
	return sim
}

// steadyJob is one of the jobs that a steady deployment begins with.
func steadyJob(number int) wire.JobSpec {
	return sweepJob(fmt.Sprintf("job-%d", number), "normal", 4, 50)
}

// sweepJob is an array of independent tasks with a GPU each.
func sweepJob(id, priority string, tasks int, runTimeS float64) wire.JobSpec {
	return wire.JobSpec{
		ID:                id,
		Team:              "red",
		Class:             "sweep",
		Shape:             wire.ShapeBatch,
		Priority:          priority,
		Tasks:             tasks,
		Vcpus:             4,
		Gpus:              1,
		MemGb:             20,
		Image:             "img",
		ImageGb:           2,
		AnyType:           true,
		EstimatedRunTimeS: runTimeS,
	}
}

// trainingArray is an array of high priority, of the class of training jobs.
func trainingArray(id string, tasks int, runTimeS float64) wire.JobSpec {
	spec := sweepJob(id, "high", tasks, runTimeS)
	spec.Class = "train"
	return spec
}

// trainingGang is a gang of high priority.
func trainingGang(id string, tasks int, runTimeS float64) wire.JobSpec {
	spec := trainingArray(id, tasks, runTimeS)
	spec.Shape = wire.ShapeGang
	return spec
}
