package placement

import (
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/worker"
)

// clearQueues sends a machine's queued copies back to be drawn elsewhere.
func (s *Scheduler) clearQueues(now time.Time, machine *worker.Machine) {
	info := s.machineInfo(machine)
	for len(info.primaryQueue) > 0 {
		s.requeue(now, info.primaryQueue[0])
	}
	for len(info.backupQueue) > 0 {
		s.withdrawBackup(info.backupQueue[0])
	}
}

// requeue makes a queued main held again. A gang's place is kept or given
// up as a whole.
func (s *Scheduler) requeue(now time.Time, task *Task) {
	job := task.Job
	if job.IsGang() {
		for _, member := range job.tasksByIndex() {
			s.withdrawCopies(member)
			if member.phase == Unassigned {
				delete(job.tasks, member.Index)
				job.returnToPending(member.Index, now)
			}
		}
		return
	}
	if task.phase != Unassigned {
		// its spare runs: only the main's place is given up
		s.withdrawPrimary(task)
		return
	}
	s.withdrawCopies(task)
	delete(job.tasks, task.Index)
	job.returnToPending(task.Index, now)
}

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

func (s *Scheduler) withdrawPrimary(task *Task) {
	machine := task.primary
	if machine == nil {
		return
	}
	info := s.machineInfo(machine)
	s.markDirty(info)
	if i := slices.Index(info.primaryQueue, task); i >= 0 {
		info.primaryQueue = slices.Delete(info.primaryQueue, i, i+1)
	}
	machine.Reserved = machine.Reserved.Sub(task.Job.need)
	if len(info.primaryQueue) == 0 {
		machine.Reserved = quota.Resources{}
	}
	s.ledger.RemoveReserved(task.Job.Spec.Team, task.Job.need)
	task.primary = nil
}

func (s *Scheduler) queueBackup(task *Task, machine *worker.Machine) {
	task.backup = machine
	info := s.machineInfo(machine)
	info.backupQueue = append(info.backupQueue, task)
}

func (s *Scheduler) withdrawBackup(task *Task) {
	if task.backup == nil {
		return
	}
	info := s.machineInfo(task.backup)
	if i := slices.Index(info.backupQueue, task); i >= 0 {
		info.backupQueue = slices.Delete(info.backupQueue, i, i+1)
	}
	task.backup = nil
}

func (s *Scheduler) withdrawCopies(task *Task) {
	s.withdrawPrimary(task)
	s.withdrawBackup(task)
}
