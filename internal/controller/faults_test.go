package controller

import "testing"

// fault is a fault that is played alone, with what must come of it beyond the rules.
type fault struct {
	name string
	play func(sim *simulation)
}

// faults are faults that a random day may or may not contain.
var faults = []fault{
	{
		name: "no answer reaches a machine any more: it is deleted, and its work runs elsewhere",
		play: playInboundCut,
	},
	{
		name: "single answers are lost: no machine is deleted for it",
		play: playLostReplies,
	},
	{
		name: "copies of a deleted machine's heartbeats come late",
		play: playLateHeartbeatsOfDeletedMachine,
	},
	{
		name: "an unresponsive machine's late heartbeats: what its old incarnation says is void",
		play: playLateHeartbeatsOfExpiredIncarnation,
	},
	{
		name: "the lease holder is left with its workers only",
		play: playLeaseHolderIsolated,
	},
	{
		name: "a cancellation beside a lease holder left with its workers only",
		play: playCancellationBesideIsolatedLeaseHolder,
	},
	{
		name: "a cancellation while a lease holder and the workers are cut off from all the rest",
		play: playCancellationWithWorkersIsolated,
	},
	{
		name: "a machine is cut off as the lease holder crashes: what it may run waits, what never started does not",
		play: playMachineCutDuringFailover,
	},
	{
		name: "the lease holder freezes in the middle of whatever it does, again and again",
		play: playRepeatedFreezes,
	},
	{
		name: "everything is back within a fraction of a second",
		play: playQuickRestartsOfAll,
	},
	{
		name: "the leader and a candidate restart in mid-election",
		play: playRestartsDuringElection,
	},
}

// TestFaults plays faults one by one, without the intent log and with it.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			sim := steadySimulation(t, 6, 8)
			f.play(sim)
			sim.requireAllJobsEnd()
		})
		t.Run("intent log, "+f.name, func(t *testing.T) {
			sim := intentLogSimulation(t)
			f.play(sim)
			sim.requireAllJobsEnd()
		})
	}
}
