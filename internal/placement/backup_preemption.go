package placement

import (
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/worker"
)

// preemptBackups preempts backups on a machine until the resources that they will
// release cover missing. Backups that are already stopping count as preempted.
func (l *taskLifecycle) preemptBackups(now time.Time, machine *worker.Machine, missing quota.Resources) {
	for _, task := range l.capacity.info(machine).assigned.snapshot() {
		if missing.CPUs <= 0 && missing.GPUs <= 0 && missing.MemGB <= 0 {
			return
		}
		if !task.isBackup {
			continue
		}
		if task.phase != Stopping {
			l.preemptBackup(now, task, "backup gives way to a primary")
			if task.backupPreemptions >= l.Settings.BackupWithdrawThreshold {
				l.Counters.BackupsWithdrawn++
			}
		}
		missing = missing.Sub(task.Job.need)
	}
}

// preemptBackup stops a backup and counts the preemption towards Settings.BackupWithdrawThreshold.
func (l *taskLifecycle) preemptBackup(now time.Time, task *Task, reason string) {
	task.backupPreemptions++
	l.Counters.BackupsPreempted++
	l.stop(now, task, task.Job.gracePeriodS(), reason)
}
