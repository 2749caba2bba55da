package placement

import (
	"log/slog"
	"math/rand/v2"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/worker"
)

// sharedState holds the configuration, counters and dependencies that all
// components of a scheduler share.
type sharedState struct {
	Settings   Settings
	Counters   Counters
	platform   config.Platform
	ledger     *quota.Ledger
	registry   *worker.Registry
	rng        *rand.Rand
	log        *slog.Logger
	reconciled bool // every machine that may belong to the shard is reconciled or deleted
}

// Settings holds the operators' runtime settings that affect placement.
type Settings struct {
	BackupWithdrawThreshold int // preemptions after which a task's backup copy is withdrawn
}

// Counters counts scheduling events since the start of the term.
type Counters struct {
	PrimariesStarted int
	BackupsStarted   int
	BackupsCompleted int
	BackupsPreempted int
	BackupsWithdrawn int // backups that reached Settings.BackupWithdrawThreshold by preemption for another primary
	Rescheduled      int // stuck primaries that were queued again
	Preempted        int // tasks preempted for gangs and services
	Failed           int
	GangsPlaced      int
	Relocated        int // tasks that consolidation relocated, and replicas that a preemption notice migrated
}

// setPendingReason records why a job's tasks do not start. The reason is shown to users.
func (s *sharedState) setPendingReason(job *Job, reason string) {
	if job.pendingReason != reason {
		job.pendingReason = reason
		s.log.Debug("job has pending tasks", "job", job.Spec.ID, "reason", reason, "count", job.pendingTasks())
	}
}
