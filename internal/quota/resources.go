package quota

import "math"

// Resources is the capacity of a machine, or an amount that a task needs or uses.
type Resources struct {
	CPUs, GPUs, MemGB float64
}

// roundingTolerance absorbs floating-point rounding in sums of decimal amounts.
const roundingTolerance = 1e-6

// UnlimitedResources returns an infinite amount of each resource, the neutral element of Min.
func UnlimitedResources() Resources {
	return Resources{CPUs: math.Inf(1), GPUs: math.Inf(1), MemGB: math.Inf(1)}
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPUs: r.CPUs + other.CPUs, GPUs: r.GPUs + other.GPUs, MemGB: r.MemGB + other.MemGB}
}

// Sub returns r minus other. An amount in the result is negative if other has more of that resource.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPUs: r.CPUs - other.CPUs, GPUs: r.GPUs - other.GPUs, MemGB: r.MemGB - other.MemGB}
}

// Times returns r multiplied by factor.
func (r Resources) Times(factor float64) Resources {
	return Resources{CPUs: r.CPUs * factor, GPUs: r.GPUs * factor, MemGB: r.MemGB * factor}
}

// Min returns the component-wise minimum of r and other.
func (r Resources) Min(other Resources) Resources {
	return Resources{CPUs: min(r.CPUs, other.CPUs), GPUs: min(r.GPUs, other.GPUs), MemGB: min(r.MemGB, other.MemGB)}
}

// Max returns the component-wise maximum of r and other.
func (r Resources) Max(other Resources) Resources {
	return Resources{CPUs: max(r.CPUs, other.CPUs), GPUs: max(r.GPUs, other.GPUs), MemGB: max(r.MemGB, other.MemGB)}
}

// Covers reports whether r has at least the needed amount of each resource.
func (r Resources) Covers(need Resources) bool {
	return need.CPUs <= r.CPUs+roundingTolerance &&
		need.GPUs <= r.GPUs+roundingTolerance &&
		need.MemGB <= r.MemGB+roundingTolerance
}

// FitCount returns the number of tasks with the given need that fit into r together, at most limit.
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

// DominantShare returns the largest fraction of whole that r takes in any resource. It ignores resources
// of which whole has none.
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
