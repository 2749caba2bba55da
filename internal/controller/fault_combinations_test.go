package controller

import (
	"fmt"
	"testing"

	"juniperchute/internal/config"
	"juniperchute/internal/fakes"
)

// faultCombination describes a combination of faults and the deployment on which it occurs.
type faultCombination struct {
	name     string
	zones    int // 1 or 2
	teams    []config.Team
	simulate func(s *faultScenario)
}

// faultCombinations holds the combinations of faults that docs/fault-combinations.md lists.
var faultCombinations = []faultCombination{
	{
		name:     "lease holder crashes ten times in two minutes, also during an outage",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateFrequentFailovers,
	},
	{
		name:     "machines are deleted under jobs bound to one zone",
		zones:    2,
		teams:    limitedTeams,
		simulate: simulateZoneBoundJobsLoseMachines,
	},
	{
		name:     "jobs are cancelled while the state service refuses the lease holder, before an outage",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateCancellationsBeforeOutage,
	},
	{
		name:     "tasks of small jobs end before and after a failover",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateTasksEndAcrossFailover,
	},
	{
		name:     "jobs of teams at their limits are cancelled while machines are unreachable, before a failover",
		zones:    1,
		teams:    smallQuotaTeams,
		simulate: simulateFullTeamsCancelDuringMachineFaults,
	},
	{
		name:     "repeated failovers, then all controllers crash and one restarts first",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateRepeatedFailovers,
	},
	{
		name:     "a zone with workers and a controller is partitioned for longer than a lease",
		zones:    2,
		teams:    limitedTeams,
		simulate: simulateZonePartition,
	},
	{
		name:     "all controllers are down for longer than a lease",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateAllControllersDown,
	},
	{
		name:     "workers reach no controller while direct commands reach them",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateOutboundPartition,
	},
	{
		name:     "machines boot at once while writes are delayed and the lease holder crashes",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateInstantBootsWithDelayedWrites,
	},
	{
		name:     "cancellations, queries and submissions arrive as a job ends",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateRequestsAtJobEnd,
	},
	{
		name:     "users query all controllers within milliseconds of each change",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateQueryBursts,
	},
	{
		name:     "direct commands or their replies are delayed for seconds",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateDelayedCommands,
	},
	{
		name:     "copies of executed start commands arrive after the attempts have ended, moved or been cancelled",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateRepeatedCommands,
	},
	{
		name:     "jobs are cancelled during a failover",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateCancellationsDuringFailover,
	},
	{
		name:     "lease holder crashes while machines with long tasks are unreachable",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateFailoverWithUnreachableMachines,
	},
	{
		name:     "old heartbeats reach every controller as a new term starts",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateOldHeartbeatsToNewLeaseHolder,
	},
	{
		name:     "transactions are executed after later ones",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateDelayedTransactions,
	},
	{
		name:     "transactions are executed but their replies are lost",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateLostTransactionReplies,
	},
	{
		name:     "more jobs of all priorities than capacity, over slow links",
		zones:    1,
		teams:    smallQuotaTeams,
		simulate: simulateOverloadOnSlowLinks,
	},
	{
		name:     "four one-task jobs per second, a quarter of them cancelled",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateHighJobRate,
	},
	{
		name:     "state service is slow, then refuses the lease holder, then all, while users cancel and query",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateSlowThenRefusingStateService,
	},
	{
		name:     "old heartbeats arrive after newer ones, also of an earlier incarnation or attempt",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateReorderedHeartbeats,
	},
	{
		name:     "lease holder is isolated with its workers while jobs are cancelled through its successor",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateLeaseHolderIsolations,
	},
	{
		name:     "jobs of teams at their limits are cancelled during a failover with unreachable machines",
		zones:    1,
		teams:    smallQuotaTeams,
		simulate: simulateFullTeamDuringFailover,
	},
	{
		name:     "controllers restart within a fraction of a second, also during an election",
		zones:    1,
		teams:    limitedTeams,
		simulate: simulateQuickRestarts,
	},
}

// TestFaultCombinations guards against violations of the protocol's rules, which are checked after
// each event, and against jobs that never end, under combinations of faults.
func TestFaultCombinations(t *testing.T) {
	for _, c := range faultCombinations {
		for seed := range 2 * seedFactor() {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				c.run(t, seed)
			})
		}
	}
}

// run simulates a combination on one seed and waits until every job has ended. Odd seeds have long
// worker leases.
func (c faultCombination) run(t *testing.T, seed int) {
	zones, machineTypes := oneZone, oneZoneTypes
	if c.zones == 2 {
		zones, machineTypes = twoZones, twoZoneTypes
	}
	heartbeatS, leaseS := 1.5, 10.0
	if seed%2 == 1 {
		heartbeatS, leaseS = 4, 18
	}
	sim := newSimulation(t, uint64(100+seed), testConfig(zones, c.teams, heartbeatS, leaseS), 1, machineTypes)
	for _, zone := range zones {
		sim.cloud.Available[fakes.CapacityKey(machineTypes[0].Name, zone, true)] = 5
		sim.cloud.Available[fakes.CapacityKey(machineTypes[0].Name, zone, false)] = 8
	}
	s := &faultScenario{simulation: sim, zones: zones, machineTypes: machineTypes}
	c.simulate(s)
	s.isolatedZone = ""
	sim.endFaultsAndAwaitJobs()
	if len(sim.violations()) > 0 {
		t.Fatalf("seed %d: %s", seed, sim.violations()[0])
	}
}
