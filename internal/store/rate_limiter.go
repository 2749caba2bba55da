package store

import (
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// limitLevel tells which of the service's rates a budget keeps to.
type limitLevel int

const (
	limitsCurrent limitLevel = iota // the rate that the settings give
	limitsLowered                   // the rate to come: refusals have shown it
	limitsTrial                     // the present rate again, to see whether it is refused
)

func (l limitLevel) String() string {
	return [...]string{"present", "lowered", "trial"}[l]
}

// RateLimiter is this node's share of the state service's rates. The nodes do not
// speak to each other about it: each keeps to a share that together stays
// near the limit, and the service's own 429 corrects the rest.
type RateLimiter struct {
	calls  *rate.Limiter
	writes *rate.Limiter
	// kept back, in writes, from each class for the classes before it
	reservedWrites [Priorities]float64

	nodes           int
	share           float64   // of the rates that this node uses
	writesWaited    bool      // a write has waited for the share since it was last reviewed
	shareReviewAt   time.Time // when the share is reviewed
	currentLimits   config.StateLimits
	upcomingLimits  config.StateLimits
	level           limitLevel
	rejections      int       // counted since refusedSince
	rejectionsSince time.Time // when the first refusal counted came
	levelChangeAt   time.Time // when a lowered rate is tried again, or a trial has passed
	loweredFor      time.Duration
}

// NewRateLimiter makes the budget of one of n nodes.
func NewRateLimiter(limits config.StateLimits, n int) *RateLimiter {
	b := &RateLimiter{nodes: max(1, n), currentLimits: limits, upcomingLimits: limits.Upcoming(), loweredFor: tuning.RateRaiseInitial}
	b.share = b.minShare()
	b.applyLimits(limits)
	return b
}

// minShare is the part of the rates that a node uses whatever the others do.
func (b *RateLimiter) minShare() float64 {
	if b.nodes == 1 {
		return 1
	}
	return tuning.StoreRateShare
}

// growShare lets the node use more of the rates while its writes wait and the service
// refuses nothing: the others then need less than their parts.
func (b *RateLimiter) growShare(now time.Time) {
	if now.Before(b.shareReviewAt) {
		return
	}
	b.shareReviewAt = now.Add(tuning.RateShareInterval)
	if !b.writesWaited {
		return
	}
	b.writesWaited = false
	b.setShare(now, min(1, b.share+tuning.RateShareStep))
}

// setShare changes the rates to another share, without a new burst.
func (b *RateLimiter) setShare(now time.Time, share float64) {
	if share == b.share {
		return
	}
	b.share = share
	limits := b.currentLimits
	if b.level == limitsLowered {
		limits = b.upcomingLimits
	}
	calls, writes := limits.RPS*share, limits.WriteRPS*share
	b.calls.SetLimitAt(now, rate.Limit(calls))
	b.calls.SetBurstAt(now, max(1, int(calls)))
	b.writes.SetLimitAt(now, rate.Limit(writes))
	b.writes.SetBurstAt(now, max(1, int(writes)))
	b.reserveWrites(writes)
}

// reserveWrites sets what each class leaves of a bucket for the classes before it.
func (b *RateLimiter) reserveWrites(writes float64) {
	for c := range b.reservedWrites {
		b.reservedWrites[c] = writes * tuning.WriteReserve[c]
	}
}

// applyLimits sets the rates to this node's share of some limits.
func (b *RateLimiter) applyLimits(limits config.StateLimits) {
	calls, writes := limits.RPS*b.share, limits.WriteRPS*b.share
	b.calls = rate.NewLimiter(rate.Limit(calls), max(1, int(calls)))
	b.writes = rate.NewLimiter(rate.Limit(writes), max(1, int(writes)))
	b.reserveWrites(writes)
}

// setLevel is the one place that changes the level.
func (b *RateLimiter) setLevel(now time.Time, level limitLevel) {
	b.level = level
	b.rejections = 0
	switch level {
	case limitsLowered:
		b.levelChangeAt = now.Add(b.loweredFor)
		b.loweredFor = min(2*b.loweredFor, tuning.RateRaiseMax)
		b.applyLimits(b.upcomingLimits)
	case limitsTrial:
		b.levelChangeAt = now.Add(tuning.RateLowerWindow)
		b.applyLimits(b.currentLimits)
	}
}

// Observe takes in what came of a call and tells whether it has just shown that the service
// lowered its limits to the ones to come, which nobody announces: refusals for the rate
// beyond what the nodes' uneven shares explain, or one for a value's or transaction's
// size. A burst of other nodes looks the same, so the present rate is tried again later,
// at growing intervals.
func (b *RateLimiter) Observe(now time.Time, c Call, status int) (lowered bool) {
	switch {
	case rejectedForSize(c, status):
		b.rejections = tuning.RateLowerRefusals
	case status == http.StatusTooManyRequests:
		b.setShare(now, b.minShare())
		b.shareReviewAt = now.Add(tuning.RateSharePause)
		b.drainBucket(now, c)
		b.countRejection(now)
	default:
		return false
	}
	if b.level == limitsLowered || b.rejections < b.rejectionsToLower() {
		return false
	}
	b.setLevel(now, limitsLowered)
	return true
}

// rejectedForSize tells whether a write was refused for a limit of size: the only other
// cause is a lease that has ended.
func rejectedForSize(c Call, status int) bool {
	leased := slices.ContainsFunc(c.Transaction.Writes, func(w wire.Write) bool { return w.Lease != 0 })
	return status == http.StatusBadRequest && len(c.Transaction.Writes) > 0 && !leased
}

// drainBucket empties the bucket of the rate that was refused: other nodes have used it up. As
// it fills again the most urgent classes may spend it first.
func (b *RateLimiter) drainBucket(now time.Time, c Call) {
	bucket := b.calls
	if len(c.Transaction.Writes) > 0 {
		bucket = b.writes
	}
	if n := int(bucket.TokensAt(now)); n > 0 {
		bucket.AllowN(now, n)
	}
}

func (b *RateLimiter) countRejection(now time.Time) {
	if now.Sub(b.rejectionsSince) > tuning.RateLowerWindow {
		b.rejections, b.rejectionsSince = 0, now
	}
	b.rejections++
	if b.level == limitsLowered {
		// even the lowered rate is refused: others have not noticed yet
		b.levelChangeAt = latest(b.levelChangeAt, now.Add(tuning.RateRaiseInitial))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// rejectionsToLower is how many refusals within LowerWithin lower the rate.
func (b *RateLimiter) rejectionsToLower() int {
	if b.level == limitsTrial {
		return tuning.RateTrialRefusals
	}
	return tuning.RateLowerRefusals
}

// reviewLevel moves on to a trial of the present rate, or back to it for good, when it is time.
func (b *RateLimiter) reviewLevel(now time.Time) {
	if now.Before(b.levelChangeAt) {
		return
	}
	switch b.level {
	case limitsLowered:
		b.setLevel(now, limitsTrial)
	case limitsTrial:
		b.setLevel(now, limitsCurrent)
	}
}

// Take spends the rate for a call, or tells how long to wait before asking
// again.
func (b *RateLimiter) Take(now time.Time, c Call) (wait time.Duration, ok bool) {
	b.reviewLevel(now)
	b.growShare(now)
	if b.calls.TokensAt(now) < 1 {
		return tuning.RateLimitRetry, false
	}
	if n := len(c.Transaction.Writes); n > 0 {
		need := float64(n)
		// a transaction larger than the bucket waits for a full bucket and
		// leaves a debt behind
		if most := float64(b.writes.Burst()); need+b.reservedWrites[c.Priority] > most {
			need = most - b.reservedWrites[c.Priority]
		}
		if b.writes.TokensAt(now) < need+b.reservedWrites[c.Priority] {
			b.writesWaited = true
			return tuning.RateLimitRetry, false
		}
		b.writes.AllowN(now, min(n, b.writes.Burst()))
	}
	b.calls.AllowN(now, 1)
	return 0, true
}
