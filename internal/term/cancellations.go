package term

import (
	"maps"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/leader"
	"juniperchute/internal/tuning"
)

// cancellations is what a shard's lease holder knows of cancelled jobs, and up to when it
// knows of all of them.
type cancellations struct {
	watermark *leader.CancellationWatermark
	// known are cancellations that controllers have confirmed to users: what is read of these
	// jobs as open is old.
	known   map[string]time.Time
	keepFor time.Duration // past it a cancelled job's tasks have ended
}

func newCancellations(peers []string, workers config.Workers) *cancellations {
	return &cancellations{
		watermark: leader.NewCancellationWatermark(peers),
		known:     map[string]time.Time{},
		keepFor:   config.Seconds(workers.CancelS) * tuning.CancellationRetentionFactor,
	}
}

// add records a cancellation and reports whether it is news.
func (c *cancellations) add(now time.Time, id string) bool {
	if c.contains(id) {
		return false
	}
	if len(c.known) >= tuning.MinCancellationsKept {
		maps.DeleteFunc(c.known, func(_ string, at time.Time) bool { return now.Sub(at) > c.keepFor })
	}
	c.known[id] = now
	return true
}

func (c *cancellations) contains(id string) bool {
	_, known := c.known[id]
	return known
}

// renewalBound is how long past its cancellation watermark a lease holder goes on renewing
// workers: what it cannot know to be cancelled must have ended in time.
func (t *Term) renewalBound() time.Duration {
	cancelWithin := config.Seconds(t.options.Platform.Workers.CancelS)
	bound := cancelWithin - t.workers.LeaseExpiry() - tuning.CancellationRenewMargin
	return max(tuning.MinRenewBeyondWatermark, bound)
}

// CancellationWatermark is the cancellation watermark: the moment up to which this lease
// holder surely knows every cancellation that any controller has confirmed. A controller that
// reads jobs but not the control records might read on after its shard is another's: the
// older of the two counts.
func (t *Term) CancellationWatermark(now time.Time) time.Time {
	read := t.options.OpenJobs.CurrentAsOf()
	if control := t.options.Membership.CurrentAsOf(); control.Before(read) {
		read = control
	}
	t.cancellations.watermark.AdvanceTo(read)
	return t.cancellations.watermark.At(now)
}

// AcknowledgeCancellations takes note that a peer's process, which started no later than
// startedAt, had confirmed by until no cancellation that this term does not know. It counts
// for nothing while the records are being read: what a peer passes on cannot be stopped yet.
func (t *Term) AcknowledgeCancellations(peer string, process uint64, startedAt, until time.Time) {
	if t.state != Loading {
		t.cancellations.watermark.Acknowledge(peer, process, startedAt, until)
	}
}

// CancelJob applies a cancellation that a controller has confirmed to a user. The state
// service may not show it for long, so it counts before it is read there. What is read later
// may be older: the answer of a slow service, or the jobs as they were when this term began.
// The job is not scheduled then.
func (t *Term) CancelJob(now time.Time, id string) {
	if !t.Live() || !t.cancellations.add(now, id) {
		return
	}
	t.openJobDeleted(now, id)
}

// closeJob ends a job, done or cancelled.
func (t *Term) closeJob(now time.Time, id string) {
	// Not known before, so not confirmed before the watermark.
	stoppedBy := t.cancellations.watermark.At(now).Add(config.Seconds(t.options.Platform.Workers.CancelS))
	t.scheduler.CloseJob(now, id, stoppedBy)
	t.completions.forget(id)
	t.startMarkers.Delete(id)
}
