package placement

import (
	"cmp"
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// Services: their replicas run until the user cancels. A replica has no spare and is not
// queued behind others: it is handed out as soon as there is room, by a direct command, and
// lower work gives way to it where there is none.

// imageRequirement tells which machines come into question for a replica.
type imageRequirement bool

const (
	anyMachine  imageRequirement = false
	cachedImage imageRequirement = true // only ones that have the replica's image
)

// scheduleService places a service's waiting replicas, one machine each if it can.
func (s *Scheduler) scheduleService(now time.Time, job *Job, guaranteed bool) {
	if !s.ensureStartMarker(now, job) {
		return
	}
	for job.pendingTasks() > 0 {
		if guaranteed && !s.ledger.WithinGuarantee(job.Spec.Team, job.need) {
			return
		}
		if !s.ledger.AdmitsReservation(job.Spec.Team, job.need) && !s.preemptForQuota(now, job) {
			s.setPendingReason(job, "team's limit")
			return
		}
		if !s.placeReplica(now, job, guaranteed) {
			return
		}
	}
}

// placeReplica finds a place for one of a service's waiting replicas and hands it out
// there, or queues it at the head of a machine where lower work gives way.
func (s *Scheduler) placeReplica(now time.Time, job *Job, guaranteed bool) bool {
	machine := s.findReplicaMachine(now, job, nil, anyMachine)
	var victims []*Task
	if machine == nil {
		if machine, victims = s.findReplicaVictims(now, job, guaranteed); machine == nil {
			s.setPendingReason(job, "no room")
			return false
		}
	}
	index, ok := job.takePendingTask(now)
	if !ok {
		s.setPendingReason(job, "pause after a failure")
		return false
	}
	job.pendingReason = ""
	task := &Task{Job: job, Index: index}
	job.tasks[index] = task
	if len(victims) == 0 && machine.Available().Sub(machine.Reserved).Fits(job.need) {
		s.Counters.PrimariesStarted++
		s.dispatch(now, task, machine, s.nextAttemptID(job), false, "replica starts")
		return true
	}
	s.queuePrimary(now, task, machine)
	for _, victim := range victims {
		s.Counters.Preempted++
		s.preempt(now, victim, "gives way to "+job.Spec.ID)
	}
	return true
}

// preemptForQuota makes room for a replica below its team's limit: lower work of the same team
// that is only queued goes back, and if that is not enough, running work is stopped, that
// which loses least first. It tells whether the replica may start now.
func (s *Scheduler) preemptForQuota(now time.Time, job *Job) bool {
	lower := func(task *Task) bool {
		other := task.Job
		return other.Spec.Team == job.Spec.Team && other.priority < job.priority && !other.closed
	}
	releasing := quota.Resources{} // what is stopping already will give back
	admits := func() bool { return s.ledger.AdmitsReservation(job.Spec.Team, job.need.Sub(releasing)) }
	var running []*Task
	for _, machine := range s.registry.All() {
		info := s.machineInfo(machine)
		for _, task := range slices.Clone(info.primaryQueue) {
			if !admits() && lower(task) && task.primary == machine {
				s.requeue(now, task)
			}
		}
		for _, task := range info.assigned {
			switch {
			case task.phase == Stopping && task.Job.Spec.Team == job.Spec.Team:
				releasing = releasing.Add(task.Job.need)
			case lower(task) && !task.Job.starving(now):
				running = append(running, task)
			}
		}
	}
	if releasing == (quota.Resources{}) && admits() {
		return true
	}
	slices.SortFunc(running, func(a, b *Task) int { return cmp.Compare(s.preemptionCost(now, a), s.preemptionCost(now, b)) })
	var victims []*Task
	for _, task := range running {
		if admits() {
			break
		}
		victims = append(victims, task)
		releasing = releasing.Add(task.Job.need)
	}
	if !admits() {
		return false // stopping them would not help
	}
	for _, task := range victims {
		if task.phase == Stopping {
			continue // its gang has been stopped as a whole
		}
		s.Counters.Preempted++
		s.preempt(now, task, "gives its team's quota to "+job.Spec.ID)
	}
	return false // once they are gone
}

// replicasOn is how many of a service's replicas are on a machine or about to be.
func (s *Scheduler) replicasOn(job *Job, machine *worker.Machine) int {
	info := s.machineInfo(machine)
	n := 0
	for _, list := range [][]*Task{info.assigned, info.primaryQueue} {
		for _, task := range list {
			if task.Job == job {
				n++
			}
		}
	}
	return n
}

// hostsService tells whether a machine has replicas of any service.
func (s *Scheduler) hostsService(machine *worker.Machine) bool {
	return slices.ContainsFunc(s.machineInfo(machine).assigned, func(task *Task) bool { return task.Job.IsService() })
}

// findReplicaMachine finds the best machine with room for one more replica; moving is the one
// that leaves its machine for it, nil if none does.
func (s *Scheduler) findReplicaMachine(now time.Time, job *Job, moving *Task, requirement imageRequirement) *worker.Machine {
	tasksByZone := job.constrainedTasksByZone(moving)
	var best []*worker.Machine
	lowest := 0
	for _, machine := range s.registry.All() {
		if !machine.Schedulable(now) || !machine.AvailableToPrimary().Fits(job.need) || !job.allows(machine.Type, machine.Zone, machine.Spot) || job.avoids(machine) ||
			tasksByZone != nil && !job.zoneAllowed(machine.Zone, tasksByZone) {
			continue
		}
		if requirement == cachedImage && !s.hasImage(machine, job.Spec.Image) {
			continue
		}
		switch rank := s.replicaRank(job, machine); {
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

// constrainedTasksByZone counts a job's tasks by zone if its placement depends on them, without one that
// is about to leave its machine; nil if it does not.
func (j *Job) constrainedTasksByZone(leaving *Task) map[string]int {
	if !j.zoneConstrained() {
		return nil
	}
	tasksByZone := j.tasksByZone(true)
	if leaving != nil && leaving.machine != nil {
		tasksByZone[leaving.machine.Zone]--
	}
	return tasksByZone
}

// replicaRank ranks a machine with room for a replica, the lowest first: with as few of
// its siblings as can be, so that one loss takes few; not spot, if there are others; with
// the image; where other services are, so that few machines are held by them; then the
// fuller ones.
func (s *Scheduler) replicaRank(job *Job, machine *worker.Machine) int {
	const (
		step     = 2 * tuning.FillLevels // more than any fill
		alone    = 1 * step              // no service there
		noImage  = 2 * step
		onSpot   = 4 * step
		siblings = 8 * step // each
	)
	rank := int(tuning.FillLevels*machine.AvailableToPrimary().DominantShare(machine.Capacity)) + siblings*s.replicasOn(job, machine)
	if !s.hostsService(machine) {
		rank += alone
	}
	if !s.hasImage(machine, job.Spec.Image) {
		rank += noImage
	}
	if machine.Spot {
		rank += onSpot
	}
	return rank
}

// findReplicaVictims finds a machine where lower work gives way to a replica, and that
// work: where least is lost.
func (s *Scheduler) findReplicaVictims(now time.Time, job *Job, guaranteed bool) (*worker.Machine, []*Task) {
	tasksByZone := job.constrainedTasksByZone(nil)
	class := job.equivalenceClass(guaranteed)
	var chosen *worker.Machine
	var victims []*Task
	lowestCost := 0.0
	for _, machine := range s.registry.All() {
		if s.feasibleSlots(now, class, machine) == 0 || job.avoids(machine) || tasksByZone != nil && !job.zoneAllowed(machine.Zone, tasksByZone) {
			continue
		}
		candidates, free, cost := s.selectVictims(now, class, machine, machine.AvailableToPrimary())
		if !free.Fits(job.need) {
			continue
		}
		if cost += float64(s.replicasOn(job, machine)) * tuning.ScorePreempt; chosen == nil || cost < lowestCost {
			chosen, victims, lowestCost = machine, candidates, cost
		}
	}
	return chosen, victims
}

// recordServiceSuccess notes that a replica has run for a while: what fails later elsewhere is
// that machine's fault, not the service's.
func (j *Job) recordServiceSuccess(now time.Time, task *Task) {
	if j.IsService() && !task.runningSince.IsZero() && now.Sub(task.runningSince) >= tuning.ServiceHealthyAfter {
		j.succeededOn[task.machine.Host] = true
		j.failures, j.shortRuns = 0, 0
	}
}

// restartPause is how long a replica that has ended by itself waits before it runs again:
// not at all, unless it ended as soon as it had begun. While none of the service's replicas
// lasts, the pause doubles.
func (j *Job) restartPause(now time.Time, task *Task) time.Duration {
	if j.recordServiceSuccess(now, task); !task.runningSince.IsZero() && now.Sub(task.runningSince) >= tuning.ServiceHealthyAfter {
		return 0
	}
	pause := tuning.RetryInitial << min(j.shortRuns, tuning.RetryDoublings)
	j.shortRuns++
	return pause
}

// migrateReplica stops a replica whose machine is about to go once another machine would
// take it at once, or when there is no more time to wait for one. Two copies may not be
// there at a time: the gap is from this stop to the next start.
func (s *Scheduler) migrateReplica(now time.Time, task *Task, lastMoment bool) {
	if lastMoment || s.findReplicaMachine(now, task.Job, task, cachedImage) != nil {
		s.Counters.Relocated++
		s.stop(now, task, 0, "its machine is recalled")
	}
}

// mustLeave tells whether a replica has to leave its machine, which the cloud takes back.
func (t *Task) mustLeave() bool {
	return t.Job.IsService() && t.phase == Active && !t.machine.PreemptionTime.IsZero()
}

// replacementsNeeded is how many of a service's replicas have to leave their machines: each needs
// a place that is there by then. They are within their team's limit already.
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

// stayingZones counts a job's tasks by zone, without replicas that have to leave.
func (j *Job) stayingZones() map[string]int {
	tasksByZone := j.tasksByZone(true)
	for _, task := range j.tasks {
		if task.mustLeave() {
			tasksByZone[task.machine.Zone]--
		}
	}
	return tasksByZone
}
