package store

import (
	"time"

	"golang.org/x/time/rate"

	"juniperchute/internal/tuning"
)

// rateBuckets holds the token buckets for calls and for writes. The capacity of each bucket is
// the number of tokens that it receives in one second.
type rateBuckets struct {
	calls  *rate.Limiter
	writes *rate.Limiter
	// reservedWrites is, by priority, the number of write tokens that calls of that priority
	// must leave for more urgent calls.
	reservedWrites [NumPriorities]float64
}

// newRateBuckets returns full buckets.
func newRateBuckets(r rates) rateBuckets {
	buckets := rateBuckets{
		calls:  rate.NewLimiter(rate.Limit(r.calls), burst(r.calls)),
		writes: rate.NewLimiter(rate.Limit(r.writes), burst(r.writes)),
	}
	buckets.reserveWrites(r.writes)
	return buckets
}

func burst(perSecond float64) int { return max(1, int(perSecond)) }

// setRates changes the rates and keeps the tokens that the buckets hold.
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

// allowWrites reports whether the write bucket holds enough tokens for a call in addition to
// the reservation for more urgent calls. A transaction larger than the bucket only requires a
// full bucket.
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

func (b *rateBuckets) consume(now time.Time, call Call) {
	if count := len(call.Transaction.Writes); count > 0 {
		b.writes.AllowN(now, min(count, b.writes.Burst()))
	}
	b.calls.AllowN(now, 1)
}

// drain empties the bucket for which a call was throttled, because other members have used up
// the rate. While the bucket refills, the reservations let the most urgent calls pass first.
func (b *rateBuckets) drain(now time.Time, call Call) {
	bucket := b.calls
	if len(call.Transaction.Writes) > 0 {
		bucket = b.writes
	}
	if tokens := int(bucket.TokensAt(now)); tokens > 0 {
		bucket.AllowN(now, tokens)
	}
}
