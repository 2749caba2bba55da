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

// randomCommandCopyShare is the share of the start commands of which copies arrive late on random days.
const randomCommandCopyShare = 0.1

// maxCloudCallDelay bounds the delay of a cloud call under random message faults.
const maxCloudCallDelay = 70 * time.Second

// randomFaultsCase describes a deployment on which random faults are injected.
type randomFaultsCase struct {
	name         string
	zones        []string
	teams        []config.Team
	machineTypes []wire.MachineType
	shards       int
	heartbeatS   float64 // workers' heartbeat interval in seconds
	leaseS       float64 // worker lease in seconds
	seeds        int
	scale        int // multiplies the sizes of the deployment, its arrays and its faults

	// upgrade restarts the controllers with the new version one by one, and then lowers the
	// limits of the state service.
	upgrade   bool
	intentLog bool
}

// randomFaultsCases holds the deployments on which random faults are injected.
var randomFaultsCases = []randomFaultsCase{
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
		name:         "two zones, two machine types, large gangs",
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
		name:         "large fleet, faults that hit many machines at once",
		zones:        twoZones,
		teams:        largeQuotaTeams,
		machineTypes: mixedTypes,
		shards:       1,
		heartbeatS:   5,
		leaseS:       26.5,
		seeds:        2,
		scale:        20,
	},
	{
		name:         "rolling upgrade, then lower state service limits",
		zones:        oneZone,
		teams:        largeQuotaTeams,
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
		name:         "intent log, large fleet",
		zones:        twoZones,
		teams:        largeQuotaTeams,
		machineTypes: mixedTypes,
		shards:       1,
		heartbeatS:   5,
		leaseS:       26.5,
		seeds:        1,
		scale:        20,
		intentLog:    true,
	},
	{
		name:         "intent log, rolling upgrade, then lower state service limits",
		zones:        oneZone,
		teams:        largeQuotaTeams,
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

// TestRandomFaults guards against violations of the protocol's rules under random crashes,
// partitions, late messages, outages and restarts, and against jobs that never end after them.
func TestRandomFaults(t *testing.T) {
	for _, c := range randomFaultsCases {
		for seed := range c.seeds * seedFactor() {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				c.run(t, seed)
			})
		}
	}
}

// run simulates the case on one seed.
func (c randomFaultsCase) run(t *testing.T, seed int) {
	sim := c.newSimulation(t, seed)
	simulateRandomFaults(sim, c.zones, c.machineTypes)
	if c.intentLog && !c.upgrade {
		sim.requireIntentsExecuted()
	}
	if len(sim.violations()) > 0 {
		t.Fatalf("seed %d: %s", seed, sim.violations()[0])
	}
}

// newSimulation returns the case's deployment before any job is submitted.
func (c randomFaultsCase) newSimulation(t *testing.T, seed int) *simulation {
	cfg := testConfig(c.zones, c.teams, c.heartbeatS, c.leaseS)
	sim := newSimulation(t, uint64(seed), cfg, c.shards, c.machineTypes)
	for _, machineType := range c.machineTypes {
		for _, zone := range machineType.Zones {
			sim.cloud.Available[fakes.CapacityKey(machineType.Name, zone, true)] = 5 * c.scale
			sim.cloud.Available[fakes.CapacityKey(machineType.Name, zone, false)] = 8 * c.scale
		}
	}
	sim.cloud.BootFailureProbability = 0.02
	sim.randomMessageFaults, sim.scale = true, c.scale
	sim.cluster.CommandCopyShare = randomCommandCopyShare
	if c.upgrade {
		sim.startOldVersion()
	}
	if c.intentLog {
		sim.enableIntentLog()
	}
	if c.intentLog && c.upgrade {
		sim.intentChecker.GracePeriod = maxCloudCallDelay
	}
	return sim
}

// simulateRandomFaults submits random jobs and injects random faults for 60 rounds, ends the faults
// and waits until every job has ended.
func simulateRandomFaults(sim *simulation, zones []string, machineTypes []wire.MachineType) {
	const rounds = 60
	for i := range rounds {
		sim.runFor(time.Duration(1+sim.rng.IntN(5)) * time.Second)
		if len(sim.violations()) > 0 {
			return
		}
		if sim.rng.IntN(3) > 0 {
			submitCancellableJob(sim, i, zones, machineTypes)
		}
		if sim.startsOnOldVersion && i >= 10 && i%6 == 0 {
			sim.upgradeNext()
		}
		if i > 3 && sim.rng.IntN(2) == 0 {
			sim.injectRandomFault()
		}
	}
	sim.endFaultsAndAwaitJobs()
}

// seedFactor returns the factor, from the environment variable SIMULATION_SEEDS, by which a run has
// more seeds than by default, or 1 if the variable is not set.
func seedFactor() int {
	if n, err := strconv.Atoi(os.Getenv("SIMULATION_SEEDS")); err == nil {
		return n
	}
	return 1
}
