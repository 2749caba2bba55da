package controller

import (
	"maps"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/leader"
	"juniperchute/internal/tuning"
)

// cancellations is what a block's holder knows of cancelled jobs, and up to when it knows
// of all of them.
type cancellations struct {
	watermark *leader.CancellationWatermark
	// known are cancellations that nodes have told of: what is read of these jobs as open
	// is old.
	known   map[string]time.Time
	keepFor time.Duration // past it a cancelled job's tasks are gone
}

func newCancellations(cfg *config.Config) *cancellations {
	var peers []string
	for _, k := range cfg.Peers {
		peers = append(peers, k.Member)
	}
	return &cancellations{watermark: leader.NewCancellationWatermark(peers), known: map[string]time.Time{},
		keepFor: config.Seconds(cfg.Platform.Workers.CancelS) * tuning.CancellationRetentionFactor}
}

// add enters a cancellation and tells whether it is news.
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

// renewalBound is how long past its horizon a holder goes on renewing workers: what it
// cannot know to be cancelled must be gone in time.
func (t *term) renewalBound() time.Duration {
	w := t.controller.config.Platform.Workers
	return max(tuning.MinRenewBeyondWatermark, config.Seconds(w.CancelS)-t.workers.LeaseExpiry()-tuning.CancellationRenewMargin)
}

// cancellationsKnownUntil is the moment up to which this holder surely knows all cancellations. A node
// that reads jobs but not the control records might read on after its block is
// another's: the older of the two counts.
func (t *term) cancellationsKnownUntil(now time.Time) time.Time {
	read := t.controller.openJobs.CurrentAsOf()
	if f := t.controller.membership.CurrentAsOf(); f.Before(read) {
		read = f
	}
	t.cancellations.watermark.AdvanceTo(read)
	return t.cancellations.watermark.At(now)
}

// cancelJob is told of a cancellation that a node has told a user of. The state service
// may not tell of it for long, so it counts before it is read there, and whoever told of
// it is answered that it is known. What is read later may be older: the answer of a slow
// service, or the jobs as they were when this tenure began. The job is not taken up then.
func (t *term) cancelJob(now time.Time, id string) {
	if !t.cancellations.add(now, id) {
		return
	}
	t.scheduler.SetJobUnreadable(id, false)
	if t.scheduler.OpenJob(id) != nil {
		t.closeJob(now, id)
	}
}

// closeJob ends a job, done or cancelled.
func (t *term) closeJob(now time.Time, id string) {
	// Not known before, so not told before the horizon.
	t.scheduler.CloseJob(now, id, t.cancellations.watermark.At(now).Add(config.Seconds(t.controller.config.Platform.Workers.CancelS)))
	t.completions.forget(id)
	t.startMarkers.Delete(id)
}
