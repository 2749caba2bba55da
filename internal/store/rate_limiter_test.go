package store

import (
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// oneWrite is a transaction with one write.
func oneWrite(priority Priority) Call {
	return Call{Op: OpTransaction, Priority: priority, Transaction: wire.Transaction{Writes: []wire.Write{Delete("a")}}}
}

// fallingLimits are 20 writes a second now and 10 later.
func fallingLimits(callsPerSecond float64) config.StateLimits {
	return config.StateLimits{RPS: callsPerSecond, WriteRPS: 20, Next: config.UpcomingLimits{"write_rps": 10.0}}
}

func TestRateLimiterPriorities(t *testing.T) {
	now := time.Unix(100, 0)
	limiter := NewRateLimiter(config.StateLimits{RPS: 200, WriteRPS: 20}, 1)
	spend := func(priority Priority) (writes int) {
		for {
			if _, ok := limiter.Take(now, oneWrite(priority)); !ok {
				return writes
			}
			writes++
		}
	}
	// each priority leaves something for the ones before it
	for _, c := range []struct {
		name     string
		priority Priority
		want     int
	}{
		{name: "completions", priority: PriorityCompletion, want: 12},
		{name: "ends of jobs", priority: PriorityJobEnd, want: 4},
		{name: "users", priority: PriorityUser, want: 2},
		{name: "leases", priority: PriorityLease, want: 2},
	} {
		if got := spend(c.priority); got != c.want {
			t.Errorf("%s: %d writes of a bucket of 20, want %d", c.name, got, c.want)
		}
	}
	if _, ok := limiter.Take(now, Call{Op: OpGet}); !ok {
		t.Error("a read was held back by writes")
	}
	now = now.Add(time.Second)
	if _, ok := limiter.Take(now, oneWrite(PriorityCompletion)); !ok {
		t.Error("the bucket did not fill again")
	}
}

type lowerCase struct {
	name     string
	call     Call
	err      error
	interval time.Duration
	count    int
	want     bool
}

var lowerCases = []lowerCase{
	{
		name: "responses as usual", call: oneWrite(PriorityUser), err: nil,
		interval: time.Millisecond, count: 100, want: false,
	},
	{
		name: "conflicts", call: oneWrite(PriorityUser), err: &ConflictError{},
		interval: time.Millisecond, count: 100, want: false,
	},
	{
		name: "an outage", call: oneWrite(PriorityUser), err: ErrUnavailable,
		interval: time.Millisecond, count: 100, want: false,
	},
	{
		name: "a few rejections in a burst", call: oneWrite(PriorityUser), err: ErrThrottled,
		interval: 100 * time.Millisecond, count: 8, want: false,
	},
	{
		name: "rejections now and then", call: oneWrite(PriorityUser), err: ErrThrottled,
		interval: 2 * time.Second, count: 60, want: false,
	},
	{
		name: "a rate of rejections", call: oneWrite(PriorityUser), err: ErrThrottled,
		interval: 300 * time.Millisecond, count: 20, want: true,
	},
	{
		name: "one for a size", call: oneWrite(PriorityUser), err: ErrInvalid,
		interval: 0, count: 1, want: true,
	},
	{
		name: "an expired lease",
		call: Call{Op: OpTransaction, Transaction: wire.Transaction{Writes: []wire.Write{{Put: "c/leader", Lease: 7}}}},
		err:  ErrInvalid, interval: 0, count: 3, want: false,
	},
	{
		name: "a malformed read", call: Call{Op: OpGet}, err: ErrInvalid,
		interval: 0, count: 3, want: false,
	},
}

// Nobody announces when the limits fall: rejections beyond what uneven shares explain do,
// or one for a size. Until then the current rate is used.
func TestRateLimiterLowers(t *testing.T) {
	for _, c := range lowerCases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			limiter := NewRateLimiter(fallingLimits(100), 1)
			lowered := false
			for range c.count {
				now = now.Add(c.interval)
				lowered = limiter.Observe(now, c.call, c.err) || lowered
			}
			now = now.Add(time.Minute)
			writes := 0
			for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
				if _, ok := limiter.Take(now, oneWrite(PriorityUser)); ok {
					writes++
				}
			}
			if low := writes < 150; lowered != c.want || low != c.want {
				t.Errorf("lowered %v, %d writes in 10 s", lowered, writes)
			}
		})
	}
}

