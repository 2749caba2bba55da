package controller

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

// maxCloudCallDelay is how late a call of the cloud comes at most in a simulation.
const maxCloudCallDelay = 70 * time.Second

// randomDay is a deployment on which random faults are played.
type randomDay struct {
	name         string
	zones        []string
	teams        []config.Team
	machineTypes []wire.MachineType
	shards       int
	heartbeatS   float64 // heartbeat interval of the workers
	leaseS       float64 // lease of the workers
	seeds        int
	scale        int // how many times the usual size the deployment, its jobs and its faults have

	// upgrade gives all controllers the new version one after the other, then the state
	// service's limits fall.
	upgrade   bool
	intentLog bool
}

// randomDays are the deployments that random faults are played on.
var randomDays = []randomDay{
	{
		name:         "one zone, short leases",
		zones:        oneZone,
		teams:        limitedTeams,
		machineTypes: oneZoneTypes,
		shards:       1,
		heartbeatS:   1.5,
		leaseS:       10,
		seeds:        6,
		scale:        1,
	},
	{
		name:         "one zone, long leases",
		zones:        oneZone,
		teams:        limitedTeams,
		machineTypes: oneZoneTypes,
		shards:       1,
		heartbeatS:   3,
		leaseS:       18,
		seeds:        4,
		scale:        1,
	},
	{
		name:         "two zones, two types, wide gangs",
		zones:        twoZones,
		teams:        limitedTeams,
		machineTypes: mixedTypes,
		shards:       1,
		heartbeatS:   1.5,
		leaseS:       10,
		seeds:        6,
		scale:        1,
	},
	{
		name:         "three shards",
		zones:        twoZones,
		teams:        limitedTeams,
		machineTypes: mixedTypes,
		shards:       3,
		heartbeatS:   1.5,
		leaseS:       10,
		seeds:        4,
		scale:        1,
	},
	{
		name:         "a fleet: a tenth and more of the machines hit at a time",
		zones:        twoZones,
		teams:        fleetTeams,
		machineTypes: mixedTypes,
		shards:       1,
		heartbeatS:   5,
		leaseS:       26.5,
		seeds:        2,
		scale:        20,
	},
	{
		name:         "an upgrade, and limits that fall",
		zones:        oneZone,
		teams:        fleetTeams,
		machineTypes: oneZoneTypes,
		shards:       1,
		heartbeatS:   1.5,
		leaseS:       10,
		seeds:        6,
		scale:        4,
		upgrade:      true,
	},
	{
		name:         "intent log, short leases",
		zones:        oneZone,
		teams:        limitedTeams,
		machineTypes: oneZoneTypes,
		shards:       1,
		heartbeatS:   1.5,
		leaseS:       10,
		seeds:        6,
		scale:        1,
		intentLog:    true,
	},
	{
		name:         "intent log, two zones",
		zones:        twoZones,
		teams:        limitedTeams,
		machineTypes: mixedTypes,
		shards:       1,
		heartbeatS:   3,
		leaseS:       18,
		seeds:        4,
		scale:        1,
		intentLog:    true,
	},
	{
		name:         "intent log, three shards",
		zones:        twoZones,
		teams:        limitedTeams,
		machineTypes: mixedTypes,
		shards:       3,
		heartbeatS:   1.5,
		leaseS:       10,
		seeds:        3,
		scale:        1,
		intentLog:    true,
	},
	{
		name:         "intent log, a fleet",
		zones:        twoZones,
		teams:        fleetTeams,
		machineTypes: mixedTypes,
		shards:       1,
		heartbeatS:   5,
		leaseS:       26.5,
		seeds:        1,
		scale:        20,
		intentLog:    true,
	},
	{
		name:         "intent log, an upgrade, and limits that fall",
		zones:        oneZone,
		teams:        fleetTeams,
		machineTypes: oneZoneTypes,
		shards:       1,
		heartbeatS:   1.5,
		leaseS:       10,
		seeds:        4,
		scale:        4,
		upgrade:      true,
		intentLog:    true,
	},
}

// TestRandomDays plays random days of crashes, cuts, late messages, outages and restarts,
// checks the protocol's rules after each step, and that every accepted job ends once the
// faults are over. Seeds are fixed.
func TestRandomDays(t *testing.T) {
	for _, day := range randomDays {
		for seed := range day.seeds * seedFactor() {
			t.Run(fmt.Sprintf("%s/%d", day.name, seed), func(t *testing.T) {
				t.Parallel()
				day.run(t, seed)
			})
		}
	}
}

// run plays a day on one seed.
func (day randomDay) run(t *testing.T, seed int) {
	sim := day.newSimulation(t, seed)
	playRandomDay(sim, day.zones, day.machineTypes)
	if day.intentLog && !day.upgrade {
		sim.requireIntentsCarriedOut()
	}
	if len(sim.violations()) > 0 {
		t.Fatalf("seed %d: %s", seed, sim.violations()[0])
	}
}

// newSimulation makes the day's deployment, before any job is submitted.
func (day randomDay) newSimulation(t *testing.T, seed int) *simulation {
	cfg := testConfig(day.zones, day.teams, day.heartbeatS, day.leaseS)
	sim := newSimulation(t, uint64(seed), cfg, day.shards, day.machineTypes)
	for _, machineType := range day.machineTypes {
		for _, zone := range machineType.Zones {
			sim.cloud.Available[fakes.CapacityKey(machineType.Name, zone, true)] = 5 * day.scale
			sim.cloud.Available[fakes.CapacityKey(machineType.Name, zone, false)] = 8 * day.scale
		}
	}
	sim.cloud.BootFailureProbability = 0.02
	sim.randomMessageFaults, sim.scale = true, day.scale
	if day.upgrade {
		sim.startOldVersion()
	}
	if day.intentLog {
		sim.enableIntentLog()
	}
	if day.intentLog && day.upgrade {
		sim.intentChecker.GracePeriod = maxCloudCallDelay
	}
	return sim
}

// playRandomDay lets users submit for a while under faults, then lets the faults
// pass and waits for every job's end.
func playRandomDay(sim *simulation, zones []string, machineTypes []wire.MachineType) {
	const rounds = 60
	for i := range rounds {
		sim.runFor(time.Duration(1+sim.rng.IntN(5)) * time.Second)
		if len(sim.violations()) > 0 {
			return
		}
		if sim.rng.IntN(3) > 0 {
			randomJob(sim, i, zones, machineTypes)
		}
		if sim.startsOld && i >= 10 && i%6 == 0 {
			sim.upgradeNext()
		}
		if i > 3 && sim.rng.IntN(2) == 0 {
			sim.randomFault()
		}
	}
	sim.finish()
}

// seedFactor lets a longer search than CI's be asked for.
func seedFactor() int {
	if n, err := strconv.Atoi(os.Getenv("SIMULATION_SEEDS")); err == nil {
		return n
	}
	return 1
}
