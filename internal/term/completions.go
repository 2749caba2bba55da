package term

import (
	"cmp"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"juniperchute/internal/placement"
	"juniperchute/internal/store"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// completionOptions holds the dependencies of jobCompletions on its term.
type completionOptions struct {
	bitmaps     *completionBitmaps
	openJob     func(id string) *placement.Job // nil if the job is not open
	closeJob    func(now time.Time, id string)
	stateCall   store.Caller
	termCompare wire.Compare
	onTermLost  func(now time.Time)
	wallClock   func() time.Time
	log         *slog.Logger
}

// jobCompletions writes the completions of a shard's tasks, in batches, and the end record of each
// completed job.
type jobCompletions struct {
	completionOptions
	flushAt         time.Time                 // earliest time of the next batch
	jobsToWrite     map[string]*placement.Job // jobs with completions to be written
	completedAt     map[string]time.Time      // completion time of a job's last task
	jobEndsInFlight map[string]bool           // jobs with an end record being written
	retryAt         map[string]time.Time      // earliest time of the next write after a failure
}

func (t *Term) completionOptions() completionOptions {
	pages := t.newPages(completionPrefix(t.Shard), tuning.CompletionWriteInterval, store.PriorityCompletion)
	return completionOptions{
		bitmaps:     newCompletionBitmaps(pages, t.options.Platform.State.ValueKB),
		openJob:     t.scheduler.OpenJob,
		closeJob:    t.closeJob,
		stateCall:   t.callState,
		termCompare: t.compare(),
		onTermLost:  t.onTermLost,
		wallClock:   t.options.WallClock,
		log:         t.log,
	}
}

func newJobCompletions(options completionOptions) *jobCompletions {
	return &jobCompletions{
		completionOptions: options,
		jobsToWrite:       map[string]*placement.Job{},
		completedAt:       map[string]time.Time{},
		jobEndsInFlight:   map[string]bool{},
		retryAt:           map[string]time.Time{},
	}
}

// JobEndsInFlight returns the number of writes of job end records in flight.
func (t *Term) JobEndsInFlight() int { return len(t.completions.jobEndsInFlight) }

// recordCompletion queues the completion of a task of a job for the next write.
func (c *jobCompletions) recordCompletion(now time.Time, job *placement.Job) {
	id := job.Spec.ID
	c.jobsToWrite[id] = job
	if job.IsComplete() && c.completedAt[id].IsZero() {
		c.completedAt[id] = now
	}
}

// recoverCompletedJobs queues the end records of completed jobs that earlier terms did not write.
func (c *jobCompletions) recoverCompletedJobs(now time.Time, jobs []*placement.Job) {
	for _, job := range jobs {
		if job.IsComplete() {
			c.recordCompletion(now, job)
		}
	}
}

// flush writes job end records that are due, up to the limit in flight, and task completions in batches.
func (c *jobCompletions) flush(now time.Time) {
	for _, job := range c.dueJobEnds(now) {
		if len(c.jobEndsInFlight) == tuning.MaxJobEndsInFlight {
			break
		}
		c.writeJobEnd(job)
	}
	if !now.Before(c.flushAt) {
		c.flushAt = now.Add(tuning.CompletionWriteInterval)
		c.writeBitmaps()
	}
	c.bitmaps.pages.Tick(now)
}

// writeBitmaps writes the new completions of jobs that still have incomplete tasks.
func (c *jobCompletions) writeBitmaps() {
	for _, id := range slices.Sorted(maps.Keys(c.jobsToWrite)) {
		if job := c.jobsToWrite[id]; !job.IsComplete() {
			c.bitmaps.save(job, c.openJob)
			delete(c.jobsToWrite, id)
		}
	}
}

// dueJobEnds returns the jobs whose end record is due, by descending priority and then by completion
// time. Under a limited write rate, jobs of high priority do not wait behind others.
func (c *jobCompletions) dueJobEnds(now time.Time) (out []*placement.Job) {
	for id := range c.completedAt {
		if job := c.jobsToWrite[id]; job != nil && !c.jobEndsInFlight[id] && !now.Before(c.retryAt[id]) {
			out = append(out, job)
		}
	}
	slices.SortFunc(out, func(a, b *placement.Job) int {
		return cmp.Or(
			cmp.Compare(b.Priority(), a.Priority()),
			c.completedAt[a.Spec.ID].Compare(c.completedAt[b.Spec.ID]),
			cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return out
}

// writeJobEnd writes the end record of a completed job. The write conflicts if a user has cancelled the job.
func (c *jobCompletions) writeJobEnd(job *placement.Job) {
	id := job.Spec.ID
	c.jobEndsInFlight[id] = true
	call := store.Call{Op: store.OpTransaction, Priority: store.PriorityJobEnd, Transaction: wire.Transaction{
		Compares: []wire.Compare{c.termCompare, store.VersionEquals(submission.OpenJobKey(id), job.Version)},
		Writes: []wire.Write{
			store.Put(submission.JobEndKey(id), submission.JobEndRecord{State: wire.JobDone, Done: job.Spec.Tasks}, 0),
			store.Delete(submission.OpenJobKey(id)),
		},
	}}
	c.stateCall(call, func(now time.Time, result store.Result) { c.handleJobEndResult(now, job, result) })
}

// handleJobEndResult closes the job after a successful write, resolves a conflict, or schedules a retry.
func (c *jobCompletions) handleJobEndResult(now time.Time, job *placement.Job, result store.Result) {
	id := job.Spec.ID
	delete(c.jobEndsInFlight, id)
	switch {
	case result.OK():
		c.log.Info("job completed", "job", id, "class", job.Spec.Class,
			"duration", c.wallClock().Sub(job.AcceptedAt), "delay", now.Sub(c.completedAt[id]))
		c.closeJob(now, id)
	case result.ConflictsOn(c.termCompare.Key):
		c.onTermLost(now)
	case errors.Is(result.Err, store.ErrConflict):
		c.resolveConflict(id)
	default:
		c.retryAt[id] = now.Add(tuning.WriterBackoffInitial)
	}
}

// resolveConflict reads the record of an open job after the write of its end conflicted. Either a user
// cancelled the job, or an earlier write of this process succeeded without a response.
func (c *jobCompletions) resolveConflict(id string) {
	c.jobEndsInFlight[id] = true
	call := store.Call{Op: store.OpGet, Priority: store.PriorityJobEnd, Key: submission.OpenJobKey(id)}
	c.stateCall(call, func(now time.Time, result store.Result) {
		delete(c.jobEndsInFlight, id)
		c.retryAt[id] = now.Add(tuning.WriterBackoffInitial)
		job := c.openJob(id)
		switch {
		case errors.Is(result.Err, store.ErrNotFound):
			c.closeJob(now, id)
		case result.OK() && job != nil:
			job.Version = result.KeyValue.Version
		}
	})
}

// deleteJob deletes the completions of a closed job.
func (c *jobCompletions) deleteJob(id string) {
	c.bitmaps.deleteJob(id)
	delete(c.jobsToWrite, id)
	delete(c.completedAt, id)
	delete(c.retryAt, id)
}
