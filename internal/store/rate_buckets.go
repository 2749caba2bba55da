package store

import (
	"time"

	"golang.org/x/time/rate"

	"juniperchute/internal/tuning"
)

// rateBuckets are the token buckets of the rates, each with a burst of one second.
type rateBuckets struct {
	calls  *rate.Limiter
	writes *rate.Limiter
	// reservedWrites is what each priority leaves of the writes for the ones before it.
	reservedWrites [Priorities]float64
}

// newRateBuckets makes full buckets.
func newRateBuckets(r rates) rateBuckets {
	buckets := rateBuckets{
		calls:  rate.NewLimiter(rate.Limit(r.calls), burst(r.calls)),
		writes: rate.NewLimiter(rate.Limit(r.writes), burst(r.writes)),
	}
	buckets.reserveWrites(r.writes)
	return buckets
}

func burst(perSecond float64) int { return max(1, int(perSecond)) }

// setRates changes the rates and leaves what the buckets hold.
func (b *rateBuckets) setRates(now time.Time, r rates) {
	b.calls.SetLimitAt(now, rate.Limit(r.calls))
	b.calls.SetBurstAt(now, burst(r.calls))
	b.writes.SetLimitAt(now, rate.Limit(r.writes))
	b.writes.SetBurstAt(now, burst(r.writes))
	b.reserveWrites(r.writes)
}

func (b *rateBuckets) reserveWrites(perSecond float64) {
	for priority := range b.reservedWrites {
		b.reservedWrites[priority] = perSecond * tuning.WriteReserveShares[priority]
	}
}

func (b *rateBuckets) allowCall(now time.Time) bool { return b.calls.TokensAt(now) >= 1 }

// allowWrites reports whether a call's writes leave what is reserved for other priorities.
// A transaction larger than the bucket needs a full one only.
func (b *rateBuckets) allowWrites(now time.Time, call Call) bool {
	count := len(call.Transaction.Writes)
	if count == 0 {
		return true
	}
	reserved := b.reservedWrites[call.Priority]
	needed := float64(count)
	if full := float64(b.writes.Burst()); needed+reserved > full {
		needed = full - reserved
	}
	return b.writes.TokensAt(now) >= needed+reserved
}

func (b *rateBuckets) spend(now time.Time, call Call) {
	if count := len(call.Transaction.Writes); count > 0 {
		b.writes.AllowN(now, min(count, b.writes.Burst()))
	}
	b.calls.AllowN(now, 1)
}

// drain empties the bucket of the rate that a call was rejected for: other members have
// used it up. As it fills again the most urgent calls may spend it first.
func (b *rateBuckets) drain(now time.Time, call Call) {
	bucket := b.calls
	if len(call.Transaction.Writes) > 0 {
		bucket = b.writes
	}
	if tokens := int(bucket.TokensAt(now)); tokens > 0 {
		bucket.AllowN(now, tokens)
	}
}
