package placement

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// dispatcher dispatches copies from the heads of the machines' queues.
type dispatcher struct {
	*sharedState
	capacity   *capacityIndex
	copyQueues *copyQueues
	tasks      *taskLifecycle
	attempts   *attemptNumbers
}

// dispatchQueueHeads dispatches queued copies that fit a machine. It starts primaries
// first, and backups only while no primary is queued. See the package comment.
func (d *dispatcher) dispatchQueueHeads(now time.Time, machine *worker.Machine) {
	info := d.capacity.info(machine)
	if info.primaryQueue.len()+info.backupQueue.len() == 0 || !machine.Schedulable() {
		return
	}
	free := d.dispatchPrimaries(now, info, machine.Available())
	if info.primaryQueue.len() == 0 {
		d.dispatchBackups(now, info, free)
	}
}

// dispatchPrimaries dispatches a machine's queued primaries in order, as far as
// they fit free, and preempts backups for the others. It returns free less the needs
// of all queued primaries.
func (d *dispatcher) dispatchPrimaries(now time.Time, info *machineInfo, free quota.Resources) quota.Resources {
	var missing quota.Resources // for the last primary without room and for all primaries before it
	for _, task := range info.primaryQueue.snapshot() {
		if task.primary != info.machine {
			continue
		}
		// gangScheduler dispatches all tasks of a gang at once.
		if !task.Job.IsGang() && d.dispatchPrimary(now, task, free) == waitsForRoom {
			missing = task.Job.need.Sub(free)
		}
		free = free.Sub(task.Job.need)
	}
	d.tasks.preemptBackups(now, info.machine, missing)
	return free
}

// primaryOutcome is the outcome of an attempt to dispatch a queued primary.
type primaryOutcome bool

const (
	dispatchedOrHeld primaryOutcome = false // dispatched, or waiting for something other than room
	waitsForRoom     primaryOutcome = true  // may start once backups on the machine have given way
)

// dispatchPrimary dispatches a queued primary if it fits free. If the task's own backup
// is on a machine, it preempts that backup instead, whether or not the primary fits.
func (d *dispatcher) dispatchPrimary(now time.Time, task *Task, free quota.Resources) primaryOutcome {
	job, machine := task.Job, task.primary
	switch {
	case task.phase != Unassigned:
		// The task's backup is on a machine. Its exit must be confirmed before the
		// primary starts.
		if task.phase.stoppable() {
			d.tasks.preemptBackup(now, task, "primary is at the head of its queue")
		}
	case !d.ledger.AdmitsStart(job.Spec.Team, job.need) || !job.mayStartIn(machine.Zone):
	case free.Covers(job.need):
		d.Counters.PrimariesStarted++
		d.copyQueues.withdrawCopies(task)
		d.tasks.dispatch(now, task, assignment{machine: machine, attempt: d.attempts.next(job)}, "primary starts")
	default:
		return waitsForRoom
	}
	return dispatchedOrHeld
}

// dispatchBackups dispatches a machine's queued backups in order, as far as they fit free.
func (d *dispatcher) dispatchBackups(now time.Time, info *machineInfo, free quota.Resources) {
	stuckAfter := config.Seconds(d.platform.Workers.HeartbeatS * tuning.BackupStartHeartbeats)
	for _, task := range info.backupQueue.snapshot() {
		job := task.Job
		if task.backup != info.machine || !free.Covers(job.need) || !backupMayStart(now, task, stuckAfter) {
			continue
		}
		if !d.ledger.AdmitsReservation(job.Spec.Team, job.need) || !job.mayStartIn(info.machine.Zone) {
			continue
		}
		d.Counters.BackupsStarted++
		target := assignment{machine: info.machine, attempt: d.attempts.next(job), isBackup: true}
		d.tasks.dispatch(now, task, target, "backup starts while no primary is queued")
		free = free.Sub(job.need)
	}
}

// backupMayStart reports whether a task's primary has been queued for at least
// stuckAfter and fitsUnallocated does not hold for its machine. Once that machine
// dispatches its queue, dispatchPrimary preempts the backup.
func backupMayStart(now time.Time, task *Task, stuckAfter time.Duration) bool {
	if task.phase != Unassigned || task.primary == nil || now.Sub(task.primaryQueuedAt) < stuckAfter {
		return false
	}
	return !fitsUnallocated(task.Job, task.primary)
}
