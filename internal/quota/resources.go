package quota

import "math"

// Resources is an amount of a machine's resources, or a task's demand for them.
type Resources struct {
	CPUs, GPUs, MemGB float64
}

// roundingTolerance absorbs the rounding of sums of decimal amounts.
const roundingTolerance = 1e-6

// UnlimitedResources returns an amount larger than any other: the start value
// of a minimum.
func UnlimitedResources() Resources {
	return Resources{CPUs: math.Inf(1), GPUs: math.Inf(1), MemGB: math.Inf(1)}
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPUs: r.CPUs + other.CPUs, GPUs: r.GPUs + other.GPUs, MemGB: r.MemGB + other.MemGB}
}

// Sub returns r less other. A resource of the result is negative where other has more of it.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPUs: r.CPUs - other.CPUs, GPUs: r.GPUs - other.GPUs, MemGB: r.MemGB - other.MemGB}
}

// Times returns r multiplied by factor.
func (r Resources) Times(factor float64) Resources {
	return Resources{CPUs: r.CPUs * factor, GPUs: r.GPUs * factor, MemGB: r.MemGB * factor}
}

// Min returns the lesser of r and other in each resource.
func (r Resources) Min(other Resources) Resources {
	return Resources{CPUs: min(r.CPUs, other.CPUs), GPUs: min(r.GPUs, other.GPUs), MemGB: min(r.MemGB, other.MemGB)}
}

// Max returns the greater of r and other in each resource.
func (r Resources) Max(other Resources) Resources {
	return Resources{CPUs: max(r.CPUs, other.CPUs), GPUs: max(r.GPUs, other.GPUs), MemGB: max(r.MemGB, other.MemGB)}
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+roundingTolerance &&
		need.GPUs <= r.GPUs+roundingTolerance &&
		need.MemGB <= r.MemGB+roundingTolerance
}

// FitCount returns how many tasks that need the given amount each fit into r, at most limit.
func (r Resources) FitCount(need Resources, limit int) int {
	count := limit
	for _, resource := range []struct{ need, available float64 }{
		{need.CPUs, r.CPUs}, {need.GPUs, r.GPUs}, {need.MemGB, r.MemGB},
	} {
		if resource.need > 0 {
			count = min(count, int((resource.available+roundingTolerance)/resource.need))
		}
	}
	return max(count, 0)
}

// DominantShare returns the largest share of whole that r takes in any
// resource. Resources of which whole has none are left out.
func (r Resources) DominantShare(whole Resources) float64 {
	share := 0.0
	for _, resource := range []struct{ amount, whole float64 }{
		{r.CPUs, whole.CPUs}, {r.GPUs, whole.GPUs}, {r.MemGB, whole.MemGB},
	} {
		if resource.amount > 0 && resource.whole > 0 {
			share = max(share, resource.amount/resource.whole)
		}
	}
	return share
}
