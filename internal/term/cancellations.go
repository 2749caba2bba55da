package term

import (
	"maps"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/leader"
	"juniperchute/internal/tuning"
)

// cancellations tracks the cancelled jobs that a shard's lease holder knows, and the time up to which it
// knows all of them.
type cancellations struct {
	watermark *leader.CancellationWatermark
	// known maps the IDs of jobs with a confirmed cancellation to the time at which this term learned
	// of it. An open-job record that is read for one of them is stale.
	known     map[string]time.Time
	retention time.Duration // time after which all tasks of a cancelled job have stopped
}

func newCancellations(peers []string, workers config.Workers) *cancellations {
	return &cancellations{
		watermark: leader.NewCancellationWatermark(peers),
		known:     map[string]time.Time{},
		retention: config.Seconds(workers.CancelS) * tuning.CancellationRetentionFactor,
	}
}

// add records a cancellation and reports whether it was unknown before.
func (c *cancellations) add(now time.Time, id string) bool {
	if c.contains(id) {
		return false
	}
	if len(c.known) >= tuning.MinCancellationsKept {
		maps.DeleteFunc(c.known, func(_ string, at time.Time) bool { return now.Sub(at) > c.retention })
	}
	c.known[id] = now
	return true
}

func (c *cancellations) contains(id string) bool {
	_, known := c.known[id]
	return known
}

// maxRenewalPastWatermark bounds the time past the cancellation watermark in which the lease holder
// renews worker leases. Tasks of a cancellation that it does not know must still stop within cancel_s.
func (t *Term) maxRenewalPastWatermark() time.Duration {
	cancelWithin := config.Seconds(t.options.Platform.Workers.CancelS)
	bound := cancelWithin - t.workers.LeaseTimeout() - tuning.CancellationRenewMargin
	return max(tuning.MinRenewalPastWatermark, bound)
}

// CancellationWatermark returns the time up to which this lease holder is guaranteed to know every
// cancellation that any controller has confirmed. Reads of the open jobs advance it only as far as the
// control records have been read: without the latter, another process may already hold the shard's lease.
func (t *Term) CancellationWatermark(now time.Time) time.Time {
	read := t.options.OpenJobs.CurrentAsOf()
	if control := t.options.Membership.CurrentAsOf(); control.Before(read) {
		read = control
	}
	t.cancellations.watermark.AdvanceTo(read)
	return t.cancellations.watermark.At(now)
}

// AcknowledgeCancellations records that a peer's process, started no later than startedAt, confirmed no
// cancellation unknown to this term up to until. It is ignored while the term is loading, because the
// cancellations that a peer forwards cannot be applied before the jobs are loaded.
func (t *Term) AcknowledgeCancellations(peer string, process uint64, startedAt, until time.Time) {
	if t.state != Loading {
		t.cancellations.watermark.Acknowledge(peer, process, startedAt, until)
	}
}

// CancelJob applies a cancellation that a controller has confirmed to a user, without waiting until the
// cancellation is read from the state service. Stale reads of the job that arrive later do not reopen
// the job.
func (t *Term) CancelJob(now time.Time, id string) {
	if !t.Live() || !t.cancellations.add(now, id) {
		return
	}
	t.openJobDeleted(now, id)
}

// closeJob removes a completed or cancelled job from the scheduler and from the records of the term.
func (t *Term) closeJob(now time.Time, id string) {
	// The cancellation was unknown until now, so it was not confirmed before the watermark.
	stoppedBy := t.cancellations.watermark.At(now).Add(config.Seconds(t.options.Platform.Workers.CancelS))
	t.scheduler.CloseJob(now, id, stoppedBy)
	t.completions.deleteJob(id)
	t.startMarkers.Delete(id)
}
