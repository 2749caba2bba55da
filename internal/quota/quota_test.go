package quota

import (
	"testing"

	"juniperchute/internal/config"
)

var teams = []config.Team{
	{Name: "red", GPUs: 4, GPUsMax: 8}, {Name: "blue", CPUs: 10, CPUsMax: 20, GPUs: 2, GPUsMax: 4}, {Name: "free"},
}

func TestAdmits(t *testing.T) {
	one := Room{CPUs: 1, GPUs: 1}
	for _, c := range []struct {
		name               string
		team               string
		used, promised     float64
		blocked            Room
		need               Room
		drawn, ok, pledged bool
	}{
		{name: "within the guarantee", team: "red", used: 3, need: one, ok: true, pledged: true},
		{name: "beyond the guarantee, within the limit", team: "red", used: 7, need: one, ok: true},
		{name: "beyond the limit", team: "red", used: 8, need: one},
		{name: "promises count when drawing", team: "red", used: 7, promised: 1, need: one, drawn: true},
		{name: "promises do not count when starting", team: "red", used: 7, promised: 1, need: one, ok: true},
		{name: "unseen room counts in full", team: "red", used: 7, blocked: Room{CPUs: 2, GPUs: 2}, need: one},
		{name: "unseen room does not bind a team without limit", team: "free", used: 100, blocked: Room{GPUs: 50}, need: one, ok: true},
		{name: "either resource may bind", team: "blue", used: 1, need: Room{CPUs: 21}},
		{name: "unknown team", team: "green", need: one},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewBook(teams, 0, 1)
			b.Use(c.team, one, c.used)
			b.Promise(c.team, one, c.promised)
			b.Block(c.blocked)
			if got := b.Admits(c.team, c.need, c.drawn); got != c.ok {
				t.Errorf("Admits = %t, want %t", got, c.ok)
			}
			if got := b.Guaranteed(c.team, c.need); got != c.pledged {
				t.Errorf("Guaranteed = %t, want %t", got, c.pledged)
			}
		})
	}
}

// A limited team's limit is whole in one block, whatever their number: split
// limits could not be held exactly, and a large gang would fit none.
func TestHome(t *testing.T) {
	for blocks := 1; blocks <= 3; blocks++ {
		for _, team := range []string{"red", "blue"} {
			if h := Home(teams, team, blocks); h < 0 || h >= blocks {
				t.Errorf("home of %s of %d blocks: %d", team, blocks, h)
			}
		}
	}
	if Home(teams, "red", 2) == Home(teams, "blue", 2) {
		t.Error("limited teams share a block while another has none")
	}
}

func TestRoom(t *testing.T) {
	whole := Room{CPUs: 12, GPUs: 2, MemGB: 96}
	for _, c := range []struct {
		need  Room
		fits  bool
		count int
		share float64
	}{
		{Room{5, 1, 36}, true, 2, 0.5},
		{Room{10, 2, 77}, true, 1, 1},
		{Room{13, 0, 1}, false, 0, 13.0 / 12},
		{Room{0.1, 0, 0}, true, 120, 0.1 / 12},
	} {
		if whole.Fits(c.need) != c.fits || whole.Count(c.need, 1000) != c.count || c.need.Share(whole) != c.share {
			t.Errorf("%v: fits %t, count %d, share %g", c.need, whole.Fits(c.need), whole.Count(c.need, 1000), c.need.Share(whole))
		}
	}
}
