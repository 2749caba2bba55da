package placement

import (
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// serviceScheduler places the replicas of services, and moves them.
type serviceScheduler struct {
	*sharedState
	capacity *capacityIndex
	rules    preemptionRules
	queues   *copyQueues
	markers  *startMarkers
	tasks    *taskLifecycle
	attempts *attemptNumbers
}

// schedule places a service's pending replicas. A replica has no backup
// and does not queue behind other tasks: it is dispatched as soon as there is
// room, by a direct command, and work of lower priority is preempted for it
// where there is none.
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

// placeReplica places one of a service's pending replicas and reports whether
// it found a place: dispatched where there is room, or queued where work of
// lower priority is preempted for it.
func (s *serviceScheduler) placeReplica(now time.Time, service *Job, scope preemptionScope) bool {
	machine := s.findMachine(service, nil, anyMachine)
	var victims []*Task
	if machine == nil {
		machine, victims = s.findVictims(now, service, scope)
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
	if len(victims) == 0 && machine.Available().Sub(machine.Reserved).Fits(service.need) {
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

// migrateReplica stops a replica whose machine has a preemption notice, once
// another machine would take it at once, or at the last moment. Two copies may
// not exist at a time: the replica is down from this stop to the next start.
func (s *serviceScheduler) migrateReplica(now time.Time, task *Task, lastMoment bool) {
	if lastMoment || s.findMachine(task.Job, task, cachedImage) != nil {
		s.Counters.Relocated++
		s.tasks.stop(now, task, 0, "machine has a preemption notice")
	}
}

// mustLeave reports whether the task is a replica on a machine with a preemption notice.
func (t *Task) mustLeave() bool {
	return t.Job.IsService() && t.phase == Active && !t.machine.PreemptionTime.IsZero()
}

// replacementsNeeded returns how many of a service's replicas have to leave
// their machines. Each needs another place by then; the team's limit has
// admitted them already.
func (j *Job) replacementsNeeded() (n int) {
	if !j.IsService() {
		return 0
	}
	for _, task := range j.tasks {
		if task.mustLeave() {
			n++
		}
	}
	return n
}

// stayingTasksByZone counts the scheduled tasks by zone, without replicas that
// have to leave their machines.
func (j *Job) stayingTasksByZone() map[string]int {
	tasksByZone := j.tasksByZone(scheduledTasks)
	for _, task := range j.tasks {
		if task.mustLeave() {
			tasksByZone[task.machine.Zone]--
		}
	}
	return tasksByZone
}

// findMachine finds a random one among the best machines with room for
// one more replica. The leaving replica, if any, gives up its machine for it.
func (s *serviceScheduler) findMachine(
	service *Job, leaving *Task, requirement imageRequirement,
) *worker.Machine {
	tasksByZone := service.constrainedTasksByZone(leaving)
	var best []*worker.Machine
	lowest := 0
	for _, machine := range s.registry.All() {
		if !machine.AvailableToPrimary().Fits(service.need) || !service.eligible(machine) {
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

// findVictims finds the machine where preempting work of lower priority
// for a replica loses least, and that work; nil if there is none.
func (s *serviceScheduler) findVictims(
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
		if !selected.free.Fits(service.need) {
			continue
		}
		cost := selected.cost + float64(s.capacity.info(machine).replicasOf(service))*tuning.ScorePreempt
		if chosen == nil || cost < lowestCost {
			chosen, tasks, lowestCost = machine, selected.tasks, cost
		}
	}
	return chosen, tasks
}
