package controller

import (
	"fmt"
	"time"

	"juniperchute/internal/wire"
)

// submitCancellableJob lets a user submit a random job, and cancel it with a probability of 1/6.
func submitCancellableJob(sim *simulation, number int, zones []string, machineTypes []wire.MachineType) {
	spec := sim.randomSpec(number, machineTypes)
	sim.randomPlacement(&spec, zones)
	if spec.Shape == wire.ShapeBatch {
		spec.Tasks *= sim.scale
	}
	j := sim.submitJob(spec, time.Duration(2+sim.rng.IntN(20))*time.Second)
	j.Faulty = sim.rng.IntN(25) == 0
	if sim.rng.IntN(6) == 0 {
		sim.clock.Schedule(time.Duration(sim.rng.IntN(20))*time.Second, func() { sim.cancel(j) })
	}
}

// randomSpec returns the specification of a random job without constraints on zones.
func (sim *simulation) randomSpec(number int, machineTypes []wire.MachineType) wire.JobSpec {
	teams := sim.cfg.Platform.Teams
	spec := wire.JobSpec{
		Team:              teams[sim.rng.IntN(len(teams))].Name,
		ID:                fmt.Sprintf("job-%06d", number),
		Class:             "sweep",
		Shape:             wire.ShapeBatch,
		Priority:          priorities[sim.rng.IntN(len(priorities))],
		Tasks:             1 + sim.rng.IntN(8),
		Vcpus:             4,
		Gpus:              1,
		MemGB:             20,
		Image:             fmt.Sprintf("img-%d", sim.rng.IntN(4)),
		ImageGB:           2,
		AnyType:           true,
		Spot:              sim.rng.IntN(3) > 0,
		EstimatedRunTimeS: 10,
	}
	if sim.rng.IntN(3) == 0 {
		spec.CheckpointIntervalS, spec.CheckpointSaveTimeS = 2, 1
	}
	if sim.rng.IntN(3) == 0 {
		spec.Class, spec.Shape, spec.Tasks = "train", wire.ShapeGang, 1+sim.rng.IntN(5)
		spec.Gpus = float64(1 + sim.rng.IntN(2))
	}
	if sim.rng.IntN(12) == 0 {
		spec.Class, spec.Shape, spec.Tasks = "serve", wire.ShapeService, 1+sim.rng.IntN(2)
	}
	if len(machineTypes) > 1 && sim.rng.IntN(4) == 0 {
		spec.AnyType, spec.Types = false, []string{machineTypes[sim.rng.IntN(len(machineTypes))].Name}
		if spec.Types[0] == cpuOnlyType.Name {
			spec.Gpus = 0
		}
	}
	return spec
}

// randomPlacement may add a random zone constraint that the job's machine types can satisfy.
func (sim *simulation) randomPlacement(spec *wire.JobSpec, zones []string) {
	switch sim.rng.IntN(6) {
	case 0:
		spec.SameZone = true
	case 1:
		severalZonesFit := len(zones) > 1 && spec.AnyType && spec.Gpus > 0
		spec.SpreadAcrossZones = spec.Shape == wire.ShapeBatch || severalZonesFit
	case 2:
		spec.Zone = zones[sim.rng.IntN(len(zones))]
		if !spec.AnyType && spec.Types[0] == cpuOnlyType.Name {
			spec.Zone = "b"
		}
	}
}
