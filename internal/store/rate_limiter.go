package store

import (
	"errors"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// RateLimiter is this member's share of the state service's rates. The members do not
// coordinate it: each keeps to a share that together stays near the limit, and the
// service's own rejections correct the rest.
type RateLimiter struct {
	buckets rateBuckets
	share   rateShare
	limits  serviceLimits
}

// NewRateLimiter makes the rate limiter of one of some members.
func NewRateLimiter(limits config.StateLimits, members int) *RateLimiter {
	l := &RateLimiter{share: newRateShare(members), limits: newServiceLimits(limits)}
	l.buckets = newRateBuckets(l.rates())
	return l
}

// Take spends the rate for a call, or tells how long to wait before asking again.
func (l *RateLimiter) Take(now time.Time, call Call) (wait time.Duration, ok bool) {
	l.reviewLevel(now)
	l.setShare(now, l.share.review(now))
	if !l.buckets.allowCall(now) {
		return tuning.RateLimitBackoff, false
	}
	if !l.buckets.allowWrites(now, call) {
		l.share.writesWaited = true
		return tuning.RateLimitBackoff, false
	}
	l.buckets.spend(now, call)
	return 0, true
}

// Observe takes in the outcome of a call, Result.Err, and reports whether it has just shown
// that the service has lowered its limits to the upcoming ones, which nobody announces:
// more rejections for the rate than the members' uneven shares explain, or one for the
// size of a value or transaction. A burst of other members looks the same, so the current
// limits are tried again later, at growing intervals.
func (l *RateLimiter) Observe(now time.Time, call Call, err error) (lowered bool) {
	switch {
	case rejectedForSize(call, err):
		l.limits.countSizeRejection()
	case errors.Is(err, ErrThrottled):
		l.setShare(now, l.share.least())
		l.share.reviewAt = now.Add(tuning.RateShareCooldown)
		l.buckets.drain(now, call)
		l.limits.countRateRejection(now)
	default:
		return false
	}
	if !l.limits.lowerDue() {
		return false
	}
	l.setLevel(now, limitsLowered)
	return true
}

// rejectedForSize reports whether a write was rejected for a limit of size: the only other
// cause is a lease that has expired.
func rejectedForSize(call Call, err error) bool {
	writes := call.Transaction.Writes
	leased := slices.ContainsFunc(writes, func(w wire.Write) bool { return w.Lease != 0 })
	return errors.Is(err, ErrInvalid) && len(writes) > 0 && !leased
}

// rates are the rates that the member may use, each second.
type rates struct {
	calls  float64
	writes float64
}

func (l *RateLimiter) rates() rates {
	limits := l.limits.inForce()
	return rates{calls: limits.RPS * l.share.part, writes: limits.WriteRPS * l.share.part}
}

// setShare changes the rates to another share, without a new burst.
func (l *RateLimiter) setShare(now time.Time, part float64) {
	if part == l.share.part {
		return
	}
	l.share.part = part
	l.buckets.setRates(now, l.rates())
}

// reviewLevel goes on to a trial of the current limits, or back to them for good, when it
// is time.
func (l *RateLimiter) reviewLevel(now time.Time) {
	if level := l.limits.levelDue(now); level != l.limits.level {
		l.setLevel(now, level)
	}
}

// setLevel goes on to another level, with full buckets of its limits. After a trial the
// buckets already are those of the current limits.
func (l *RateLimiter) setLevel(now time.Time, level limitLevel) {
	l.limits.setLevel(now, level)
	if level != limitsCurrent {
		l.buckets = newRateBuckets(l.rates())
	}
}
