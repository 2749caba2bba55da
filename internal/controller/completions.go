package controller

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"juniperchute/internal/leader"
	"juniperchute/internal/placement"
	"juniperchute/internal/store"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// jobCompletions writes down what has become of a block's jobs: which tasks have completed, in
// batches, and the end of each job.
type jobCompletions struct {
	term         *term
	bitmaps      *completionBitmaps
	flushAt      time.Time
	unsavedJobs  map[string]*placement.Job // with completions that are not written down
	completedAt  map[string]time.Time      // when the last task of a job completed
	endsInFlight map[string]bool           // jobs whose end is being written
	retryAt      map[string]time.Time      // after a failed write of an end
}

func newJobCompletions(t *term, tallies *completionBitmaps) *jobCompletions {
	return &jobCompletions{term: t, bitmaps: tallies, unsavedJobs: map[string]*placement.Job{}, completedAt: map[string]time.Time{},
		endsInFlight: map[string]bool{}, retryAt: map[string]time.Time{}}
}

// taskCompleted is told of each completed task.
func (o *jobCompletions) taskCompleted(now time.Time, j *placement.Job) {
	id := j.Spec.ID
	o.unsavedJobs[id] = j
	if j.IsComplete() && o.completedAt[id].IsZero() {
		o.completedAt[id] = now
	}
}

// recoverCompleted takes up the jobs that an earlier tenure did not get to end.
func (o *jobCompletions) recoverCompleted(now time.Time, jobs []*placement.Job) {
	for _, j := range jobs {
		if j.IsComplete() {
			o.taskCompleted(now, j)
		}
	}
}

// flush writes completions down: the ends of jobs at once, the rest in batches.
func (o *jobCompletions) flush(now time.Time) {
	for _, j := range o.jobsToEnd(now) {
		if len(o.endsInFlight) == tuning.MaxJobEndsInFlight {
			break
		}
		o.writeEnd(j)
	}
	if !now.Before(o.flushAt) {
		o.flushAt = now.Add(tuning.CompletionWriteInterval)
		for _, id := range slices.Sorted(maps.Keys(o.unsavedJobs)) {
			if j := o.unsavedJobs[id]; !j.IsComplete() {
				o.bitmaps.save(j, o.term.scheduler.OpenJob)
				delete(o.unsavedJobs, id)
			}
		}
	}
	o.bitmaps.pages.Tick(now)
}

// jobsToEnd lists the jobs whose end is to be written now, in the order in which that is to
// happen: when the rate of writes is short, an important job's end does not wait behind
// those of others.
func (o *jobCompletions) jobsToEnd(now time.Time) (out []*placement.Job) {
	for id := range o.completedAt {
		if j := o.unsavedJobs[id]; j != nil && !o.endsInFlight[id] && !now.Before(o.retryAt[id]) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *placement.Job) int {
		return cmp.Or(
			cmp.Compare(b.Priority(), a.Priority()),
			o.completedAt[a.Spec.ID].Compare(o.completedAt[b.Spec.ID]),
			cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return out
}

// writeEnd writes a job's end: done, unless its user was faster with a cancellation.
func (o *jobCompletions) writeEnd(j *placement.Job) {
	id, t := j.Spec.ID, o.term
	o.endsInFlight[id] = true
	t.callState(store.Call{Op: store.OpTransaction, Priority: store.PriorityJobEnd, Transaction: wire.Transaction{
		Compares: []wire.Compare{t.termCompare(), store.VersionEquals(submission.OpenJobKey(id), j.Version)},
		Writes: []wire.Write{
			store.Put(submission.JobEndKey(id), submission.JobEndRecord{Stage: wire.JobDone, Done: j.Spec.Tasks}, 0),
			store.Delete(submission.OpenJobKey(id)),
		},
	}}, func(now time.Time, r store.Result) {
		delete(o.endsInFlight, id)
		switch {
		case r.OK():
			t.log.Info("job done", "job", id, "class", j.Spec.Class, "took", t.controller.wallClock().Sub(j.AcceptedAt), "written_after", now.Sub(o.completedAt[id]))
			t.closeJob(now, id)
		case r.Status == http.StatusConflict && slices.Contains(r.FailedKeys, leader.ShardKey(t.Shard)):
			t.onTermLost(now)
		case r.Status == http.StatusConflict:
			o.resolveConflict(now, id)
		default:
			o.retryAt[id] = now.Add(tuning.WriterRetryInitial)
		}
	})
}

// resolveConflict settles a conflict about a job's end: it was cancelled, or an earlier write of
// ours was applied after all.
func (o *jobCompletions) resolveConflict(now time.Time, id string) {
	o.endsInFlight[id] = true
	o.term.callState(store.Call{Op: store.OpGet, Priority: store.PriorityJobEnd, Key: submission.OpenJobKey(id)}, func(now time.Time, r store.Result) {
		delete(o.endsInFlight, id)
		o.retryAt[id] = now.Add(tuning.WriterRetryInitial)
		switch j := o.term.scheduler.OpenJob(id); {
		case r.Status == http.StatusNotFound:
			o.term.closeJob(now, id)
		case r.OK() && j != nil:
			j.Version = r.KeyValue.Version
		}
	})
}

// forget forgets a job that is over.
func (o *jobCompletions) forget(id string) {
	o.bitmaps.forget(id)
	delete(o.unsavedJobs, id)
	delete(o.completedAt, id)
	delete(o.retryAt, id)
}
