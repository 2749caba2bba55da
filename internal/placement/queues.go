package placement

import (
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/worker"
)

// queuePrimary puts a task's primary copy at the end of a machine's queue and
// reserves room for it there.
func (s *Scheduler) queuePrimary(now time.Time, task *Task, machine *worker.Machine) {
	task.primary, task.primaryQueuedAt = machine, now
	info := s.machineInfo(machine)
	info.primaryQueue = append(info.primaryQueue, task)
	s.markDirty(info)
	machine.Reserved = machine.Reserved.Add(task.Job.need)
	if !machine.AvailableToPrimary().Fits(s.capacity.smallestNeed) {
		s.capacity.setFree(info, false)
	}
	s.ledger.AddReserved(task.Job.Spec.Team, task.Job.need)
}

// withdrawPrimary takes a task's primary copy out of its queue.
func (s *Scheduler) withdrawPrimary(task *Task) {
	machine := task.primary
	if machine == nil {
		return
	}
	info := s.machineInfo(machine)
	s.markDirty(info)
	info.primaryQueue = removeTask(info.primaryQueue, task)
	machine.Reserved = machine.Reserved.Sub(task.Job.need)
	if len(info.primaryQueue) == 0 {
		// the rounding errors of the sums must not add up
		machine.Reserved = quota.Resources{}
	}
	s.ledger.RemoveReserved(task.Job.Spec.Team, task.Job.need)
	task.primary = nil
}

// queueBackup puts a task's backup copy at the end of a machine's queue.
// Nothing is reserved for it: it gives way to primaries.
func (s *Scheduler) queueBackup(task *Task, machine *worker.Machine) {
	task.backup = machine
	info := s.machineInfo(machine)
	info.backupQueue = append(info.backupQueue, task)
}

// withdrawBackup takes a task's backup copy out of its queue.
func (s *Scheduler) withdrawBackup(task *Task) {
	if task.backup == nil {
		return
	}
	info := s.machineInfo(task.backup)
	info.backupQueue = removeTask(info.backupQueue, task)
	task.backup = nil
}

// withdrawCopies takes a task's copies out of their queues.
func (s *Scheduler) withdrawCopies(task *Task) {
	s.withdrawPrimary(task)
	s.withdrawBackup(task)
}

// unschedule removes a task that is on no machine: neither queued nor pending.
func (s *Scheduler) unschedule(task *Task) {
	s.withdrawCopies(task)
	delete(task.Job.tasks, task.Index)
}

// returnToPending removes a task that is on no machine and makes it pending again.
func (s *Scheduler) returnToPending(task *Task, notBefore time.Time) {
	s.unschedule(task)
	task.Job.returnToPending(task.Index, notBefore)
}

// requeue makes a queued task pending again, so that it is scheduled anew.
// The places of a gang are given up as a whole.
func (s *Scheduler) requeue(now time.Time, task *Task) {
	switch {
	case task.Job.IsGang():
		for _, member := range task.Job.tasksByIndex() {
			if member.phase == Unassigned {
				s.returnToPending(member, now)
			} else {
				s.withdrawCopies(member)
			}
		}
	case task.phase != Unassigned:
		s.withdrawPrimary(task) // its backup runs, and goes on
	default:
		s.returnToPending(task, now)
	}
}

// clearQueues returns all copies that are queued at a machine.
func (s *Scheduler) clearQueues(now time.Time, machine *worker.Machine) {
	info := s.machineInfo(machine)
	for len(info.primaryQueue) > 0 {
		s.requeue(now, info.primaryQueue[0])
	}
	for len(info.backupQueue) > 0 {
		s.withdrawBackup(info.backupQueue[0])
	}
}
