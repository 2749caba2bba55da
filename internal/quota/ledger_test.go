package quota

import (
	"testing"

	"juniperchute/internal/config"
)

var teams = []config.Team{
	{Name: "red", GPUs: 4, GPUsMax: 8}, {Name: "blue", CPUs: 10, CPUsMax: 20, GPUs: 2, GPUsMax: 4}, {Name: "free"},
}

// oneTask holds the resources that one task of the tests needs.
var oneTask = Resources{CPUs: 1, GPUs: 1}

// ledgerCase is a team's usage and whether the ledger admits an additional need.
type ledgerCase struct {
	name            string
	team            string
	used, reserved  float64 // numbers of tasks
	unknownUsage    Resources
	need            Resources
	asReservation   bool // need is for a reservation, otherwise for a start
	admitted        bool
	withinGuarantee bool
}

var ledgerCases = []ledgerCase{
	{
		name: "within the guarantee",
		team: "red", used: 3, need: oneTask,
		admitted: true, withinGuarantee: true,
	},
	{
		name: "over the guarantee, within the limit",
		team: "red", used: 7, need: oneTask,
		admitted: true,
	},
	{
		name: "over the limit",
		team: "red", used: 8, need: oneTask,
	},
	{
		name: "reservations count against a reservation",
		team: "red", used: 7, reserved: 1, need: oneTask, asReservation: true,
	},
	{
		name: "reservations do not count against a start",
		team: "red", used: 7, reserved: 1, need: oneTask,
		admitted: true,
	},
	{
		name: "unknown usage counts in full",
		team: "red", used: 7, unknownUsage: Resources{CPUs: 2, GPUs: 2}, need: oneTask,
	},
	{
		name: "unknown usage does not restrict a team without limit",
		team: "free", used: 100, unknownUsage: Resources{GPUs: 50}, need: oneTask,
		admitted: true,
	},
	{
		name: "over the CPU limit, within the GPU limit",
		team: "blue", used: 1, need: Resources{CPUs: 21},
	},
	{
		name: "unknown team",
		team: "green", need: oneTask,
	},
}

func TestLedger(t *testing.T) {
	for _, c := range ledgerCases {
		t.Run(c.name, func(t *testing.T) {
			ledger := NewLedger(teams, 1)
			ledger.AddUsed(c.team, oneTask.Times(c.used))
			ledger.AddReserved(c.team, oneTask.Times(c.reserved))
			ledger.SetUnknownUsage(c.unknownUsage)
			admits := ledger.AdmitsStart
			if c.asReservation {
				admits = ledger.AdmitsReservation
			}
			if got := admits(c.team, c.need); got != c.admitted {
				t.Errorf("admitted: %t, want %t", got, c.admitted)
			}
			if got := ledger.WithinGuarantee(c.team, c.need); got != c.withinGuarantee {
				t.Errorf("WithinGuarantee = %t, want %t", got, c.withinGuarantee)
			}
		})
	}
}

// Every team with a limit must have a valid home shard, and teams with limits must not share one while
// another shard has none.
func TestHomeShard(t *testing.T) {
	for shards := 1; shards <= 3; shards++ {
		for _, team := range []string{"red", "blue"} {
			if home := HomeShard(teams, team, shards); home < 0 || home >= shards {
				t.Errorf("home shard of %s among %d: %d", team, shards, home)
			}
		}
	}
	if HomeShard(teams, "red", 2) == HomeShard(teams, "blue", 2) {
		t.Error("two teams with limits have the same home shard of two")
	}
}
