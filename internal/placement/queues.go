package placement

import (
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/worker"
)

// copyQueues changes the machines' queues of primary and backup copies.
type copyQueues struct {
	*sharedState
	capacity *capacityIndex
}

// queuePrimary puts a task's primary copy at the end of a machine's queue and
// reserves room for it there.
func (q *copyQueues) queuePrimary(now time.Time, task *Task, machine *worker.Machine) {
	task.primary, task.primaryQueuedAt = machine, now
	info := q.capacity.info(machine)
	info.primaryQueue = append(info.primaryQueue, task)
	q.capacity.markDirty(info)
	machine.Reserved = machine.Reserved.Add(task.Job.need)
	if !machine.AvailableToPrimary().Fits(q.capacity.smallestNeed) {
		q.capacity.setFree(info, false)
	}
	q.ledger.AddReserved(task.Job.Spec.Team, task.Job.need)
}

// withdrawPrimary takes a task's primary copy out of its queue.
func (q *copyQueues) withdrawPrimary(task *Task) {
	machine := task.primary
	if machine == nil {
		return
	}
	info := q.capacity.info(machine)
	q.capacity.markDirty(info)
	info.primaryQueue = removeTask(info.primaryQueue, task)
	machine.Reserved = machine.Reserved.Sub(task.Job.need)
	if len(info.primaryQueue) == 0 {
		// the rounding errors of the sums must not add up
		machine.Reserved = quota.Resources{}
	}
	q.ledger.RemoveReserved(task.Job.Spec.Team, task.Job.need)
	task.primary = nil
}

// queueBackup puts a task's backup copy at the end of a machine's queue.
// Nothing is reserved for it: it gives way to primaries.
func (q *copyQueues) queueBackup(task *Task, machine *worker.Machine) {
	task.backup = machine
	info := q.capacity.info(machine)
	info.backupQueue = append(info.backupQueue, task)
}

// withdrawBackup takes a task's backup copy out of its queue.
func (q *copyQueues) withdrawBackup(task *Task) {
	if task.backup == nil {
		return
	}
	info := q.capacity.info(task.backup)
	info.backupQueue = removeTask(info.backupQueue, task)
	task.backup = nil
}

// withdrawCopies takes a task's copies out of their queues.
func (q *copyQueues) withdrawCopies(task *Task) {
	q.withdrawPrimary(task)
	q.withdrawBackup(task)
}

// unschedule removes a task that is on no machine: neither queued nor pending.
func (q *copyQueues) unschedule(task *Task) {
	q.withdrawCopies(task)
	delete(task.Job.tasks, task.Index)
}

// returnToPending removes a task that is on no machine and makes it pending again.
func (q *copyQueues) returnToPending(task *Task, notBefore time.Time) {
	q.unschedule(task)
	task.Job.returnToPending(task.Index, notBefore)
}

// requeue makes a queued task pending again, so that it is scheduled anew.
// The places of a gang are given up as a whole.
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
		q.withdrawPrimary(task) // its backup runs, and goes on
	default:
		q.returnToPending(task, now)
	}
}

// clearQueues returns all copies that are queued at a machine.
func (q *copyQueues) clearQueues(now time.Time, machine *worker.Machine) {
	info := q.capacity.info(machine)
	for len(info.primaryQueue) > 0 {
		q.requeue(now, info.primaryQueue[0])
	}
	for len(info.backupQueue) > 0 {
		q.withdrawBackup(info.backupQueue[0])
	}
}
