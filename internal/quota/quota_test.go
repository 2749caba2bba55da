package quota

import (
	"testing"

	"juniperchute/internal/config"
)

var teams = []config.Team{
	{Name: "red", GPUs: 4, GPUsMax: 8}, {Name: "blue", CPUs: 10, CPUsMax: 20, GPUs: 2, GPUsMax: 4}, {Name: "free"},
}

func TestAdmits(t *testing.T) {
	one := Resources{CPUs: 1, GPUs: 1}
	for _, c := range []struct {
		name               string
		team               string
		used, promised     float64
		blocked            Resources
		need               Resources
		drawn, ok, pledged bool
	}{
		{name: "within the guarantee", team: "red", used: 3, need: one, ok: true, pledged: true},
		{name: "beyond the guarantee, within the limit", team: "red", used: 7, need: one, ok: true},
		{name: "beyond the limit", team: "red", used: 8, need: one},
		{name: "promises count when drawing", team: "red", used: 7, promised: 1, need: one, drawn: true},
		{name: "promises do not count when starting", team: "red", used: 7, promised: 1, need: one, ok: true},
		{name: "unseen room counts in full", team: "red", used: 7, blocked: Resources{CPUs: 2, GPUs: 2}, need: one},
		{name: "unseen room does not bind a team without limit", team: "free", used: 100, blocked: Resources{GPUs: 50}, need: one, ok: true},
		{name: "either resource may bind", team: "blue", used: 1, need: Resources{CPUs: 21}},
		{name: "unknown team", team: "green", need: one},
	} {
		t.Run(c.name, func(t *testing.T) {
			ledger := NewLedger(teams, 0, 1)
			ledger.AddUsed(c.team, one, c.used)
			ledger.AddReserved(c.team, one, c.promised)
			ledger.SetUnknownUsage(c.blocked)
			if got := ledger.Admits(c.team, c.need, c.drawn); got != c.ok {
				t.Errorf("Admits = %t, want %t", got, c.ok)
			}
			if got := ledger.WithinGuarantee(c.team, c.need); got != c.pledged {
				t.Errorf("Guaranteed = %t, want %t", got, c.pledged)
			}
		})
	}
}

// A limited team's limit is whole in one block, whatever their number: split
// limits could not be held exactly, and a large gang would fit none.
func TestHomeShard(t *testing.T) {
	for shards := 1; shards <= 3; shards++ {
		for _, team := range []string{"red", "blue"} {
			if home := HomeShard(teams, team, shards); home < 0 || home >= shards {
				t.Errorf("home of %s of %d blocks: %d", team, shards, home)
			}
		}
	}
	if HomeShard(teams, "red", 2) == HomeShard(teams, "blue", 2) {
		t.Error("limited teams share a block while another has none")
	}
}

func TestResources(t *testing.T) {
	whole := Resources{CPUs: 12, GPUs: 2, MemGB: 96}
	for _, c := range []struct {
		need  Resources
		fits  bool
		count int
		share float64
	}{
		{Resources{5, 1, 36}, true, 2, 0.5},
		{Resources{10, 2, 77}, true, 1, 1},
		{Resources{13, 0, 1}, false, 0, 13.0 / 12},
		{Resources{0.1, 0, 0}, true, 120, 0.1 / 12},
	} {
		if whole.Fits(c.need) != c.fits || whole.FitCount(c.need, 1000) != c.count || c.need.DominantShare(whole) != c.share {
			t.Errorf("%v: fits %t, count %d, share %g", c.need, whole.Fits(c.need), whole.FitCount(c.need, 1000), c.need.DominantShare(whole))
		}
	}
}
