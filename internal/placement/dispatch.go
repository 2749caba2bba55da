package placement

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// dispatchQueueHeads dispatches what is at the heads of a machine's queues, by
// the paper's discipline (section III): primaries first, and backups only while
// no primary is queued.
func (s *Scheduler) dispatchQueueHeads(now time.Time, machine *worker.Machine) {
	info := s.capacity.info(machine)
	if len(info.primaryQueue)+len(info.backupQueue) == 0 || !machine.Schedulable(now) {
		return
	}
	free := s.dispatchPrimaries(now, info, machine.Available())
	if len(info.primaryQueue) == 0 {
		s.dispatchBackups(now, info, free)
	}
}

// dispatchPrimaries dispatches a machine's queued primaries that fit what is
// free, in their order, and returns what they leave.
func (s *Scheduler) dispatchPrimaries(now time.Time, info *machineInfo, free quota.Resources) quota.Resources {
	for _, task := range slices.Clone(info.primaryQueue) {
		if task.primary != info.machine {
			continue
		}
		if !task.Job.IsGang() { // gangs are dispatched as a whole
			s.dispatchPrimary(now, task, free)
		}
		free = free.Sub(task.Job.need)
	}
	return free
}

// dispatchPrimary dispatches a primary that is at the head of its queue, if it
// fits what is free there; else it preempts backups in its way.
func (s *Scheduler) dispatchPrimary(now time.Time, task *Task, free quota.Resources) {
	job, machine := task.Job, task.primary
	switch {
	case task.phase != Unassigned:
		// its own backup runs: that has to be stopped and reported so first
		if task.phase.stoppable() {
			s.tasks.preemptBackup(now, task, "primary is at the head of its queue")
		}
	case !s.ledger.AdmitsStart(job.Spec.Team, job.need) || !job.mayStartIn(machine.Zone):
	case free.Fits(job.need):
		s.Counters.PrimariesStarted++
		s.queues.withdrawCopies(task)
		s.tasks.dispatch(now, task, assignment{machine: machine, attempt: s.next(job)}, "primary starts")
	default:
		s.tasks.preemptBackups(now, machine, job.need.Sub(free))
	}
}

// dispatchBackups dispatches a machine's queued backups that fit what is free.
func (s *Scheduler) dispatchBackups(now time.Time, info *machineInfo, free quota.Resources) {
	stuckAfter := config.Seconds(s.platform.Workers.HeartbeatS * tuning.BackupStartHeartbeats)
	for _, task := range slices.Clone(info.backupQueue) {
		job := task.Job
		if task.backup != info.machine || !free.Fits(job.need) || !backupMayStart(now, task, stuckAfter) {
			continue
		}
		if !s.ledger.AdmitsReservation(job.Spec.Team, job.need) || !job.mayStartIn(info.machine.Zone) {
			continue
		}
		s.Counters.BackupsStarted++
		copied := assignment{machine: info.machine, attempt: s.next(job), isBackup: true}
		s.tasks.dispatch(now, task, copied, "backup starts while no primary is queued")
		free = free.Sub(job.need)
	}
}

// backupMayStart reports whether a task's primary has been stuck for long. One
// that starts with the next heartbeat of its machine would stop the backup at once.
func backupMayStart(now time.Time, task *Task, stuckAfter time.Duration) bool {
	if task.phase != Unassigned || task.primary == nil || now.Sub(task.primaryQueuedAt) < stuckAfter {
		return false
	}
	return !startsWithNextHeartbeat(now, task.Job, task.primary)
}
