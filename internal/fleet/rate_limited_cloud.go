package fleet

import (
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"juniperchute/internal/cloud"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/tuning"
)

// rateLimitedCloud limits calls to a lease holder's share of the cloud's rate limit and applies
// exponential backoff to retries.
type rateLimitedCloud struct {
	caller  cloud.Caller
	limiter *rate.Limiter
	backoff *backoff.ExponentialBackOff
	health  *cloudHealth
}

func newRateLimitedCloud(caller cloud.Caller, requestsPerSecond float64, health *cloudHealth) *rateLimitedCloud {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = tuning.CloudBackoffInitial, tuning.CloudBackoffMax
	// Each shard has a single caller, so retries need no jitter, and tests stay deterministic.
	retryBackoff.RandomizationFactor = 0
	retryBackoff.Reset()
	share := requestsPerSecond * tuning.CloudRateShare
	limiter := rate.NewLimiter(rate.Limit(share), max(1, int(share)))
	return &rateLimitedCloud{caller: caller, limiter: limiter, backoff: retryBackoff, health: health}
}

// allow reports whether the rate limit permits a call now. If so, it consumes a token of the bucket.
func (c *rateLimitedCloud) allow(now time.Time) bool { return c.limiter.AllowN(now, 1) }

// call sends a call for which allow has returned true. A success or a lack of capacity resets the
// backoff.
func (c *rateLimitedCloud) call(call cloud.Call, done func(now time.Time, result cloud.Result)) {
	c.caller(call, func(now time.Time, result cloud.Result) {
		if err := result.Err(); err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			c.backoff.Reset()
		}
		c.health.observe(now, call, result.Err())
		done(now, result)
	})
}

// nextRetry returns the time of the next retry and increases the backoff.
func (c *rateLimitedCloud) nextRetry(now time.Time) time.Time {
	return now.Add(c.backoff.NextBackOff())
}

// outcomeOf returns the intent's outcome for a call that ended with err.
func outcomeOf(err error) intentlog.Outcome {
	switch {
	case err == nil:
		return intentlog.Done
	case errors.Is(err, cloud.ErrNoResponse):
		return intentlog.Unknown
	}
	return intentlog.NotExecuted
}
