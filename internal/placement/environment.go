package placement

import (
	"log/slog"
	"math/rand/v2"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/worker"
)

// environment is what all parts of a scheduler share.
type sharedState struct {
	Settings   Settings
	Counters   Counters
	platform   config.Platform
	ledger     *quota.Ledger
	registry   *worker.Registry
	rng        *rand.Rand
	log        *slog.Logger
	reconciled bool // every machine that the shard may have is reconciled or deleted
}

// Settings are the operators' settings that affect placement.
type Settings struct {
	DropThreshold int // preemptions after which a task's backup is withdrawn
}

// Counters count what became of the tasks' copies in this term.
type Counters struct {
	PrimariesStarted int
	BackupsStarted   int
	BackupsCompleted int
	BackupsPreempted int
	BackupsWithdrawn int // after too many preemptions
	Rescheduled      int // stuck primaries that were queued anew
	Preempted        int // tasks stopped for gangs and services
	Failed           int
	GangsPlaced      int
	Relocated        int // tasks stopped to move off their machine
}

// setPendingReason notes why a job's tasks don't start, in words for its user.
func (e *sharedState) setPendingReason(job *Job, reason string) {
	if job.pendingReason != reason {
		job.pendingReason = reason
		e.log.Debug("job pending", "job", job.Spec.ID, "reason", reason, "tasks", job.pendingTasks())
	}
}
