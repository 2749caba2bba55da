package placement

import (
	"cmp"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// gangSlot is where a gang's task would go, and what it would cost.
type gangSlot struct {
	machine *worker.Machine
	cost    float64
	victims []*Task // to be stopped for it
}

// scheduleGang places a waiting gang whole, first fit, or not at all.
func (s *Scheduler) scheduleGang(now time.Time, job *Job, guaranteed bool) {
	if job.assigned > 0 || job.aborting {
		if s.reconciled && !job.aborting && job.assigned < job.Spec.Tasks-job.completed.count && job.attempt != 0 {
			s.abortGangAttempt(now, job, "incomplete")
		}
		return
	}
	if len(job.tasks) > 0 || job.IsComplete() || !s.mayPlaceGang(now, job, guaranteed) {
		return
	}
	// before the places are chosen: thousands may wait for their marks
	if !s.ensureStartMarker(now, job) {
		return
	}
	slots := s.cheapestGangPlacement(now, job, guaranteed)
	if slots == nil {
		s.recordNoRoom(now, job)
		return
	}
	s.placeGang(now, job, slots)
}

// mayPlaceGang tells whether a gang is to be placed now, if it fits.
func (s *Scheduler) mayPlaceGang(now time.Time, job *Job, guaranteed bool) bool {
	all := job.need.Times(float64(job.Spec.Tasks))
	switch {
	case guaranteed && !s.ledger.WithinGuarantee(job.Spec.Team, all):
		return false
	case !s.ledger.AdmitsReservation(job.Spec.Team, all):
		s.setPendingReason(job, "team's limit")
		return false
	case s.blockingGang != nil && s.blockingGang != job:
		s.setPendingReason(job, "an older gang goes first")
		return false
	case s.gangsWithoutRoom >= tuning.MaxGangAttempts:
		return false // there is no room for so many before it
	case !s.mayFit(now, job, guaranteed):
		s.gangsWithoutRoom++
		s.recordNoRoom(now, job)
		return false
	case s.gangsPlaced == tuning.MaxGangsPerPass:
		s.capacity.requestFullPass() // what else there is to do goes first
		return false
	}
	return true
}

// cheapestGangPlacement finds a place for each task of a gang, in the zone that costs least if they
// have to share one; nil if there is none.
func (s *Scheduler) cheapestGangPlacement(now time.Time, job *Job, guaranteed bool) []gangSlot {
	zones := []string{""}
	if job.Spec.SameZone {
		zones = s.platform.Zones
	}
	var best []gangSlot
	lowestCost := 0.0
	for _, zone := range zones {
		slots := s.findGangPlacement(now, job, zone, guaranteed)
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

// placeGang queues a gang's tasks at their places and stops what gives way to them.
func (s *Scheduler) placeGang(now time.Time, job *Job, slots []gangSlot) {
	s.gangsPlaced++
	s.Counters.GangsPlaced++
	job.pendingReason = ""
	atOnce := s.mustPreemptAtOnce(now, job, slots)
	for index, slot := range slots {
		task := &Task{Job: job, Index: index}
		job.tasks[index] = task
		s.queuePrimary(now, task, slot.machine)
		for _, victim := range slot.victims {
			if victim.phase != Dispatched && victim.phase != Active {
				continue
			}
			s.Counters.Preempted++
			if atOnce && !victim.Job.IsGang() {
				s.stop(now, victim, 0, "gives way at once to "+job.Spec.ID)
			} else {
				s.preempt(now, victim, "gives way to "+job.Spec.ID)
			}
		}
	}
	job.nextIndex, job.returnedTasks = job.Spec.Tasks, nil
}

// recordNoRoom notes that a gang found no room. Once it has waited for long, no gang
// behind it is placed before it: many small ones would take each machine that
// becomes free, and a large one would never see enough of them. Machines that
// are not there yet are not waited for in this way.
func (s *Scheduler) recordNoRoom(now time.Time, job *Job) {
	s.setPendingReason(job, "no room for all tasks")
	if s.blockingGang != nil || now.Sub(job.KnownSince) <= tuning.GangPatience {
		return
	}
	class, slots := job.equivalenceClass(false), 0
	for _, machine := range s.registry.All() {
		if machine.Schedulable(now) && class.allows(machine) {
			slots += machine.Capacity.FitCount(job.need, maxTasksPerMachine)
		}
	}
	if slots >= job.Spec.Tasks {
		s.blockingGang = job
	}
}

// reservedForGang tells whether a machine is kept for a starving gang that an array's
// tasks would not give way to.
func (s *Scheduler) reservedForGang(now time.Time, job *Job, machine *worker.Machine) bool {
	gang := s.blockingGang
	return gang != nil && gang.starving(now) && !job.starving(now) && job.priority >= gang.priority && gang.allows(machine.Type, machine.Zone, machine.Spot) && machine.Capacity.Fits(gang.need)
}

// gangCandidate is a machine that may have places for a gang, and what one there costs; at
// least that much while it is not known what has to give way.
type gangCandidate struct {
	gangSlot
	free  quota.Resources
	exact bool
}

// findGangPlacement finds a place for each task of a gang, in one zone if one is named, on
// the cheapest machines. What has to give way is worked out only for as many of
// them as it takes.
func (s *Scheduler) findGangPlacement(now time.Time, job *Job, zone string, guaranteed bool) []gangSlot {
	var candidates []*gangCandidate
	class := job.equivalenceClass(guaranteed)
	slotsByMachine := s.capacity.slotsByClass[class].byMachine // as counted when the gang was found reachable
	for _, machine := range s.registry.All() {
		if slotsByMachine[machine] == 0 || !machine.Schedulable(now) || !job.allows(machine.Type, machine.Zone, machine.Spot) || zone != "" && machine.Zone != zone || job.avoids(machine) {
			continue
		}
		c := &gangCandidate{gangSlot: gangSlot{machine: machine}, free: machine.AvailableToPrimary()}
		if c.exact = c.free.Fits(job.need); !c.exact {
			c.cost = tuning.ScorePreempt
		}
		if _, ok := machine.Images[job.Spec.Image]; !ok {
			c.cost += s.imageFetchCost(job, machine)
		}
		if job.Spec.Spot && !machine.Spot {
			c.cost += tuning.ScoreOnDemand
		}
		candidates = append(candidates, c)
	}
	byCost := func(a, c *gangCandidate) int { return cmp.Compare(a.cost, c.cost) }
	slices.SortStableFunc(candidates, byCost)
	var evaluated []*gangCandidate // by score
	for i := range candidates {
		if !job.Spec.SpreadAcrossZones && s.enoughSlots(evaluated, job, candidates[i].cost) {
			break
		}
		c := candidates[i]
		if !c.exact {
			cost := 0.0
			c.victims, c.free, cost = s.selectVictims(now, class, c.machine, c.free)
			c.cost += cost
		}
		if c.free.Fits(job.need) {
			at, _ := slices.BinarySearchFunc(evaluated, c.cost, func(other *gangCandidate, cost float64) int {
				if other.cost <= cost {
					return -1
				}
				return 1
			})
			evaluated = slices.Insert(evaluated, at, c)
		}
	}
	var slots []gangSlot
	inZone := map[string]int{}
	for _, c := range evaluated {
		for len(slots) < job.Spec.Tasks && c.free.Fits(job.need) && job.zoneAllowed(c.machine.Zone, inZone) {
			c.free = c.free.Sub(job.need)
			inZone[c.machine.Zone]++
			slots = append(slots, c.gangSlot)
			c.victims, c.cost = nil, 0
		}
	}
	if len(slots) < job.Spec.Tasks {
		return nil
	}
	return slots
}

// enoughSlots tells whether machines that cost no more than a score have places for a
// whole gang.
func (s *Scheduler) enoughSlots(candidates []*gangCandidate, job *Job, cost float64) bool {
	slots := 0
	for _, c := range candidates {
		if slots >= job.Spec.Tasks || c.cost > cost {
			break
		}
		slots += c.free.FitCount(job.need, maxTasksPerMachine)
	}
	return slots >= job.Spec.Tasks
}

// imageFetchTime estimates how many seconds a machine takes to fetch a job's image.
func (j *Job) imageFetchTime(machine *worker.Machine) float64 {
	if _, ok := machine.Images[j.Spec.Image]; ok || machine.ImagePullGBPerS <= 0 {
		return 0
	}
	return j.Spec.ImageGb / machine.ImagePullGBPerS
}

// imageFetchCost is what it costs a gang that its image is not on a machine: little
// if it can be fetched within a time in which its class should have started.
func (s *Scheduler) imageFetchCost(job *Job, machine *worker.Machine) float64 {
	for _, objective := range s.platform.Objectives {
		if objective.Kind == "wait" && objective.Class == job.Spec.Class && machine.ImagePullGBPerS > 0 &&
			job.imageFetchTime(machine)*tuning.ImagePullSlack+s.platform.Workers.HeartbeatS < objective.WithinS {
			return tuning.ScoreImageInTime
		}
	}
	return tuning.ScoreNoImage
}

// mustPreemptAtOnce tells whether a gang placed now starts within one of its class's times
// only if the work that gives way does not save first. What that work loses is
// its progress since its last checkpoint, about as much as saving takes.
func (s *Scheduler) mustPreemptAtOnce(now time.Time, job *Job, slots []gangSlot) bool {
	fetch, save := 0.0, 0.0
	for _, slot := range slots {
		fetch = max(fetch, job.imageFetchTime(slot.machine))
		for _, victim := range slot.victims {
			save = max(save, victim.Job.stopGrace())
		}
	}
	ready := now.Sub(job.KnownSince).Seconds() + fetch + tuning.GangStartOverhead.Seconds()
	return slices.ContainsFunc(s.platform.Objectives, func(objective config.Objective) bool {
		return objective.Kind == "wait" && objective.Class == job.Spec.Class && ready <= objective.WithinS && ready+save > objective.WithinS
	})
}

// preemptible tells whether a task may be stopped for a gang: work of lower priority, or of
// a team beyond its guarantee for one within its own.
func (s *Scheduler) preemptible(now time.Time, task *Task, class equivalenceClass) bool {
	victim := task.Job
	if task.isBackup || victim.closed {
		return false // its room counts as free already, or is about to be
	}
	if victim.Spec.Team != class.team {
		overGuarantee := s.ledger.OverGuarantee(victim.Spec.Team)
		if class.guaranteed && overGuarantee {
			return true
		}
		// A team that has only its guarantee keeps it against other teams' work
		// beyond theirs, whatever its priority: otherwise the two would stop each
		// other in turn, one by priority and one by its guarantee, for ever.
		if !class.guaranteed && !overGuarantee {
			return false
		}
	}
	return victim.priority < class.priority && !victim.starving(now)
}

// selectVictims chooses the tasks to stop on a machine so that a gang's task fits.
func (s *Scheduler) selectVictims(now time.Time, class equivalenceClass, machine *worker.Machine, free quota.Resources) (victims []*Task, freed quota.Resources, cost float64) {
	var candidates []*Task
	for _, task := range s.machineInfo(machine).assigned {
		if s.preemptible(now, task, class) {
			candidates = append(candidates, task)
		}
	}
	slices.SortFunc(candidates, func(a, b *Task) int { return cmp.Compare(s.preemptionCost(now, a), s.preemptionCost(now, b)) })
	for _, task := range candidates {
		if free.Fits(class.need) {
			break
		}
		free = free.Add(task.Job.need)
		cost += s.preemptionCost(now, task)
		victims = append(victims, task)
	}
	return victims, free, cost
}

// preemptionCost is the work, in seconds, that stopping a task throws away.
func (s *Scheduler) preemptionCost(now time.Time, task *Task) float64 {
	lost := now.Sub(task.dispatchedAt).Seconds()
	if task.Job.Spec.CheckpointIntervalS > 0 {
		lost = task.Job.Spec.CheckpointSaveTimeS
	}
	return lost * task.Job.need.DominantShare(task.machine.Capacity)
}

// dispatchGang hands out a placed gang once the room of each task is free.
func (s *Scheduler) dispatchGang(now time.Time, job *Job) {
	if len(job.tasks) != job.Spec.Tasks || job.assigned > 0 || job.aborting {
		return
	}
	freeByMachine := map[*worker.Machine]quota.Resources{}
	for index := range job.Spec.Tasks {
		task := job.tasks[index]
		if task == nil || task.primary == nil || task.primary.State != worker.Up {
			return
		}
		free, ok := freeByMachine[task.primary]
		if !ok {
			free = task.primary.Available()
		}
		if !free.Fits(job.need) {
			s.preemptBackups(now, task.primary, job.need.Sub(free))
			return
		}
		freeByMachine[task.primary] = free.Sub(job.need)
	}
	if !s.ledger.AdmitsStart(job.Spec.Team, job.need.Times(float64(job.Spec.Tasks))) {
		return
	}
	job.attempt = s.nextAttemptID(job)
	for index := range job.Spec.Tasks {
		task := job.tasks[index]
		machine := task.primary
		s.withdrawCopies(task)
		s.dispatch(now, task, machine, job.attempt, false, "gang starts")
	}
}
