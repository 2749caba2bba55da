package controller

import "testing"

// fault describes a single fault. simulate injects it and checks expectations beyond the rules.
type fault struct {
	name     string
	simulate func(sim *simulation)
}

// faults holds faults that random fault injection may not produce.
var faults = []fault{
	{
		name:     "machine that receives no answer is deleted and its tasks run elsewhere",
		simulate: simulateInboundPartition,
	},
	{
		name:     "single lost replies delete no machine",
		simulate: simulateLostReplies,
	},
	{
		name:     "late heartbeats of a deleted machine do not add it again",
		simulate: simulateLateHeartbeatsOfDeletedMachine,
	},
	{
		name:     "late heartbeats of an expired incarnation are rejected",
		simulate: simulateLateHeartbeatsOfExpiredIncarnation,
	},
	{
		name:     "workers of an isolated lease holder move to its successor",
		simulate: simulateLeaseHolderIsolation,
	},
	{
		name:     "cancellation while the lease holder reaches only its workers",
		simulate: simulateCancellationDuringIsolation,
	},
	{
		name:     "cancellation while the workers reach only an isolated lease holder",
		simulate: simulateCancellationWithWorkersIsolated,
	},
	{
		name:     "failover with an unreachable machine starts only jobs that never started",
		simulate: simulateMachinePartitionDuringFailover,
	},
	{
		name:     "lease holder freezes repeatedly before effects of all kinds",
		simulate: simulateRepeatedFreezes,
	},
	{
		name:     "controllers restart within a fraction of a second",
		simulate: simulateQuickRestartsOfAll,
	},
	{
		name:     "controllers restart during an election",
		simulate: simulateRestartsDuringElection,
	},
}

// TestFaults guards against violations of the protocol's rules and against jobs that never end under
// single faults, without and with the intent log.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			sim := steadySimulation(t, 6, 8)
			f.simulate(sim)
			sim.requireAllJobsEnd()
		})
		t.Run("intent log, "+f.name, func(t *testing.T) {
			sim := intentLogSimulation(t)
			f.simulate(sim)
			sim.requireAllJobsEnd()
		})
	}
}
