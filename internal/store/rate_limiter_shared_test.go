package store

import (
	"math/rand/v2"
	"testing"
	"time"
)

// After the service has lowered its rate, every member must detect it and none may starve, even
// if only some members have detected it at first.
func TestRateLimitersShareLoweredRate(t *testing.T) {
	for _, c := range []struct {
		name    string
		members int
		lowered int // number of members that start with the lowered limits
	}{
		{name: "no member has lowered its rate", members: 3, lowered: 0},
		{name: "one member has lowered its rate", members: 3, lowered: 1},
		{name: "all but one member have lowered their rates", members: 3, lowered: 2},
		{name: "three of seven members have lowered their rates", members: 7, lowered: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			shared := newSharedService(c.members, c.lowered)
			shared.run(60 * time.Second)
			for i, limiter := range shared.limiters {
				if limiter.limits.state != limitsLowered {
					t.Errorf("member %d has state %v, want %v", i, limiter.limits.state, limitsLowered)
				}
				// the demand of all members exceeds the rate throughout the test
				sinceLast := shared.now.Sub(shared.lastUserWriteAt[i])
				if shared.longestInterval[i] > 10*time.Second || sinceLast > 10*time.Second {
					t.Errorf("member %d waited %v between two user writes, and %v since the last one",
						i, shared.longestInterval[i], sinceLast)
				}
			}
		})
	}
}

// sharedService simulates a service that permits 10 writes per second to all members together.
type sharedService struct {
	now             time.Time
	rng             *rand.Rand
	tokens          float64
	limiters        []*RateLimiter
	longestInterval []time.Duration // longest time between two user writes, by member
	lastUserWriteAt []time.Time
}

func newSharedService(members, lowered int) *sharedService {
	s := &sharedService{
		now:             time.Unix(100, 0),
		rng:             rand.New(rand.NewPCG(1, 1)),
		tokens:          10,
		longestInterval: make([]time.Duration, members),
		lastUserWriteAt: make([]time.Time, members),
	}
	for i := range members {
		limiter := NewRateLimiter(decreasingLimits(1000), members)
		if i < lowered {
			limiter.setLimitState(s.now, limitsLowered)
		}
		s.limiters = append(s.limiters, limiter)
		s.lastUserWriteAt[i] = s.now
	}
	return s
}

// run simulates the given duration. The demand of every member exceeds the rate at each
// priority.
func (s *sharedService) run(duration time.Duration) {
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

// write sends one write of a member if its rate limiter permits it.
func (s *sharedService) write(member int, priority Priority) {
	limiter, call := s.limiters[member], singleWrite(priority)
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
		s.longestInterval[member] = max(s.longestInterval[member], s.now.Sub(s.lastUserWriteAt[member]))
		s.lastUserWriteAt[member] = s.now
	}
}
