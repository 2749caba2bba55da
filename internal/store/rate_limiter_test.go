package store

import (
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// singleWrite returns a transaction with one write.
func singleWrite(priority Priority) Call {
	return Call{Op: OpTransaction, Priority: priority, Transaction: wire.Transaction{Writes: []wire.Write{Delete("a")}}}
}

// decreasingLimits returns limits with 20 writes per second and an upcoming limit of 10.
func decreasingLimits(callsPerSecond float64) config.StateLimits {
	return config.StateLimits{RPS: callsPerSecond, WriteRPS: 20, Next: config.UpcomingLimits{"write_rps": 10.0}}
}

// Less urgent writes must not consume the tokens that are reserved for more urgent ones.
func TestRateLimiterPriorities(t *testing.T) {
	now := time.Unix(100, 0)
	limiter := NewRateLimiter(config.StateLimits{RPS: 200, WriteRPS: 20}, 1)
	spend := func(priority Priority) (writes int) {
		for {
			if _, ok := limiter.Take(now, singleWrite(priority)); !ok {
				return writes
			}
			writes++
		}
	}
	for _, c := range []struct {
		name     string
		priority Priority
		want     int
	}{
		{name: "completions", priority: PriorityCompletion, want: 12},
		{name: "job ends", priority: PriorityJobEnd, want: 4},
		{name: "users", priority: PriorityUser, want: 2},
		{name: "leases", priority: PriorityLease, want: 2},
	} {
		if got := spend(c.priority); got != c.want {
			t.Errorf("%s: %d writes from a bucket of 20 tokens, want %d", c.name, got, c.want)
		}
	}
	if _, ok := limiter.Take(now, Call{Op: OpGet}); !ok {
		t.Error("a read was rejected because the write bucket is empty")
	}
	now = now.Add(time.Second)
	if _, ok := limiter.Take(now, singleWrite(PriorityCompletion)); !ok {
		t.Error("the write bucket was not refilled")
	}
}

type lowerLimitsCase struct {
	name     string
	call     Call
	err      error
	interval time.Duration
	count    int
	want     bool // whether the limits must be lowered
}

var lowerLimitsCases = []lowerLimitsCase{
	{
		name: "successes keep the current limits", call: singleWrite(PriorityUser), err: nil,
		interval: time.Millisecond, count: 100, want: false,
	},
	{
		name: "conflicts keep the current limits", call: singleWrite(PriorityUser), err: &ConflictError{},
		interval: time.Millisecond, count: 100, want: false,
	},
	{
		name: "an outage keeps the current limits", call: singleWrite(PriorityUser), err: ErrUnavailable,
		interval: time.Millisecond, count: 100, want: false,
	},
	{
		name: "a short burst of throttling keeps the limits", call: singleWrite(PriorityUser), err: ErrThrottled,
		interval: 100 * time.Millisecond, count: 8, want: false,
	},
	{
		name: "sporadic throttled calls keep the current limits", call: singleWrite(PriorityUser), err: ErrThrottled,
		interval: 2 * time.Second, count: 60, want: false,
	},
	{
		name: "sustained throttling lowers the limits", call: singleWrite(PriorityUser), err: ErrThrottled,
		interval: 300 * time.Millisecond, count: 20, want: true,
	},
	{
		name: "one size rejection lowers the limits", call: singleWrite(PriorityUser), err: ErrInvalid,
		interval: 0, count: 1, want: true,
	},
	{
		name: "an expired lease keeps the current limits",
		call: Call{Op: OpTransaction, Transaction: wire.Transaction{
			Writes: []wire.Write{{PutKey: "c/leader", Lease: 7}},
		}},
		err: ErrInvalid, interval: 0, count: 3, want: false,
	},
	{
		name: "an invalid read keeps the current limits", call: Call{Op: OpGet}, err: ErrInvalid,
		interval: 0, count: 3, want: false,
	},
}

// The service lowers its limits without notice. The limiter must infer that from sustained
// throttling or a size rejection, and must use the current rate otherwise.
func TestRateLimiterLowers(t *testing.T) {
	for _, c := range lowerLimitsCases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			limiter := NewRateLimiter(decreasingLimits(100), 1)
			lowered := false
			for range c.count {
				now = now.Add(c.interval)
				lowered = limiter.Observe(now, c.call, c.err) || lowered
			}
			now = now.Add(time.Minute)
			writes := 0
			for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
				if _, ok := limiter.Take(now, singleWrite(PriorityUser)); ok {
					writes++
				}
			}
			if low := writes < 150; lowered != c.want || low != c.want {
				t.Errorf("lowered %v, %d writes in 10 s; want lowered %v", lowered, writes, c.want)
			}
		})
	}
}

