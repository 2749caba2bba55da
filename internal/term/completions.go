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

// completionOptions are what the record of completions needs of its term.
type completionOptions struct {
	bitmaps     *completionBitmaps
	openJob     func(id string) *placement.Job // nil: the job is not open
	closeJob    func(now time.Time, id string)
	stateCall   store.Caller
	termCompare wire.Compare
	onTermLost  func(now time.Time)
	wallClock   func() time.Time
	log         *slog.Logger
}

// jobCompletions records what has become of a shard's jobs: which tasks have completed, in
// batches, and the end of each job.
type jobCompletions struct {
	completionOptions
	flushAt      time.Time                 // when the next batch is written
	unsavedJobs  map[string]*placement.Job // with completions that are not recorded
	completedAt  map[string]time.Time      // when the last task of a job completed
	endsInFlight map[string]bool           // jobs whose end is being written
	retryAt      map[string]time.Time      // after a failed write of an end
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
		unsavedJobs:       map[string]*placement.Job{},
		completedAt:       map[string]time.Time{},
		endsInFlight:      map[string]bool{},
		retryAt:           map[string]time.Time{},
	}
}

// JobEndsInFlight is how many writes of jobs' ends are under way.
func (t *Term) JobEndsInFlight() int { return len(t.completions.endsInFlight) }

// taskCompleted takes note of a completed task.
func (c *jobCompletions) taskCompleted(now time.Time, job *placement.Job) {
	id := job.Spec.ID
	c.unsavedJobs[id] = job
	if job.IsComplete() && c.completedAt[id].IsZero() {
		c.completedAt[id] = now
	}
}

// recoverCompleted takes up the jobs whose end an earlier term did not get to write.
func (c *jobCompletions) recoverCompleted(now time.Time, jobs []*placement.Job) {
	for _, job := range jobs {
		if job.IsComplete() {
			c.taskCompleted(now, job)
		}
	}
}

// flush writes completions: the ends of jobs at once, the rest in batches.
func (c *jobCompletions) flush(now time.Time) {
	for _, job := range c.jobsToEnd(now) {
		if len(c.endsInFlight) == tuning.MaxJobEndsInFlight {
			break
		}
		c.writeEnd(job)
	}
	if !now.Before(c.flushAt) {
		c.flushAt = now.Add(tuning.CompletionWriteInterval)
		c.saveBitmaps()
	}
	c.bitmaps.pages.Tick(now)
}

// saveBitmaps records the completed tasks of jobs that are not complete.
func (c *jobCompletions) saveBitmaps() {
	for _, id := range slices.Sorted(maps.Keys(c.unsavedJobs)) {
		if job := c.unsavedJobs[id]; !job.IsComplete() {
			c.bitmaps.save(job, c.openJob)
			delete(c.unsavedJobs, id)
		}
	}
}

// jobsToEnd lists the jobs whose end is to be written now, in the order in which that is to
// happen: when the rate of writes is short, an important job's end does not wait behind
// those of others.
func (c *jobCompletions) jobsToEnd(now time.Time) (out []*placement.Job) {
	for id := range c.completedAt {
		if job := c.unsavedJobs[id]; job != nil && !c.endsInFlight[id] && !now.Before(c.retryAt[id]) {
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

// writeEnd writes a job's end: done, unless its user was faster with a cancellation.
func (c *jobCompletions) writeEnd(job *placement.Job) {
	id := job.Spec.ID
	c.endsInFlight[id] = true
	call := store.Call{Op: store.OpTransaction, Priority: store.PriorityJobEnd, Transaction: wire.Transaction{
		Compares: []wire.Compare{c.termCompare, store.VersionEquals(submission.OpenJobKey(id), job.Version)},
		Writes: []wire.Write{
			store.Put(submission.JobEndKey(id), submission.JobEndRecord{Stage: wire.JobDone, Done: job.Spec.Tasks}, 0),
			store.Delete(submission.OpenJobKey(id)),
		},
	}}
	c.stateCall(call, func(now time.Time, result store.Result) { c.endWritten(now, job, result) })
}

// endWritten takes in what came of the write of a job's end.
func (c *jobCompletions) endWritten(now time.Time, job *placement.Job, result store.Result) {
	id := job.Spec.ID
	delete(c.endsInFlight, id)
	switch {
	case result.OK():
		c.log.Info("job done", "job", id, "class", job.Spec.Class,
			"took", c.wallClock().Sub(job.AcceptedAt), "written_after", now.Sub(c.completedAt[id]))
		c.closeJob(now, id)
	case result.ConflictsOn(c.termCompare.Key):
		c.onTermLost(now)
	case errors.Is(result.Err, store.ErrConflict):
		c.resolveConflict(id)
	default:
		c.retryAt[id] = now.Add(tuning.WriterRetryInitial)
	}
}

// resolveConflict reads a job's record after a conflict about its end: it was cancelled, or an
// earlier write of this process was applied after all.
func (c *jobCompletions) resolveConflict(id string) {
	c.endsInFlight[id] = true
	call := store.Call{Op: store.OpGet, Priority: store.PriorityJobEnd, Key: submission.OpenJobKey(id)}
	c.stateCall(call, func(now time.Time, result store.Result) {
		delete(c.endsInFlight, id)
		c.retryAt[id] = now.Add(tuning.WriterRetryInitial)
		job := c.openJob(id)
		switch {
		case errors.Is(result.Err, store.ErrNotFound):
			c.closeJob(now, id)
		case result.OK() && job != nil:
			job.Version = result.KeyValue.Version
		}
	})
}

// forget forgets a job that has ended.
func (c *jobCompletions) forget(id string) {
	c.bitmaps.forget(id)
	delete(c.unsavedJobs, id)
	delete(c.completedAt, id)
	delete(c.retryAt, id)
}
