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
	smallQuotaTeams = []config.Team{
		{Name: "red", GPUs: 2, GPUsMax: 4},
		{Name: "blue", GPUs: 2, GPUsMax: 4},
	}
	largeQuotaTeams = []config.Team{
		{Name: "red", GPUs: 80, GPUsMax: 200},
		{Name: "blue", GPUs: 120, GPUsMax: 240},
		{Name: "free"},
	}
)

// Machine types of the simulated deployments.
var (
	smallType = wire.MachineType{
		Name:            "g2",
		Vcpus:           12,
		Gpus:            2,
		MemGB:           96,
		ImagePullGBPerS: 1,
		Price:           5,
		SpotPrice:       2,
		BootTimeS:       5,
		Zones:           oneZone,
	}
	mediumType = wire.MachineType{
		Name:            "g4",
		Vcpus:           16,
		Gpus:            4,
		MemGB:           128,
		ImagePullGBPerS: 1,
		Price:           9,
		SpotPrice:       4,
		BootTimeS:       5,
		Zones:           twoZones,
	}
	cpuOnlyType = wire.MachineType{
		Name:            "c8",
		Vcpus:           8,
		Gpus:            0,
		MemGB:           32,
		ImagePullGBPerS: 1,
		Price:           2,
		SpotPrice:       1,
		BootTimeS:       4,
		Zones:           []string{"b"},
	}

	oneZoneTypes = []wire.MachineType{smallType}
	twoZoneTypes = []wire.MachineType{mediumType}
	mixedTypes   = []wire.MachineType{mediumType, cpuOnlyType}
)

// largeMachineType returns a machine type with eight GPUs and the given boot time in seconds.
func largeMachineType(bootTimeS float64) wire.MachineType {
	return wire.MachineType{
		Name:            "g8",
		Vcpus:           64,
		Gpus:            8,
		MemGB:           384,
		ImagePullGBPerS: 1,
		Price:           5,
		SpotPrice:       2,
		BootTimeS:       bootTimeS,
		Zones:           oneZone,
	}
}

// testConfig returns a configuration with the given heartbeat interval and lease of the workers, both
// in seconds.
func testConfig(zones []string, teams []config.Team, heartbeatS, leaseS float64) *config.Config {
	platform := fakes.DeploymentConfig(zones, teams, heartbeatS, leaseS)
	return &config.Config{Member: "x", Zone: zones[0], Platform: platform}
}

// steadySimulation returns a deployment in which jobs run and no random faults occur.
func steadySimulation(t *testing.T, machines, jobs int) *simulation {
	return steadySimulationWith(t, 11, machines, jobs)
}

// steadySimulationWith returns a steady deployment for a seed. The functions in prepare run before
// the jobs are submitted.
func steadySimulationWith(
	t *testing.T, seed uint64, machines, jobs int, prepare ...func(sim *simulation),
) *simulation {
	sim := newSimulation(t, seed, testConfig(oneZone, steadyTeams, 1.5, 10), 1, oneZoneTypes)
	sim.cloud.Available[fakes.CapacityKey(smallType.Name, "a", false)] = machines
	for _, f := range prepare {
		f(sim)
	}
	for i := range jobs {
		sim.submitJob(steadyJob(i), 50*time.Second)
	}
	sim.runFor(25 * time.Second)
	for _, m := range sim.machines {
		m.Faulty = false
	}
	if len(sim.machines) == 0 || sim.leaseHolder() == nil {
		t.Fatal("no machine or no lease holder after 25s")
	}
	return sim
}

// steadyJob returns an array of four tasks, the kind of job that a steady deployment starts with.
func steadyJob(number int) wire.JobSpec {
	return sweepJob(fmt.Sprintf("job-%d", number), "normal", 4, 50)
}

// sweepJob returns an array of independent tasks with one GPU each.
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
		MemGB:             20,
		Image:             "img",
		ImageGB:           2,
		AnyType:           true,
		EstimatedRunTimeS: runTimeS,
	}
}

// trainingArray returns a high-priority array of the class train.
func trainingArray(id string, tasks int, runTimeS float64) wire.JobSpec {
	spec := sweepJob(id, "high", tasks, runTimeS)
	spec.Class = "train"
	return spec
}

// trainingGang returns a high-priority gang of the class train.
func trainingGang(id string, tasks int, runTimeS float64) wire.JobSpec {
	spec := trainingArray(id, tasks, runTimeS)
	spec.Shape = wire.ShapeGang
	return spec
}
