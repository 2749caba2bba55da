package placement

import (
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// serviceScheduler places and migrates the replicas of services.
type serviceScheduler struct {
	*sharedState
	capacity *capacityIndex
	rules    preemptionRules
	queues   *copyQueues
	markers  *startMarkers
	tasks    *taskLifecycle
	attempts *attemptNumbers
}

// schedule places a service's pending replicas. A replica has no backup copy and does
// not queue behind other tasks: a direct command dispatches it as soon as it fits on a
// machine. If it fits nowhere, it preempts other tasks as preemptionRules allows.
func (s *serviceScheduler) schedule(now time.Time, service *Job, scope preemptionScope) {
	if !s.markers.ensure(now, service) {
		return
	}
	for service.pendingTasks() > 0 {
		if scope == guaranteedWork && !s.ledger.WithinGuarantee(service.Spec.Team, service.need) {
			return
		}
		if !s.ledger.AdmitsReservation(service.Spec.Team, service.need) && !s.preemptForQuota(now, service) {
			s.setPendingReason(service, "team's limit")
			return
		}
		if !s.placeReplica(now, service, scope) {
			return
		}
	}
}

// placeReplica places one pending replica of a service and reports whether it found a
// machine. It dispatches the replica if it fits at once; otherwise it queues the
// replica and preempts the victims.
func (s *serviceScheduler) placeReplica(now time.Time, service *Job, scope preemptionScope) bool {
	machine := s.findFreeMachine(service, nil, anyMachine)
	var victims []*Task
	if machine == nil {
		machine, victims = s.findPreemption(now, service, scope)
	}
	if machine == nil {
		s.setPendingReason(service, "no room")
		return false
	}
	index, ok := service.takePendingTask(now)
	if !ok {
		s.setPendingReason(service, "pause after a failure")
		return false
	}
	service.pendingReason = ""
	task := service.addTask(index)
	if len(victims) == 0 && machine.Available().Sub(machine.Reserved).Covers(service.need) {
		s.Counters.PrimariesStarted++
		s.tasks.dispatch(now, task, assignment{machine: machine, attempt: s.attempts.next(service)}, "replica starts")
		return true
	}
	s.queues.queuePrimary(now, task, machine)
	for _, victim := range victims {
		s.Counters.Preempted++
		s.tasks.preempt(now, victim, "preempted for "+service.Spec.ID)
	}
	return true
}

// migrateReplica stops a replica on a machine with a preemption notice if another
// machine with its image can run it at once, or unconditionally if force is set. Two
// copies must not run at the same time, so the replica is unavailable from this stop
// to the next start.
func (s *serviceScheduler) migrateReplica(now time.Time, task *Task, force bool) {
	if force || s.findFreeMachine(task.Job, task, cachedImage) != nil {
		s.Counters.Relocated++
		s.tasks.stop(now, task, 0, "machine has a preemption notice")
	}
}

// mustMigrate reports whether the task is an active replica on a machine with a
// preemption notice.
func (t *Task) mustMigrate() bool {
	return t.Job.IsService() && t.phase == Active && !t.machine.PreemptionTime.IsZero()
}

// replacementsNeeded returns the number of a service's replicas that must migrate. Each
// needs capacity on another machine, but no further quota.
func (j *Job) replacementsNeeded() (n int) {
	if !j.IsService() {
		return 0
	}
	for _, task := range j.tasks {
		if task.mustMigrate() {
			n++
		}
	}
	return n
}

// remainingTasksByZone counts the scheduled tasks by zone, without replicas that must
// migrate.
func (j *Job) remainingTasksByZone() map[string]int {
	tasksByZone := j.tasksByZone(scheduledTasks)
	for _, task := range j.tasks {
		if task.mustMigrate() {
			tasksByZone[task.machine.Zone]--
		}
	}
	return tasksByZone
}

// findFreeMachine returns a random one of the lowest-ranked machines on which one more
// replica fits without preemption, or nil if there is none. The zone constraints are
// checked without the migrating replica, nil if none migrates.
func (s *serviceScheduler) findFreeMachine(
	service *Job, migrating *Task, requirement imageRequirement,
) *worker.Machine {
	tasksByZone := service.constrainedTasksByZone(migrating)
	var best []*worker.Machine
	lowest := 0
	for _, machine := range s.registry.All() {
		if !machine.AvailableToPrimary().Covers(service.need) || !service.eligible(machine) {
			continue
		}
		if tasksByZone != nil && !service.zoneAllowed(machine.Zone, tasksByZone) {
			continue
		}
		if requirement == cachedImage && !s.capacity.info(machine).hasImage(service.Spec.Image) {
			continue
		}
		switch rank := s.capacity.info(machine).replicaRank(service); {
		case len(best) == 0 || rank < lowest:
			best, lowest = append(best[:0], machine), rank
		case rank == lowest:
			best = append(best, machine)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[s.rng.IntN(len(best))]
}

// findPreemption returns the machine on which a replica fits at the lowest preemption
// cost, and the victims there. It returns a nil machine if there is none.
func (s *serviceScheduler) findPreemption(
	now time.Time, service *Job, scope preemptionScope,
) (*worker.Machine, []*Task) {
	tasksByZone := service.constrainedTasksByZone(nil)
	class := service.equivalenceClass(scope)
	var chosen *worker.Machine
	var tasks []*Task
	lowestCost := 0.0
	for _, machine := range s.registry.All() {
		if s.capacity.feasibleSlots(now, class, machine) == 0 || service.avoids(machine) {
			continue
		}
		if tasksByZone != nil && !service.zoneAllowed(machine.Zone, tasksByZone) {
			continue
		}
		selected := s.rules.selectVictims(now, class, s.capacity.info(machine), machine.AvailableToPrimary())
		if !selected.free.Covers(service.need) {
			continue
		}
		cost := selected.cost + float64(s.capacity.info(machine).replicasOf(service))*tuning.CostPreemption
		if chosen == nil || cost < lowestCost {
			chosen, tasks, lowestCost = machine, selected.tasks, cost
		}
	}
	return chosen, tasks
}
