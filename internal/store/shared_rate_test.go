package store

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Members that share the rate, some of which have noticed that it fell: each notices, and
// each goes on getting its most urgent writes through.
func TestRateLimitersShareLoweredRate(t *testing.T) {
	for _, c := range []struct {
		name    string
		members int
		noticed int // of them, at the beginning
	}{
		{name: "nobody has noticed", members: 3, noticed: 0},
		{name: "one has noticed", members: 3, noticed: 1},
		{name: "all but one have noticed", members: 3, noticed: 2},
		{name: "seven members, half of them", members: 7, noticed: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			shared := newSharedRate(c.members, c.noticed)
			shared.run(60 * time.Second)
			for i, limiter := range shared.limiters {
				if limiter.limits.level != limitsLowered {
					t.Errorf("member %d has not noticed: %v", i, limiter.limits.level)
				}
				// all members ask for several times the rate all the time
				sinceLast := shared.now.Sub(shared.lastUserWrite[i])
				if shared.longestWait[i] > 10*time.Second || sinceLast > 10*time.Second {
					t.Errorf("member %d waited %v for a user's write", i, shared.longestWait[i])
				}
			}
		})
	}
}

// sharedRate is a service of ten writes a second that several members use.
type sharedRate struct {
	now           time.Time
	rng           *rand.Rand
	tokens        float64
	limiters      []*RateLimiter
	longestWait   []time.Duration // of each member, between two users' writes
	lastUserWrite []time.Time
}

func newSharedRate(members, noticed int) *sharedRate {
	s := &sharedRate{
		now:           time.Unix(100, 0),
		rng:           rand.New(rand.NewPCG(1, 1)),
		tokens:        10,
		longestWait:   make([]time.Duration, members),
		lastUserWrite: make([]time.Time, members),
	}
	for i := range members {
		limiter := NewRateLimiter(fallingLimits(1000), members)
		if i < noticed {
			limiter.setLevel(s.now, limitsLowered)
		}
		s.limiters = append(s.limiters, limiter)
		s.lastUserWrite[i] = s.now
	}
	return s
}

// run lets all members write for some time. Each has more of each priority than may be
// written.
func (s *sharedRate) run(duration time.Duration) {
	for start := s.now; s.now.Sub(start) < duration; {
		s.now = s.now.Add(20 * time.Millisecond)
		s.tokens = min(10, s.tokens+0.2)
		for _, member := range s.rng.Perm(len(s.limiters)) {
			for _, priority := range []Priority{PriorityUser, PriorityCompletion} {
				s.write(member, priority)
			}
		}
	}
}

// write has a member write once if its rate limiter lets it.
func (s *sharedRate) write(member int, priority Priority) {
	limiter, call := s.limiters[member], oneWrite(priority)
	if _, ok := limiter.Take(s.now, call); !ok {
		return
	}
	if s.tokens < 1 {
		limiter.Observe(s.now, call, ErrThrottled)
		return
	}
	s.tokens--
	limiter.Observe(s.now, call, nil)
	if priority == PriorityUser {
		s.longestWait[member] = max(s.longestWait[member], s.now.Sub(s.lastUserWrite[member]))
		s.lastUserWrite[member] = s.now
	}
}