type trialCase struct {
	name           string
	fallen         bool
	leastRejected  int
	mostRejected   int
	leastPerSecond int // writes, at the end
	mostPerSecond  int
}

var trialCases = []trialCase{
	{
		name: "a burst passes", fallen: false,
		leastRejected: 0, mostRejected: 0,
		leastPerSecond: 18, mostPerSecond: 21,
	},
	{
		name: "the limits have fallen", fallen: true,
		leastRejected: 1, mostRejected: 60,
		leastPerSecond: 8, mostPerSecond: 11,
	},
}

// A lowered rate is tried again after a while, as a burst of other members looks like a
// change of the limits; where the limits have fallen, a trial costs few rejections and
// the next one comes later.
func TestRateLimiterTrial(t *testing.T) {
	const hours = 2
	for _, c := range trialCases {
		t.Run(c.name, func(t *testing.T) {
			limiter := NewRateLimiter(fallingLimits(100), 1)
			start := time.Unix(100, 0)
			now := start
			for range tuning.RateLowerRejections {
				now = now.Add(100 * time.Millisecond)
				limiter.Observe(now, oneWrite(PriorityUser), ErrThrottled)
			}
			if limiter.limits.level != limitsLowered {
				t.Fatalf("level %v", limiter.limits.level)
			}
			tokens, rejected, last := 10.0, 0, 0
			for end := start.Add(hours * time.Hour); now.Before(end); now = now.Add(20 * time.Millisecond) {
				tokens = min(10, tokens+0.2) // ten a second, with bursts of a second
				if _, ok := limiter.Take(now, oneWrite(PriorityUser)); !ok {
					continue
				}
				if c.fallen && tokens < 1 {
					rejected++
					limiter.Observe(now, oneWrite(PriorityUser), ErrThrottled)
					continue
				}
				tokens--
				if end.Sub(now) <= 10*time.Second {
					last++
				}
			}
			if rejected < c.leastRejected || rejected > c.mostRejected {
				t.Errorf("%d rejections in %d hours", rejected, hours)
			}
			if last < 10*c.leastPerSecond || last > 10*c.mostPerSecond {
				t.Errorf("%d writes in the last 10 s", last)
			}
		})
	}
}

type shareCase struct {
	name      string
	perSecond int  // writes that are wanted
	rejected  bool // by the service, once a second
	least     int  // written in the last ten seconds
	most      int
	wantShare float64
}

var shareCases = []shareCase{
	{
		name: "more than its part is wanted, and there is room", perSecond: 30, rejected: false,
		least: 180, most: 201, wantShare: 1,
	},
	{
		name: "less than its part is wanted", perSecond: 5, rejected: false,
		least: 49, most: 51, wantShare: tuning.StoreRateShare,
	},
	{
		name: "the others use theirs: rejections", perSecond: 30, rejected: true,
		least: 0, most: 125, wantShare: tuning.StoreRateShare,
	},
}

// A member whose writes wait while the others leave theirs uses more than its part, and
// no more than that once the service rejects something.
func TestRateLimiterShareGrows(t *testing.T) {
	const seconds = 60
	call := oneWrite(PriorityJobEnd)
	for _, c := range shareCases {
		t.Run(c.name, func(t *testing.T) {
			limiter := NewRateLimiter(config.StateLimits{RPS: 1000, WriteRPS: 20}, 3)
			now := time.Unix(100, 0)
			written, wanted := 0, 0.0
			for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
				wanted = min(wanted+float64(c.perSecond)/100, 50)
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
			if written < c.least || written > c.most || limiter.share.part != c.wantShare {
				t.Errorf("%d writes in the last 10 s, share %g", written, limiter.share.part)
			}
		})
	}
}
