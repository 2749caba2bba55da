package placement

import (
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// serviceScheduler places and migrates the replicas of services.
type serviceScheduler struct {
	*sharedState
	pass       *passState
	capacity   *capacityIndex
	rules      preemptionRules
	copyQueues *copyQueues
	markers    *startMarkers
	tasks      *taskLifecycle
	attempts   *attemptNumbers
}

// schedule places a service's pending replicas, a bounded number in each pass. A replica has no backup copy
// and does not queue behind other tasks: a direct command dispatches it as soon as it fits on a machine. If
// it fits nowhere, it preempts other tasks as preemptionRules allows.
func (s *serviceScheduler) schedule(now time.Time, service *Job, scope quotaScope) {
	if !s.markers.ensure(now, service) {
		return
	}
	placement := newReplicaPlacement(s, service, scope)
	for service.pendingTasks() > 0 {
		if !placement.mayPlace(now) || !placement.place(now) {
			return
		}
	}
}

// migrateReplica stops a replica on a machine with a preemption notice, so that a later
// scheduling pass restarts it on another machine; see rescheduler.evacuate. Two copies must
// not run at the same time, so the replica is unavailable from this stop to the next start.
func (s *serviceScheduler) migrateReplica(now time.Time, task *Task) {
	s.Counters.Relocated++
	s.tasks.stop(now, task, 0, "machine has a preemption notice")
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
	tasksByZone := j.zones.tasksByZone(scheduledTasks)
	for _, task := range j.tasks {
		if task.mustMigrate() {
			tasksByZone[task.machine.Zone]--
		}
	}
	return tasksByZone
}

// canMigrate reports whether another machine that caches the service's image can run the migrating replica
// without preemption. The zone constraints are checked without that replica.
func (s *serviceScheduler) canMigrate(migrating *Task) bool {
	service := migrating.Job
	tasksByZone := service.constrainedTasksByZone(migrating)
	return slices.ContainsFunc(s.registry.All(), func(machine *worker.Machine) bool {
		return s.eligibleForReplica(machine, service, tasksByZone) &&
			s.capacity.info(machine).hasImage(service.Spec.Image)
	})
}

// eligibleForReplica reports whether one more replica fits on a machine without preemption, given the
// service's replicas by zone, nil without zone constraints.
func (s *serviceScheduler) eligibleForReplica(
	machine *worker.Machine, service *Job, tasksByZone map[string]int,
) bool {
	if !machine.AvailableToPrimary().Covers(service.need) || !service.eligible(machine) {
		return false
	}
	return tasksByZone == nil || service.mayAddTaskIn(machine.Zone, tasksByZone)
}

// findPreemption returns the machine on which a replica fits at the lowest preemption
// cost, and the victims there. It returns a nil machine if there is none.
func (s *serviceScheduler) findPreemption(
	now time.Time, service *Job, scope quotaScope,
) (*worker.Machine, []*Task) {
	tasksByZone := service.constrainedTasksByZone(nil)
	class := service.equivalenceClass(scope)
	var chosen *worker.Machine
	var tasks []*Task
	lowestCost := 0.0
	for _, machine := range s.registry.All() {
		if s.capacity.feasibleSlots(now, class, machine) == 0 || service.avoidsAfterFailures(machine) {
			continue
		}
		if tasksByZone != nil && !service.mayAddTaskIn(machine.Zone, tasksByZone) {
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
