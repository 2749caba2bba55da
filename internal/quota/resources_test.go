package quota

import "testing"

func TestResources(t *testing.T) {
	whole := Resources{CPUs: 12, GPUs: 2, MemGB: 96}
	for _, c := range []struct {
		need          Resources
		fits          bool
		count         int
		dominantShare float64
	}{
		{need: Resources{CPUs: 5, GPUs: 1, MemGB: 36}, fits: true, count: 2, dominantShare: 0.5},
		{need: Resources{CPUs: 10, GPUs: 2, MemGB: 77}, fits: true, count: 1, dominantShare: 1},
		{need: Resources{CPUs: 13, GPUs: 0, MemGB: 1}, fits: false, count: 0, dominantShare: 13.0 / 12},
		{need: Resources{CPUs: 0.1, GPUs: 0, MemGB: 0}, fits: true, count: 120, dominantShare: 0.1 / 12},
	} {
		if got := whole.Covers(c.need); got != c.fits {
			t.Errorf("Covers(%v) = %t, want %t", c.need, got, c.fits)
		}
		if got := whole.FitCount(c.need, 1000); got != c.count {
			t.Errorf("FitCount(%v) = %d, want %d", c.need, got, c.count)
		}
		if got := c.need.DominantShare(whole); got != c.dominantShare {
			t.Errorf("DominantShare of %v = %g, want %g", c.need, got, c.dominantShare)
		}
	}
}
