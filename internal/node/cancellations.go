package node

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
	horizon *leader.Horizon
	// known are cancellations that nodes have told of: what is read of these jobs as open
	// is old.
	known map[string]time.Time
	keep  time.Duration // past it a cancelled job's tasks are gone
}

func newCancellations(cfg *config.Config) *cancellations {
	var peers []string
	for _, k := range cfg.Known {
		peers = append(peers, k.Member)
	}
	return &cancellations{horizon: leader.NewHorizon(peers), known: map[string]time.Time{},
		keep: config.Seconds(cfg.Facts.Workers.CancelS) * tuning.CancellationRetentionFactor}
}

// note enters a cancellation and tells whether it is news.
func (c *cancellations) note(now time.Time, id string) bool {
	if c.has(id) {
		return false
	}
	if len(c.known) >= tuning.MinCancellationsKept {
		maps.DeleteFunc(c.known, func(_ string, at time.Time) bool { return now.Sub(at) > c.keep })
	}
	c.known[id] = now
	return true
}

func (c *cancellations) has(id string) bool {
	_, known := c.known[id]
	return known
}

// renewBound is how long past its horizon a holder goes on renewing workers: what it
// cannot know to be cancelled must be gone in time.
func (t *tenure) renewBound() time.Duration {
	w := t.c.cfg.Facts.Workers
	return max(tuning.MinRenewBeyondWatermark, config.Seconds(w.CancelS)-t.reg.LeaseExpiry()-tuning.CancellationRenewMargin)
}

// knows is the moment up to which this holder surely knows all cancellations. A node
// that reads jobs but not the control records might read on after its block is
// another's: the older of the two counts.
func (t *tenure) knows(now time.Time) time.Time {
	read := t.c.open.Fresh()
	if f := t.c.leader.Fresh(); f.Before(read) {
		read = f
	}
	t.cancelled.horizon.Read(read)
	return t.cancelled.horizon.At(now)
}

// jobCancelled is told of a cancellation that a node has told a user of. The state service
// may not tell of it for long, so it counts before it is read there, and whoever told of
// it is answered that it is known. What is read later may be older: the answer of a slow
// service, or the jobs as they were when this tenure began. The job is not taken up then.
func (t *tenure) jobCancelled(now time.Time, id string) {
	if !t.cancelled.note(now, id) {
		return
	}
	t.board.SetJobUnreadable(id, false)
	if t.board.OpenJob(id) != nil {
		t.jobOver(now, id)
	}
}

// jobOver ends a job, done or cancelled.
func (t *tenure) jobOver(now time.Time, id string) {
	// Not known before, so not told before the horizon.
	t.board.CloseJob(now, id, t.cancelled.horizon.At(now).Add(config.Seconds(t.c.cfg.Facts.Workers.CancelS)))
	t.outcomes.drop(id)
	t.begun.Drop(id)
}
