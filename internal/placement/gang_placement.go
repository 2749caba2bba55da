package placement

import (
	"cmp"
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// Kinds of service-level objectives in the platform's configuration.
const (
	objectiveWait     = "wait"     // from submission to start
	objectiveFinished = "finished" // from submission to completion
)

// gangSlot is a possible placement of one task of a gang.
type gangSlot struct {
	machine *worker.Machine
	cost    float64 // machine-seconds of lost work, including penalties
	victims []*Task // tasks to preempt for it
}

// gangCandidate is a machine that may have slots for a gang's tasks. Its cost is a
// lower bound until its victims are selected.
type gangCandidate struct {
	gangSlot
	free      quota.Resources // once the victims have exited
	costExact bool            // the first task fits without preemption, so the cost is final
}

// cheapestPlacement returns a slot for each task of a gang, or nil if there is no
// placement. For gangs that must share a zone it picks the zone of the lowest cost.
func (g *gangScheduler) cheapestPlacement(now time.Time, gang *Job, scope preemptionScope) []gangSlot {
	zones := []string{""}
	if gang.Spec.SameZone {
		zones = g.platform.Zones
	}
	var best []gangSlot
	lowestCost := 0.0
	for _, zone := range zones {
		slots := g.findPlacement(now, gang, zone, scope)
		cost := 0.0
		for _, slot := range slots {
			cost += slot.cost
		}
		if slots != nil && (best == nil || cost < lowestCost) {
			best, lowestCost = slots, cost
		}
	}
	return best
}

// findPlacement returns a slot for each task of a gang on the cheapest machines, or
// nil if there is no placement. A zone other than "" restricts the machines.
func (g *gangScheduler) findPlacement(now time.Time, gang *Job, zone string, scope preemptionScope) []gangSlot {
	class := gang.equivalenceClass(scope)
	candidates := g.listCandidates(gang, zone, g.capacity.slotsByClass[class].byMachine)
	return fillGangSlots(gang, g.evaluateCandidates(now, gang, class, candidates))
}

// listCandidates returns the machines that may have slots for a gang's tasks, in
// ascending order of the lower bound of their cost. slotsByMachine holds the counts
// of the capacity index for the gang's equivalence class.
func (g *gangScheduler) listCandidates(
	gang *Job, zone string, slotsByMachine map[*worker.Machine]int,
) []*gangCandidate {
	var candidates []*gangCandidate
	for _, machine := range g.registry.All() {
		if slotsByMachine[machine] == 0 || zone != "" && machine.Zone != zone || !gang.eligible(machine) {
			continue
		}
		c := &gangCandidate{gangSlot: gangSlot{machine: machine}, free: machine.AvailableToPrimary()}
		if c.costExact = c.free.Covers(gang.need); !c.costExact {
			c.cost = tuning.CostPreemption
		}
		if _, ok := machine.Images[gang.Spec.Image]; !ok {
			c.cost += g.imageFetchCost(gang, machine)
		}
		if gang.Spec.Spot && !machine.Spot {
			c.cost += tuning.CostOnDemand
		}
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(a, b *gangCandidate) int { return cmp.Compare(a.cost, b.cost) })
	return candidates
}

// evaluateCandidates selects the victims on the candidates and returns those that fit
// a task, in ascending order of exact cost. It stops once the cheapest ones have slots
// for the whole gang, unless the gang is spread across zones and may need any candidate.
func (g *gangScheduler) evaluateCandidates(
	now time.Time, gang *Job, class equivalenceClass, candidates []*gangCandidate,
) []*gangCandidate {
	var evaluated []*gangCandidate
	for _, c := range candidates {
		if !gang.Spec.SpreadAcrossZones && haveEnoughSlots(gang, evaluated, c.cost) {
			break
		}
		if !c.costExact {
			selected := g.rules.selectVictims(now, class, g.capacity.info(c.machine), c.free)
			c.victims, c.free = selected.tasks, selected.free
			c.cost += selected.cost
		}
		if c.free.Covers(gang.need) {
			evaluated = slices.Insert(evaluated, insertionIndex(evaluated, c.cost), c)
		}
	}
	return evaluated
}

// insertionIndex returns the index at which a candidate of the given cost keeps the
// list sorted by cost, after candidates of equal cost.
func insertionIndex(candidates []*gangCandidate, cost float64) int {
	index, _ := slices.BinarySearchFunc(candidates, cost, func(other *gangCandidate, cost float64) int {
		if other.cost <= cost {
			return -1
		}
		return 1
	})
	return index
}

// haveEnoughSlots reports whether the candidates that cost at most the given cost have
// slots for the whole gang. The candidates must be sorted by cost.
func haveEnoughSlots(gang *Job, candidates []*gangCandidate, cost float64) bool {
	slots := 0
	for _, c := range candidates {
		if slots >= gang.Spec.Tasks || c.cost > cost {
			break
		}
		slots += c.free.FitCount(gang.need, maxTasksPerMachine)
	}
	return slots >= gang.Spec.Tasks
}

// fillGangSlots assigns the gang's tasks to the candidates in order, first fit, within
// the gang's zone constraints. It returns nil if not all tasks fit.
func fillGangSlots(gang *Job, candidates []*gangCandidate) []gangSlot {
	var slots []gangSlot
	inZone := map[string]int{}
	for _, c := range candidates {
		for len(slots) < gang.Spec.Tasks && c.free.Covers(gang.need) && gang.zoneAllowed(c.machine.Zone, inZone) {
			c.free = c.free.Sub(gang.need)
			inZone[c.machine.Zone]++
			slots = append(slots, c.gangSlot)
			c.victims, c.cost = nil, 0 // the first slot carries the whole cost of the machine
		}
	}
	if len(slots) < gang.Spec.Tasks {
		return nil
	}
	return slots
}

// imageFetchTime estimates the time in seconds for a machine to pull the job's image.
// It returns 0 if the image is cached or the machine's pull rate is unknown.
func (j *Job) imageFetchTime(machine *worker.Machine) float64 {
	if _, ok := machine.Images[j.Spec.Image]; ok || machine.ImagePullGBPerS <= 0 {
		return 0
	}
	return j.Spec.ImageGB / machine.ImagePullGBPerS
}

// imageFetchCost returns the penalty for a machine without the gang's image. It is
// lower if the image can be pulled within a start objective of the gang's class.
func (g *gangScheduler) imageFetchCost(gang *Job, machine *worker.Machine) float64 {
	start := gang.imageFetchTime(machine)*tuning.ImagePullSlack + g.platform.Workers.HeartbeatS
	for _, objective := range g.platform.Objectives {
		if isStartObjective(objective, gang) && machine.ImagePullGBPerS > 0 && start < objective.WithinS {
			return tuning.CostImagePull
		}
	}
	return tuning.CostImageMissing
}
