package fakes

import "time"

// tokenBucket limits a rate; it holds one second's worth of it.
type tokenBucket struct {
	spent     float64
	updatedAt time.Time
}

// take spends n of a rate per second, or tells that it is exceeded. A rate of 0 has no limit.
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