type limitsTrialCase struct {
	name           string
	serviceLowered bool
	minRejections  int
	maxRejections  int
	minPerSecond   int // writes per second at the end of the test
	maxPerSecond   int
}

var limitsTrialCases = []limitsTrialCase{
	{
		name: "temporary burst: current limits are restored", serviceLowered: false,
		minRejections: 0, maxRejections: 0,
		minPerSecond: 18, maxPerSecond: 21,
	},
	{
		name: "lowered service limits: trials fail with few rejections", serviceLowered: true,
		minRejections: 1, maxRejections: 60,
		minPerSecond: 8, maxPerSecond: 11,
	},
}

// A burst by other members must not lower the rate permanently, and trials of the current
// limits must cause few rejections if the service has lowered them.
func TestRateLimiterTrial(t *testing.T) {
	const hours = 2
	for _, c := range limitsTrialCases {
		t.Run(c.name, func(t *testing.T) {
			limiter := NewRateLimiter(decreasingLimits(100), 1)
			start := time.Unix(100, 0)
			now := start
			for range tuning.LimitRejectionThreshold {
				now = now.Add(100 * time.Millisecond)
				limiter.Observe(now, singleWrite(PriorityUser), ErrThrottled)
			}
			if limiter.limits.state != limitsLowered {
				t.Fatalf("state %v", limiter.limits.state)
			}
			tokens, rejected, last := 10.0, 0, 0
			for end := start.Add(hours * time.Hour); now.Before(end); now = now.Add(20 * time.Millisecond) {
				tokens = min(10, tokens+0.2) // 10 per second, with a burst of one second
				if _, ok := limiter.Take(now, singleWrite(PriorityUser)); !ok {
					continue
				}
				if c.serviceLowered && tokens < 1 {
					rejected++
					limiter.Observe(now, singleWrite(PriorityUser), ErrThrottled)
					continue
				}
				tokens--
				if end.Sub(now) <= 10*time.Second {
					last++
				}
			}
			if rejected < c.minRejections || rejected > c.maxRejections {
				t.Errorf("%d rejections in %d hours", rejected, hours)
			}
			if last < 10*c.minPerSecond || last > 10*c.maxPerSecond {
				t.Errorf("%d writes in the last 10 s", last)
			}
		})
	}
}

type rateShareCase struct {
	name            string
	demandPerSecond int  // requested writes
	rejected        bool // whether the service throttles one call per second
	minWritten      int  // writes in the last 10 s
	maxWritten      int
	wantShare       float64
}

var rateShareCases = []rateShareCase{
	{
		name: "demand above the share without rejections: share grows", demandPerSecond: 30, rejected: false,
		minWritten: 180, maxWritten: 201, wantShare: 1,
	},
	{
		name: "demand below the share: share stays at the minimum", demandPerSecond: 5, rejected: false,
		minWritten: 49, maxWritten: 51, wantShare: tuning.MinStoreRateShare,
	},
	{
		name: "rejections: share stays at the minimum", demandPerSecond: 30, rejected: true,
		minWritten: 0, maxWritten: 125, wantShare: tuning.MinStoreRateShare,
	},
}

// A member must be able to use capacity that other members leave idle, and must fall back to
// its minimum share when the service rejects calls.
func TestRateLimiterShareGrows(t *testing.T) {
	const seconds = 60
	call := singleWrite(PriorityJobEnd)
	for _, c := range rateShareCases {
		t.Run(c.name, func(t *testing.T) {
			limiter := NewRateLimiter(config.StateLimits{RPS: 1000, WriteRPS: 20}, 3)
			now := time.Unix(100, 0)
			written, wanted := 0, 0.0
			for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
				wanted = min(wanted+float64(c.demandPerSecond)/100, 50)
				for wanted >= 1 {
					if _, ok := limiter.Take(now, call); !ok {
						break
					}
					wanted--
					if c.rejected && now.Nanosecond() == 0 {
						limiter.Observe(now, call, ErrThrottled)
					}
					if end.Sub(now) <= 10*time.Second {
						written++
					}
				}
				if c.rejected && now.Nanosecond() < 1e7 {
					limiter.Observe(now, call, ErrThrottled)
				}
			}
			if written < c.minWritten || written > c.maxWritten || limiter.share.current != c.wantShare {
				t.Errorf("%d writes in the last 10 s, share %g, want %d to %d and %g",
					written, limiter.share.current, c.minWritten, c.maxWritten, c.wantShare)
			}
		})
	}
}
