package store

import (
	"errors"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// RateLimiter limits this member's calls to its share of the state service's rate limits. The
// members do not coordinate their shares. The sum of the shares may exceed the limits, and
// ErrThrottled results reduce them.
type RateLimiter struct {
	buckets rateBuckets
	share   rateShare
	limits  serviceLimits
}

// NewRateLimiter returns the rate limiter of one member of a deployment with the given number
// of members.
func NewRateLimiter(limits config.StateLimits, members int) *RateLimiter {
	l := &RateLimiter{share: newRateShare(members), limits: newServiceLimits(limits)}
	l.buckets = newRateBuckets(l.rates())
	return l
}

// Take consumes the tokens for a call and returns true, or returns the time to wait before the
// next attempt.
func (l *RateLimiter) Take(now time.Time, call Call) (wait time.Duration, ok bool) {
	l.updateLimitState(now)
	l.setShare(now, l.share.adjust(now))
	if !l.buckets.allowCall(now) {
		return tuning.RateLimitBackoff, false
	}
	if !l.buckets.allowWrites(now, call) {
		l.share.writesDelayed = true
		return tuning.RateLimitBackoff, false
	}
	l.buckets.consume(now, call)
	return 0, true
}

// Observe records the error of a finished call, nil for success. It reports whether this
// result caused the limiter to switch to the upcoming limits of the settings. The service
// lowers its limits without notice, so the limiter infers the change from more throttled calls
// than the overlapping shares of the members explain, or from one size rejection. A burst by
// other members causes the same results, so the current limits are tried again at growing
// intervals.
func (l *RateLimiter) Observe(now time.Time, call Call, err error) (lowered bool) {
	switch {
	case rejectedForSize(call, err):
		l.limits.countSizeRejection()
	case errors.Is(err, ErrThrottled):
		l.setShare(now, l.share.minimum())
		l.share.nextAdjustment = now.Add(tuning.RateShareCooldown)
		l.buckets.drain(now, call)
		l.limits.countRateRejection(now)
	default:
		return false
	}
	if !l.limits.shouldLower() {
		return false
	}
	l.setLimitState(now, limitsLowered)
	return true
}

// rejectedForSize reports whether a transaction was rejected because of a size limit. The only
// other cause of ErrInvalid for a transaction is an expired lease.
func rejectedForSize(call Call, err error) bool {
	writes := call.Transaction.Writes
	leased := slices.ContainsFunc(writes, func(w wire.Write) bool { return w.Lease != 0 })
	return errors.Is(err, ErrInvalid) && len(writes) > 0 && !leased
}

// rates holds the limits of this member per second.
type rates struct {
	calls  float64
	writes float64
}

func (l *RateLimiter) rates() rates {
	limits := l.limits.effective()
	return rates{calls: limits.RPS * l.share.current, writes: limits.WriteRPS * l.share.current}
}

// setShare changes the share without refilling the buckets.
func (l *RateLimiter) setShare(now time.Time, share float64) {
	if share == l.share.current {
		return
	}
	l.share.current = share
	l.buckets.setRates(now, l.rates())
}

// updateLimitState starts a trial of the current limits, or ends a successful one, when it is due.
func (l *RateLimiter) updateLimitState(now time.Time) {
	if state := l.limits.stateAt(now); state != l.limits.state {
		l.setLimitState(now, state)
	}
}

// setLimitState changes the state of the limits and refills the buckets, except after a successful trial, during
// which the buckets already had the current rates.
func (l *RateLimiter) setLimitState(now time.Time, state limitState) {
	l.limits.setState(now, state)
	if state != limitsCurrent {
		l.buckets = newRateBuckets(l.rates())
	}
}
