package placement

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// dispatcher dispatches what is at the heads of the machines' queues.
type dispatcher struct {
	*sharedState
	capacity *capacityIndex
	queues   *copyQueues
	tasks    *taskLifecycle
	attempts *attemptNumbers
}

// dispatchQueueHeads dispatches what is at the heads of a machine's queues, by
// the paper's discipline (section III): primaries first, and backups only while
// no primary is queued.
func (d *dispatcher) dispatchQueueHeads(now time.Time, machine *worker.Machine) {
	info := d.capacity.info(machine)
	if len(info.primaryQueue)+len(info.backupQueue) == 0 || !machine.Schedulable() {
		return
	}
	free := d.dispatchPrimaries(now, info, machine.Available())
	if len(info.primaryQueue) == 0 {
		d.dispatchBackups(now, info, free)
	}
}

// dispatchPrimaries dispatches a machine's queued primaries that fit what is
// free, in their order, and returns what they leave.
func (d *dispatcher) dispatchPrimaries(now time.Time, info *machineInfo, free quota.Resources) quota.Resources {
	for _, task := range slices.Clone(info.primaryQueue) {
		if task.primary != info.machine {
			continue
		}
		if !task.Job.IsGang() { // gangs are dispatched as a whole
			d.dispatchPrimary(now, task, free)
		}
		free = free.Sub(task.Job.need)
	}
	return free
}

// dispatchPrimary dispatches a primary that is at the head of its queue, if it
// fits what is free there; else it preempts backups in its way.
func (d *dispatcher) dispatchPrimary(now time.Time, task *Task, free quota.Resources) {
	job, machine := task.Job, task.primary
	switch {
	case task.phase != Unassigned:
		// its own backup runs: that has to be stopped and reported so first
		if task.phase.stoppable() {
			d.tasks.preemptBackup(now, task, "primary is at the head of its queue")
		}
	case !d.ledger.AdmitsStart(job.Spec.Team, job.need) || !job.mayStartIn(machine.Zone):
	case free.Fits(job.need):
		d.Counters.PrimariesStarted++
		d.queues.withdrawCopies(task)
		d.tasks.dispatch(now, task, assignment{machine: machine, attempt: d.attempts.next(job)}, "primary starts")
	default:
		d.tasks.preemptBackups(now, machine, job.need.Sub(free))
	}
}

// dispatchBackups dispatches a machine's queued backups that fit what is free.
func (d *dispatcher) dispatchBackups(now time.Time, info *machineInfo, free quota.Resources) {
	stuckAfter := config.Seconds(d.platform.Workers.HeartbeatS * tuning.BackupStartHeartbeats)
	for _, task := range slices.Clone(info.backupQueue) {
		job := task.Job
		if task.backup != info.machine || !free.Fits(job.need) || !backupMayStart(now, task, stuckAfter) {
			continue
		}
		if !d.ledger.AdmitsReservation(job.Spec.Team, job.need) || !job.mayStartIn(info.machine.Zone) {
			continue
		}
		d.Counters.BackupsStarted++
		copied := assignment{machine: info.machine, attempt: d.attempts.next(job), isBackup: true}
		d.tasks.dispatch(now, task, copied, "backup starts while no primary is queued")
		free = free.Sub(job.need)
	}
}

// backupMayStart reports whether a task's primary has been stuck for long. One
// that starts with the next heartbeat of its machine would stop the backup at once.
func backupMayStart(now time.Time, task *Task, stuckAfter time.Duration) bool {
	if task.phase != Unassigned || task.primary == nil || now.Sub(task.primaryQueuedAt) < stuckAfter {
		return false
	}
	return !startsWithNextHeartbeat(task.Job, task.primary)
}
