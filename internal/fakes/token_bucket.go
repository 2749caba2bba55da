package fakes

import "time"

// tokenBucket is a rate limiter with a burst of one second.
type tokenBucket struct {
	spent     float64
	updatedAt time.Time
}

// take takes n tokens and reports whether the rate, in tokens per second, allows them. A rate of 0
// means no limit.
func (b *tokenBucket) take(now time.Time, rate, n float64) bool {
	if rate <= 0 {
		return true
	}
	b.spent = max(0, b.spent-now.Sub(b.updatedAt).Seconds()*rate)
	b.updatedAt = now
	if b.spent+n > rate {
		return false
	}
	b.spent += n
	return true
}
