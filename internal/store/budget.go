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

// rateLevel tells which of the service's rates a budget keeps to.
type rateLevel int

const (
	ratePresent rateLevel = iota // the rate that the settings give
	rateLowered                  // the rate to come: refusals have shown it
	rateTrial                    // the present rate again, to see whether it is refused
)

func (l rateLevel) String() string {
	return [...]string{"present", "lowered", "trial"}[l]
}

// Budget is this node's share of the state service's rates. The nodes do not
// speak to each other about it: each keeps to a share that together stays
// near the limit, and the service's own 429 corrects the rest.
type Budget struct {
	calls  *rate.Limiter
	writes *rate.Limiter
	// kept back, in writes, from each class for the classes before it
	reserve [Classes]float64

	nodes        int
	share        float64   // of the rates that this node uses
	short        bool      // a write has waited for the share since it was last reviewed
	shareDue     time.Time // when the share is reviewed
	present      config.State
	coming       config.State
	level        rateLevel
	refusals     int       // counted since refusedSince
	refusedSince time.Time // when the first refusal counted came
	changeAt     time.Time // when a lowered rate is tried again, or a trial has passed
	pause        time.Duration
}

// NewBudget makes the budget of one of n nodes.
func NewBudget(limits config.State, n int) *Budget {
	b := &Budget{nodes: max(1, n), present: limits, coming: limits.Coming(), pause: tuning.RateRaiseInitial}
	b.share = b.leastShare()
	b.use(limits)
	return b
}

// leastShare is the part of the rates that a node uses whatever the others do.
func (b *Budget) leastShare() float64 {
	if b.nodes == 1 {
		return 1
	}
	return tuning.StoreRateShare
}

// growShare lets the node use more of the rates while its writes wait and the service
// refuses nothing: the others then need less than their parts.
func (b *Budget) growShare(now time.Time) {
	if now.Before(b.shareDue) {
		return
	}
	b.shareDue = now.Add(tuning.RateShareInterval)
	if !b.short {
		return
	}
	b.short = false
	b.setShare(now, min(1, b.share+tuning.RateShareStep))
}

// setShare changes the rates to another share, without a new burst.
func (b *Budget) setShare(now time.Time, share float64) {
	if share == b.share {
		return
	}
	b.share = share
	limits := b.present
	if b.level == rateLowered {
		limits = b.coming
	}
	calls, writes := limits.RPS*share, limits.WriteRPS*share
	b.calls.SetLimitAt(now, rate.Limit(calls))
	b.calls.SetBurstAt(now, max(1, int(calls)))
	b.writes.SetLimitAt(now, rate.Limit(writes))
	b.writes.SetBurstAt(now, max(1, int(writes)))
	b.keepBack(writes)
}

// keepBack sets what each class leaves of a bucket for the classes before it.
func (b *Budget) keepBack(writes float64) {
	for c := range b.reserve {
		b.reserve[c] = writes * tuning.WriteReserve[c]
	}
}

// use sets the rates to this node's share of some limits.
func (b *Budget) use(limits config.State) {
	calls, writes := limits.RPS*b.share, limits.WriteRPS*b.share
	b.calls = rate.NewLimiter(rate.Limit(calls), max(1, int(calls)))
	b.writes = rate.NewLimiter(rate.Limit(writes), max(1, int(writes)))
	b.keepBack(writes)
}

// set is the one place that changes the level.
func (b *Budget) set(now time.Time, level rateLevel) {
	b.level = level
	b.refusals = 0
	switch level {
	case rateLowered:
		b.changeAt = now.Add(b.pause)
		b.pause = min(2*b.pause, tuning.RateRaiseMax)
		b.use(b.coming)
	case rateTrial:
		b.changeAt = now.Add(tuning.RateLowerWindow)
		b.use(b.present)
	}
}

// Note takes in what came of a call and tells whether it has just shown that the service
// lowered its limits to the ones to come, which nobody announces: refusals for the rate
// beyond what the nodes' uneven shares explain, or one for a value's or transaction's
// size. A burst of other nodes looks the same, so the present rate is tried again later,
// at growing intervals.
func (b *Budget) Note(now time.Time, c Call, status int) (lowered bool) {
	switch {
	case refusedForSize(c, status):
		b.refusals = tuning.RateLowerRefusals
	case status == http.StatusTooManyRequests:
		b.setShare(now, b.leastShare())
		b.shareDue = now.Add(tuning.RateSharePause)
		b.drain(now, c)
		b.countRefusal(now)
	default:
		return false
	}
	if b.level == rateLowered || b.refusals < b.refusalsToLower() {
		return false
	}
	b.set(now, rateLowered)
	return true
}

// refusedForSize tells whether a write was refused for a limit of size: the only other
// cause is a lease that has ended.
func refusedForSize(c Call, status int) bool {
	leased := slices.ContainsFunc(c.Multi.Writes, func(w wire.Write) bool { return w.Lease != 0 })
	return status == http.StatusBadRequest && len(c.Multi.Writes) > 0 && !leased
}

// drain empties the bucket of the rate that was refused: other nodes have used it up. As
// it fills again the most urgent classes may spend it first.
func (b *Budget) drain(now time.Time, c Call) {
	bucket := b.calls
	if len(c.Multi.Writes) > 0 {
		bucket = b.writes
	}
	if n := int(bucket.TokensAt(now)); n > 0 {
		bucket.AllowN(now, n)
	}
}

func (b *Budget) countRefusal(now time.Time) {
	if now.Sub(b.refusedSince) > tuning.RateLowerWindow {
		b.refusals, b.refusedSince = 0, now
	}
	b.refusals++
	if b.level == rateLowered {
		// even the lowered rate is refused: others have not noticed yet
		b.changeAt = later(b.changeAt, now.Add(tuning.RateRaiseInitial))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// refusalsToLower is how many refusals within LowerWithin lower the rate.
func (b *Budget) refusalsToLower() int {
	if b.level == rateTrial {
		return tuning.RateTrialRefusals
	}
	return tuning.RateLowerRefusals
}

// review moves on to a trial of the present rate, or back to it for good, when it is time.
func (b *Budget) review(now time.Time) {
	if now.Before(b.changeAt) {
		return
	}
	switch b.level {
	case rateLowered:
		b.set(now, rateTrial)
	case rateTrial:
		b.set(now, ratePresent)
	}
}

// Take spends the rate for a call, or tells how long to wait before asking
// again.
func (b *Budget) Take(now time.Time, c Call) (wait time.Duration, ok bool) {
	b.review(now)
	b.growShare(now)
	if b.calls.TokensAt(now) < 1 {
		return tuning.RateLimitRetry, false
	}
	if n := len(c.Multi.Writes); n > 0 {
		need := float64(n)
		// a transaction larger than the bucket waits for a full bucket and
		// leaves a debt behind
		if most := float64(b.writes.Burst()); need+b.reserve[c.Class] > most {
			need = most - b.reserve[c.Class]
		}
		if b.writes.TokensAt(now) < need+b.reserve[c.Class] {
			b.short = true
			return tuning.RateLimitRetry, false
		}
		b.writes.AllowN(now, min(n, b.writes.Burst()))
	}
	b.calls.AllowN(now, 1)
	return 0, true
}
