package placement

import (
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/worker"
)

// copyQueues updates the primary and backup queues of the machines.
type copyQueues struct {
	*sharedState
	capacity *capacityIndex
}

// queuePrimary appends a task's primary copy to a machine's queue and reserves
// its resources there.
func (q *copyQueues) queuePrimary(now time.Time, task *Task, machine *worker.Machine) {
	task.primary, task.primaryZone, task.primaryQueuedAt = machine, machine.Zone, now
	task.Job.zones.addQueued(task, 1)
	info := q.capacity.info(machine)
	info.primaryQueue.add(task)
	info.workload.add(task.Job, 1)
	q.capacity.markDirty(info)
	machine.Reserved = machine.Reserved.Add(task.Job.need)
	if !machine.AvailableToPrimary().Covers(q.capacity.smallestNeed) {
		q.capacity.setFree(info, false)
	}
	q.ledger.AddReserved(task.Job.Spec.Team, task.Job.need)
}

// withdrawPrimary removes a task's primary copy from its queue and releases its
// reservation. It does nothing if the primary is not queued.
func (q *copyQueues) withdrawPrimary(task *Task) {
	machine := task.primary
	if machine == nil {
		return
	}
	info := q.capacity.info(machine)
	q.capacity.markDirty(info)
	info.primaryQueue.remove(task)
	info.workload.add(task.Job, -1)
	task.Job.zones.addQueued(task, -1)
	machine.Reserved = machine.Reserved.Sub(task.Job.need)
	if info.primaryQueue.len() == 0 {
		// Reset the sum, so that floating-point errors do not accumulate.
		machine.Reserved = quota.Resources{}
	}
	q.ledger.RemoveReserved(task.Job.Spec.Team, task.Job.need)
	task.primary = nil
}

// queueBackup appends a task's backup copy to a machine's queue. It reserves no
// resources, as primaries preempt backups.
func (q *copyQueues) queueBackup(task *Task, machine *worker.Machine) {
	task.backup = machine
	info := q.capacity.info(machine)
	info.backupQueue.add(task)
}

// withdrawBackup removes a task's backup copy from its queue. It does nothing if
// the backup is not queued.
func (q *copyQueues) withdrawBackup(task *Task) {
	if task.backup == nil {
		return
	}
	info := q.capacity.info(task.backup)
	info.backupQueue.remove(task)
	task.backup = nil
}

// withdrawCopies removes both copies of a task from their queues.
func (q *copyQueues) withdrawCopies(task *Task) {
	q.withdrawPrimary(task)
	q.withdrawBackup(task)
}

// unschedule withdraws the copies of a task that is on no machine and removes it
// from the scheduled tasks, without making it pending.
func (q *copyQueues) unschedule(task *Task) {
	q.withdrawCopies(task)
	delete(task.Job.tasks, task.Index)
}

// returnToPending unschedules a task that is on no machine and makes it pending again.
func (q *copyQueues) returnToPending(task *Task, notBefore time.Time) {
	q.unschedule(task)
	task.Job.returnToPending(task.Index, notBefore)
}

// requeue makes a queued task pending again, so that it can be queued at another
// machine. If the task belongs to a gang, all queued tasks of the gang are requeued.
func (q *copyQueues) requeue(now time.Time, task *Task) {
	switch {
	case task.Job.IsGang():
		for _, member := range task.Job.tasksByIndex() {
			if member.phase == Unassigned {
				q.returnToPending(member, now)
			} else {
				q.withdrawCopies(member)
			}
		}
	case task.phase != Unassigned:
		q.withdrawPrimary(task) // the running backup continues
	default:
		q.returnToPending(task, now)
	}
}

// clearQueues requeues the primaries and withdraws the backups that are queued at a machine.
func (q *copyQueues) clearQueues(now time.Time, machine *worker.Machine) {
	info := q.capacity.info(machine)
	for info.primaryQueue.len() > 0 {
		q.requeue(now, info.primaryQueue.first())
	}
	for info.backupQueue.len() > 0 {
		q.withdrawBackup(info.backupQueue.first())
	}
}
