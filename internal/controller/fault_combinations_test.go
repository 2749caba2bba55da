package controller

import (
	"fmt"
	"testing"

	"juniperchute/internal/config"
	"juniperchute/internal/fakes"
)

// faultCombination is a combination of faults that is played on a few seeds.
type faultCombination struct {
	name  string
	zones int // one or two
	teams []config.Team
	play  func(s *faultScenario)
}

// faultCombinations are the combinations of faults that docs/fault-combinations.md lists.
var faultCombinations = []faultCombination{
	{
		name:  "leaders change ten times in two minutes, also in an outage",
		zones: 1,
		teams: limitedTeams,
		play:  playFrequentLeaderChanges,
	},
	{
		name:  "jobs bound to one zone lose machines",
		zones: 2,
		teams: limitedTeams,
		play:  playZoneBoundJobsLoseMachines,
	},
	{
		name:  "cancelled as the state service refuses the leader, and then it is out",
		zones: 1,
		teams: limitedTeams,
		play:  playCancellationsBeforeOutage,
	},
	{
		name:  "jobs of two or three tasks end far apart across a change of leader",
		zones: 1,
		teams: limitedTeams,
		play:  playTasksEndAcrossFailover,
	},
	{
		name:  "every team at its limit, cancelled with machines cut off or hung, and the leader changes",
		zones: 1,
		teams: tightTeams,
		play:  playFullTeamsCancelDuringMachineFaults,
	},
	{
		name:  "controllers hand over and back, all end, and one returns",
		zones: 1,
		teams: limitedTeams,
		play:  playRepeatedFailovers,
	},
	{
		name:  "a zone with workers and a controller is cut off for longer than a lease",
		zones: 2,
		teams: limitedTeams,
		play:  playZonePartition,
	},
	{
		name:  "all controllers are away for longer than a lease",
		zones: 1,
		teams: limitedTeams,
		play:  playAllControllersDown,
	},
	{
		name:  "workers reach no controller, commands reach them",
		zones: 1,
		teams: limitedTeams,
		play:  playWorkersCutOutbound,
	},
	{
		name:  "machines are up at once and get work while writes lag, and the leader ends",
		zones: 1,
		teams: limitedTeams,
		play:  playInstantBootsWithLateWrites,
	},
	{
		name:  "a cancellation, a question or a submission meets the end of a job",
		zones: 1,
		teams: limitedTeams,
		play:  playRequestsAtJobEnd,
	},
	{
		name:  "users ask at all nodes within milliseconds of each news",
		zones: 1,
		teams: limitedTeams,
		play:  playBurstsOfQueries,
	},
	{
		name:  "a command or its answer is held up for seconds, and the machine goes on",
		zones: 1,
		teams: limitedTeams,
		play:  playDelayedCommands,
	},
	{
		name:  "jobs are cancelled while one controller's work changes hands",
		zones: 1,
		teams: limitedTeams,
		play:  playCancellationsDuringFailover,
	},
	{
		name:  "a leader ends while machines with long tasks are not reached, or do not hear the next",
		zones: 1,
		teams: limitedTeams,
		play:  playFailoverWithUnreachableMachines,
	},
	{
		name:  "an old heartbeat reaches every controller as a new leader begins, or has acted",
		zones: 1,
		teams: limitedTeams,
		play:  playOldHeartbeatsToNewLeader,
	},
	{
		name:  "transactions are carried out late, after newer ones",
		zones: 1,
		teams: limitedTeams,
		play:  playLateTransactions,
	},
	{
		name:  "transactions are carried out, their answers lost, while others read what they wrote",
		zones: 1,
		teams: limitedTeams,
		play:  playLostTransactionReplies,
	},
	{
		name:  "more work than room, urgent and not, over slow links",
		zones: 1,
		teams: tightTeams,
		play:  playOverloadOnSlowLinks,
	},
	{
		name:  "one-task jobs come four a second, a quarter of them cancelled",
		zones: 1,
		teams: limitedTeams,
		play:  playHighJobRate,
	},
	{
		name:  "the state service is slow, or refuses the leader and then all, while users cancel and ask",
		zones: 1,
		teams: limitedTeams,
		play:  playSlowThenRefusingStateService,
	},
	{
		name:  "old heartbeats come after newer ones, also of an earlier incarnation or attempt",
		zones: 1,
		teams: limitedTeams,
		play:  playReorderedHeartbeats,
	},
	{
		name:  "a leader left with its workers and users, jobs cancelled through the new one",
		zones: 1,
		teams: limitedTeams,
		play:  playLeaderLeftWithWorkers,
	},
	{
		name:  "a team at its limit, the leader changes, machines cannot be asked, a cancellation in that spell",
		zones: 1,
		teams: tightTeams,
		play:  playFullTeamDuringFailover,
	},
	{
		name:  "everything is back within a fraction of a second, also in mid-election",
		zones: 1,
		teams: limitedTeams,
		play:  playQuickRestarts,
	},
}

// TestFaultCombinations plays combinations of faults, each on a few seeds, with the rules
// checked after each step.
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

// run plays a combination on one seed, and then lets every job end. Every other seed has
// long leases.
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
	c.play(s)
	s.isolatedZone = ""
	sim.finish()
	if len(sim.violations()) > 0 {
		t.Fatalf("seed %d: %s", seed, sim.violations()[0])
	}
}
