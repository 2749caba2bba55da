package placement

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// allows tells whether a job may run on a machine at all: type, zone and kind.
func (j *Job) allows(machineType, zone string, spot bool) bool {
	spec := &j.Spec
	if spot && !spec.Spot {
		return false
	}
	if spec.Zone != "" && spec.Zone != zone {
		return false
	}
	return spec.AnyType || slices.Contains(spec.Types, machineType)
}

// avoids tells whether the job has failed on a machine, and not so widely that
// the job itself must be at fault.
func (j *Job) avoids(machine *worker.Machine) bool {
	return len(j.failedOn) > 0 && j.failedOn[machine.Host] > 0 && (len(j.failedOn) < tuning.FailingJobMachines || j.IsService() && len(j.succeededOn) > 0)
}

// yards counts a job's tasks by zone: those on machines, and with queued also
// those that have been drawn.
func (j *Job) tasksByZone(queued bool) map[string]int {
	tasksByZone := map[string]int{}
	for _, task := range j.tasks {
		switch {
		case task.phase >= Dispatched && task.phase <= Stopping:
			tasksByZone[task.machine.Zone]++
		case queued && task.primary != nil:
			tasksByZone[task.primary.Zone]++
		}
	}
	return tasksByZone
}

// zoneAllowed tells whether one more task of a job may be in a zone, beside n.
func (j *Job) zoneAllowed(zone string, tasksByZone map[string]int) bool {
	if j.Spec.SameZone {
		for otherZone, count := range tasksByZone {
			if count > 0 && otherZone != zone {
				return false
			}
		}
	}
	return !j.Spec.SpreadAcrossZones || tasksByZone[zone]+1 <= (j.Spec.Tasks+1)/2
}

// zoneConstrained tells whether where a job's tasks may be depends on the others.
func (j *Job) zoneConstrained() bool { return j.Spec.SameZone || j.Spec.SpreadAcrossZones }

// safeToStart tells whether all that may be on unseen machines allows a held
// task of the job to start.
func (s *Scheduler) safeToStart(job *Job) bool {
	return s.reconciled || !job.FromEarlierTerm || s.RequestStartMarker != nil && !job.StartedInEarlierTerm
}

// Schedule takes up held tasks in order and queues their copies, places gangs
// whole, and redraws what is stuck. It does nothing while nothing has changed.
func (s *Scheduler) Schedule(now time.Time) {
	due := !now.Before(s.nextPassDue)
	if due {
		s.nextPassDue = now.Add(tuning.PassInterval)
		s.handlePreemptionNotices(now)
		s.rescheduleStuck(now)
	}
	if gained := s.refreshCapacity(now); !gained && !due && !s.capacity.fullPassNeeded {
		return
	}
	s.capacity.fullPassNeeded = false
	s.blockingGang, s.gangsWithoutRoom, s.arrayTasksQueued, s.gangsPlaced = nil, 0, 0, 0
	for _, tier := range s.priorityTiers(now) {
		for _, guaranteedOnly := range []bool{true, false} {
			if guaranteedOnly && !s.ledger.HasGuarantees() {
				continue
			}
			// room goes to a task whose image is there before one of a
			// somewhat earlier turn that would have it fetched
			for _, cachedImageOnly := range []bool{true, false} {
				jobs := tier.jobs
				if len(s.capacity.freeMachines) == 0 {
					jobs = tier.gangsAndServices // work may give way to them
				}
				for _, job := range jobs {
					s.scheduleJob(now, job, passFilter{guaranteedOnly, cachedImageOnly})
				}
			}
		}
	}
	for _, job := range s.openJobs {
		if job.IsGang() {
			s.dispatchGang(now, job)
		}
	}
}

func (s *Scheduler) setPendingReason(job *Job, reason string) {
	if job.pendingReason != reason {
		job.pendingReason = reason
		s.log.Debug("job waits", "job", job.Spec.ID, "why", reason, "held", job.pendingTasks())
	}
}

// passFilter tells which of a draw's passes over the jobs this is.
type passFilter struct {
	guaranteedOnly  bool // only what stays within its team's guarantee
	cachedImageOnly bool // only tasks whose image is on the machine, with some exceptions
}

// scheduleJob takes up what a job has waiting.
func (s *Scheduler) scheduleJob(now time.Time, job *Job, filter passFilter) {
	// most jobs have nothing waiting: that is told first
	whole := job.IsGang() || job.IsService()
	switch {
	case whole && filter.cachedImageOnly:
		return // where the image is counts in the places' scores
	case !job.IsGang() && job.pendingTasks() == 0:
		return
	case !whole && len(s.capacity.freeMachines) == 0:
		return
	case job.closed || now.Before(job.notBefore):
		return
	case !s.safeToStart(job):
		s.setPendingReason(job, "its tasks may be on machines not heard yet")
		return
	case !s.canRequestStartMarker(job):
		return
	}
	switch {
	case job.IsGang():
		s.scheduleGang(now, job, filter.guaranteedOnly)
	case job.IsService():
		s.scheduleService(now, job, filter.guaranteedOnly)
	default:
		s.scheduleArray(now, job, filter)
	}
}

// handlePreemptionNotices prepares machines that the cloud is about to take: queued copies
// leave at once, tasks that can save are stopped just in time to do so.
func (s *Scheduler) handlePreemptionNotices(now time.Time) {
	for _, machine := range s.registry.All() {
		info := s.machineInfo(machine)
		if len(info.primaryQueue)+len(info.backupQueue) > 0 && !machine.Schedulable(now) {
			s.clearQueues(now, machine)
		}
		if machine.PreemptionTime.IsZero() {
			continue
		}
		margin := config.Seconds(s.platform.Workers.HeartbeatS*tuning.PreemptionHeartbeats) + tuning.CheckpointGrace
		for _, task := range slices.Clone(info.assigned) {
			if task.phase == Active && task.Job.IsService() {
				s.migrateReplica(now, task, now.Add(margin).After(machine.PreemptionTime))
				continue
			}
			if task.phase == Active && task.Job.Spec.CheckpointIntervalS > 0 && task.stage != wire.TaskFetching &&
				now.Add(config.Seconds(task.Job.Spec.CheckpointSaveTimeS)+margin).After(machine.PreemptionTime) {
				s.preempt(now, task, "machine is recalled")
			}
		}
	}
}

// rescheduleStuck moves mains that have been stuck past a report round while another
// machine would take them now.
func (s *Scheduler) rescheduleStuck(now time.Time) {
	stuckAfter := config.Seconds(s.platform.Workers.HeartbeatS * tuning.RescheduleHeartbeats)
	for _, machine := range s.registry.All() {
		info := s.machineInfo(machine)
		if len(info.primaryQueue) == 0 {
			continue
		}
		for _, task := range slices.Clone(info.primaryQueue) {
			job := task.Job
			if job.IsGang() || task.phase != Unassigned || now.Sub(task.primaryQueuedAt) < stuckAfter {
				continue
			}
			if machine.Schedulable(now) && machine.Available().Fits(job.need) {
				continue // not stuck: it starts with the next report
			}
			if slices.ContainsFunc(s.registry.All(), func(other *worker.Machine) bool {
				return other != machine && other.Schedulable(now) && job.allows(other.Type, other.Zone, other.Spot) && !job.avoids(other) &&
					other.Available().Sub(other.Reserved).Fits(job.need)
			}) {
				s.Counters.Rescheduled++
				s.requeue(now, task)
			}
		}
	}
}
