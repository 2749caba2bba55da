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

// rateLimitedCloud calls the cloud within the share of its rate that one lease holder may use, and
// spaces retries out while calls fail in a row.
type rateLimitedCloud struct {
	caller  cloud.Caller
	limiter *rate.Limiter
	backoff *backoff.ExponentialBackOff
}

func newRateLimitedCloud(caller cloud.Caller, requestsPerSecond float64) *rateLimitedCloud {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = tuning.CloudRetryInitial, tuning.CloudRetryMax
	// A single lease holder calls: there is no crowd to spread out, and tests are repeatable.
	retryBackoff.RandomizationFactor = 0
	retryBackoff.Reset()
	share := requestsPerSecond * tuning.CloudRateShare
	limiter := rate.NewLimiter(rate.Limit(share), max(1, int(share)))
	return &rateLimitedCloud{caller: caller, limiter: limiter, backoff: retryBackoff}
}

// allow reports whether the rate has room for one more call, and takes that room.
func (c *rateLimitedCloud) allow(now time.Time) bool { return c.limiter.AllowN(now, 1) }

// call executes a call that allow has allowed.
func (c *rateLimitedCloud) call(call cloud.Call, callback func(now time.Time, result cloud.Result)) {
	c.caller(call, func(now time.Time, result cloud.Result) {
		if err := result.Err(); err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			c.backoff.Reset()
		}
		callback(now, result)
	})
}

// nextRetry returns when a call that has just failed may be made again.
func (c *rateLimitedCloud) nextRetry(now time.Time) time.Time {
	return now.Add(c.backoff.NextBackOff())
}

// outcomeOf returns the outcome of an operation whose call ended with err.
func outcomeOf(err error) intentlog.Outcome {
	switch {
	case err == nil:
		return intentlog.Done
	case errors.Is(err, cloud.ErrNoResponse):
		return intentlog.Unknown
	}
	return intentlog.NotExecuted
}
