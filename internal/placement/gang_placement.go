package placement

import (
	"cmp"
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// Kinds of objectives in the platform's configuration.
const (
	objectiveWait     = "wait"     // from submission to start
	objectiveFinished = "finished" // from submission to completion
)

// gangSlot is a place for one task of a gang, and what it costs.
type gangSlot struct {
	machine *worker.Machine
	cost    float64 // in machine-seconds of work given up for it
	victims []*Task // to be preempted for it
}

// gangCandidate is a machine that may have places for a gang's tasks. Its cost
// is a lower bound until it is known what has to be preempted there.
type gangCandidate struct {
	gangSlot
	free  quota.Resources // once the victims have ended
	exact bool            // the cost is exact, as nothing has to be preempted for a first task
}

// cheapestPlacement finds a place for each task of a gang. If they have to
// share a zone, it is the one that costs least. It returns nil if there is none.
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

// findPlacement finds a place for each task of a gang on the cheapest
// machines, in one zone unless that is "". It returns nil if there is none.
func (g *gangScheduler) findPlacement(now time.Time, gang *Job, zone string, scope preemptionScope) []gangSlot {
	class := gang.equivalenceClass(scope)
	candidates := g.candidates(gang, zone, g.capacity.slotsByClass[class].byMachine)
	return fillGangSlots(gang, g.evaluate(now, gang, class, candidates))
}

// candidates lists the machines that may have places for a gang's tasks,
// the cheapest first. The places by machine are those counted when the gang
// was found to fit.
func (g *gangScheduler) candidates(
	gang *Job, zone string, slotsByMachine map[*worker.Machine]int,
) []*gangCandidate {
	var candidates []*gangCandidate
	for _, machine := range g.registry.All() {
		if slotsByMachine[machine] == 0 || zone != "" && machine.Zone != zone || !gang.eligible(machine) {
			continue
		}
		c := &gangCandidate{gangSlot: gangSlot{machine: machine}, free: machine.AvailableToPrimary()}
		if c.exact = c.free.Fits(gang.need); !c.exact {
			c.cost = tuning.ScorePreempt
		}
		if _, ok := machine.Images[gang.Spec.Image]; !ok {
			c.cost += g.imageFetchCost(gang, machine)
		}
		if gang.Spec.Spot && !machine.Spot {
			c.cost += tuning.ScoreOnDemand
		}
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(a, b *gangCandidate) int { return cmp.Compare(a.cost, b.cost) })
	return candidates
}

// evaluate works out what has to be preempted on the candidates, for
// only as many of them as a gang needs, and returns those by their exact cost.
// A gang that is spread across zones may need any of them.
func (g *gangScheduler) evaluate(
	now time.Time, gang *Job, class equivalenceClass, candidates []*gangCandidate,
) []*gangCandidate {
	var evaluated []*gangCandidate
	for _, c := range candidates {
		if !gang.Spec.SpreadAcrossZones && enoughSlots(gang, evaluated, c.cost) {
			break
		}
		if !c.exact {
			selected := g.rules.selectVictims(now, class, g.capacity.info(c.machine), c.free)
			c.victims, c.free = selected.tasks, selected.free
			c.cost += selected.cost
		}
		if c.free.Fits(gang.need) {
			evaluated = slices.Insert(evaluated, positionAfter(evaluated, c.cost), c)
		}
	}
	return evaluated
}

// positionAfter returns where a candidate of the given cost belongs in a
// sorted list: after those that cost as much.
func positionAfter(candidates []*gangCandidate, cost float64) int {
	position, _ := slices.BinarySearchFunc(candidates, cost, func(other *gangCandidate, cost float64) int {
		if other.cost <= cost {
			return -1
		}
		return 1
	})
	return position
}

// enoughSlots reports whether the candidates that cost no more than the given
// cost have places for a whole gang.
func enoughSlots(gang *Job, candidates []*gangCandidate, cost float64) bool {
	slots := 0
	for _, c := range candidates {
		if slots >= gang.Spec.Tasks || c.cost > cost {
			break
		}
		slots += c.free.FitCount(gang.need, maxTasksPerMachine)
	}
	return slots >= gang.Spec.Tasks
}

// fillGangSlots fills the candidates, in their order, with a gang's tasks. It
// returns nil if they don't all fit.
func fillGangSlots(gang *Job, candidates []*gangCandidate) []gangSlot {
	var slots []gangSlot
	inZone := map[string]int{}
	for _, c := range candidates {
		for len(slots) < gang.Spec.Tasks && c.free.Fits(gang.need) && gang.zoneAllowed(c.machine.Zone, inZone) {
			c.free = c.free.Sub(gang.need)
			inZone[c.machine.Zone]++
			slots = append(slots, c.gangSlot)
			c.victims, c.cost = nil, 0 // the first task bears the cost of all
		}
	}
	if len(slots) < gang.Spec.Tasks {
		return nil
	}
	return slots
}

// imageFetchTime estimates how many seconds a machine takes to fetch the job's
// image, 0 if it has it or its speed is not known.
func (j *Job) imageFetchTime(machine *worker.Machine) float64 {
	if _, ok := machine.Images[j.Spec.Image]; ok || machine.ImagePullGBPerS <= 0 {
		return 0
	}
	return j.Spec.ImageGb / machine.ImagePullGBPerS
}

// imageFetchCost returns what it costs a gang that a machine does not have its
// image: less if it can be fetched within a start objective of the gang's class.
func (g *gangScheduler) imageFetchCost(gang *Job, machine *worker.Machine) float64 {
	start := gang.imageFetchTime(machine)*tuning.ImagePullSlack + g.platform.Workers.HeartbeatS
	for _, objective := range g.platform.Objectives {
		if isStartObjective(objective, gang) && machine.ImagePullGBPerS > 0 && start < objective.WithinS {
			return tuning.ScoreImageInTime
		}
	}
	return tuning.ScoreNoImage
}
