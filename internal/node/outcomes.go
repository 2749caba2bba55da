package node

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

// outcomes writes down what has become of a block's jobs: which tasks have completed, in
// batches, and the end of each job.
type outcomes struct {
	t         *tenure
	tallies   *tallies
	tallyDue  time.Time
	unsaved   map[string]*placement.Job // with completions that are not written down
	completed map[string]time.Time      // when the last task of a job completed
	ending    map[string]bool           // jobs whose end is being written
	retryAt   map[string]time.Time      // after a failed write of an end
}

func newOutcomes(t *tenure, tallies *tallies) *outcomes {
	return &outcomes{t: t, tallies: tallies, unsaved: map[string]*placement.Job{}, completed: map[string]time.Time{},
		ending: map[string]bool{}, retryAt: map[string]time.Time{}}
}

// taskCompleted is told of each completed task.
func (o *outcomes) taskCompleted(now time.Time, j *placement.Job) {
	id := j.Spec.ID
	o.unsaved[id] = j
	if j.IsComplete() && o.completed[id].IsZero() {
		o.completed[id] = now
	}
}

// adopt takes up the jobs that an earlier tenure did not get to end.
func (o *outcomes) adopt(now time.Time, jobs []*placement.Job) {
	for _, j := range jobs {
		if j.IsComplete() {
			o.taskCompleted(now, j)
		}
	}
}

// save writes completions down: the ends of jobs at once, the rest in batches.
func (o *outcomes) save(now time.Time) {
	for _, j := range o.ended(now) {
		if len(o.ending) == tuning.MaxJobEndsInFlight {
			break
		}
		o.end(j)
	}
	if !now.Before(o.tallyDue) {
		o.tallyDue = now.Add(tuning.CompletionWriteInterval)
		for _, id := range slices.Sorted(maps.Keys(o.unsaved)) {
			if j := o.unsaved[id]; !j.IsComplete() {
				o.tallies.save(j, o.t.board.OpenJob)
				delete(o.unsaved, id)
			}
		}
	}
	o.tallies.pages.Tick(now)
}

// ended lists the jobs whose end is to be written now, in the order in which that is to
// happen: when the rate of writes is short, an important job's end does not wait behind
// those of others.
func (o *outcomes) ended(now time.Time) (out []*placement.Job) {
	for id := range o.completed {
		if j := o.unsaved[id]; j != nil && !o.ending[id] && !now.Before(o.retryAt[id]) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *placement.Job) int {
		return cmp.Or(
			cmp.Compare(b.Priority(), a.Priority()),
			o.completed[a.Spec.ID].Compare(o.completed[b.Spec.ID]),
			cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return out
}

// end writes a job's end: done, unless its user was faster with a cancellation.
func (o *outcomes) end(j *placement.Job) {
	id, t := j.Spec.ID, o.t
	o.ending[id] = true
	t.call(store.Call{Op: store.OpMulti, Class: store.ClassFinal, Multi: wire.Multi{
		When: []wire.Cond{t.cond(), store.Is(submission.OpenJobKey(id), j.Version)},
		Writes: []wire.Write{
			store.Put(submission.JobEndKey(id), submission.JobEndRecord{Stage: wire.JobDone, Done: j.Spec.Tasks}, 0),
			store.Remove(submission.OpenJobKey(id)),
		},
	}}, func(now time.Time, r store.Result) {
		delete(o.ending, id)
		switch {
		case r.OK():
			t.log.Info("job done", "job", id, "class", j.Spec.Class, "took", t.c.wall().Sub(j.AcceptedAt), "written_after", now.Sub(o.completed[id]))
			t.jobOver(now, id)
		case r.Status == http.StatusConflict && slices.Contains(r.Failed, leader.BlockKey(t.Block)):
			t.lost(now)
		case r.Status == http.StatusConflict:
			o.readAgain(now, id)
		default:
			o.retryAt[id] = now.Add(tuning.WriterRetryInitial)
		}
	})
}

// readAgain settles a conflict about a job's end: it was cancelled, or an earlier write of
// ours was applied after all.
func (o *outcomes) readAgain(now time.Time, id string) {
	o.ending[id] = true
	o.t.call(store.Call{Op: store.OpGet, Class: store.ClassFinal, Key: submission.OpenJobKey(id)}, func(now time.Time, r store.Result) {
		delete(o.ending, id)
		o.retryAt[id] = now.Add(tuning.WriterRetryInitial)
		switch j := o.t.board.OpenJob(id); {
		case r.Status == http.StatusNotFound:
			o.t.jobOver(now, id)
		case r.OK() && j != nil:
			j.Version = r.Item.Version
		}
	})
}

// drop forgets a job that is over.
func (o *outcomes) drop(id string) {
	o.tallies.drop(id)
	delete(o.unsaved, id)
	delete(o.completed, id)
	delete(o.retryAt, id)
}
