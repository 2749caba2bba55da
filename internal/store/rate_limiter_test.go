package store

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

func TestBudgetOrder(t *testing.T) {
	now := time.Unix(100, 0)
	write := func(c Priority) Call {
		return Call{Op: OpTransaction, Priority: c, Transaction: wire.Transaction{Writes: []wire.Write{Delete("a")}}}
	}
	b := NewRateLimiter(config.StateLimits{RPS: 200, WriteRPS: 20}, 1)
	spend := func(c Priority) (n int) {
		for {
			if _, ok := b.Take(now, write(c)); !ok {
				return n
			}
			n++
		}
	}
	// each class leaves something for the ones before it
	tallies, finals, users, leases := spend(PriorityCompletion), spend(PriorityJobEnd), spend(PriorityUser), spend(PriorityLease)
	if tallies != 12 || finals != 4 || users != 2 || leases != 2 {
		t.Errorf("tallies %d, finals %d, users %d, leases %d of a bucket of 20", tallies, finals, users, leases)
	}
	if _, ok := b.Take(now, Call{Op: OpGet}); !ok {
		t.Error("a read was held back by writes")
	}
	now = now.Add(time.Second)
	if _, ok := b.Take(now, write(PriorityCompletion)); !ok {
		t.Error("the bucket did not fill again")
	}
}

// Nobody tells when the limits fall: refusals beyond what uneven shares explain do, or
// one for a size. Until then the present rate is used.
func TestBudgetLowers(t *testing.T) {
	write := Call{Op: OpTransaction, Priority: PriorityUser, Transaction: wire.Transaction{Writes: []wire.Write{Delete("a")}}}
	leased := Call{Op: OpTransaction, Transaction: wire.Transaction{Writes: []wire.Write{{Put: "c/leader", Lease: 7}}}}
	for _, c := range []struct {
		name   string
		call   Call
		status int
		every  time.Duration
		n      int
		want   bool
	}{
		{"answers as usual", write, 200, time.Millisecond, 100, false},
		{"conflicts", write, 409, time.Millisecond, 100, false},
		{"an outage", write, 503, time.Millisecond, 100, false},
		{"a few refusals in a burst", write, 429, 100 * time.Millisecond, 8, false},
		{"refusals now and then", write, 429, 2 * time.Second, 60, false},
		{"a rate of refusals", write, 429, 300 * time.Millisecond, 20, true},
		{"one for a size", write, 400, 0, 1, true},
		{"a lease that has ended", leased, 400, 0, 3, false},
		{"a malformed question", Call{Op: OpGet}, 400, 0, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			b := NewRateLimiter(config.StateLimits{RPS: 100, WriteRPS: 20, Next: config.UpcomingLimits{"write_rps": 10.0}}, 1)
			lowered := false
			for range c.n {
				now = now.Add(c.every)
				lowered = b.Observe(now, c.call, c.status) || lowered
			}
			now = now.Add(time.Minute)
			n := 0
			for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
				if _, ok := b.Take(now, write); ok {
					n++
				}
			}
			if low := n < 150; lowered != c.want || low != c.want {
				t.Errorf("lowered %v, %d writes in 10 s", lowered, n)
			}
		})
	}
}

// A lowered rate is tried again after a while, as a burst of other nodes looks like a
// change of the limits; where the limits have fallen, a trial costs few refusals and the
// next one comes later.
func TestBudgetTriesAgain(t *testing.T) {
	write := Call{Op: OpTransaction, Priority: PriorityUser, Transaction: wire.Transaction{Writes: []wire.Write{Delete("a")}}}
	const hours = 2
	for _, c := range []struct {
		name        string
		fallen      bool
		wantRefused [2]int // in all, least and most
		wantWrites  [2]int // a second, at the end
	}{
		{"a burst passes", false, [2]int{0, 0}, [2]int{18, 21}},
		{"the limits have fallen", true, [2]int{1, 60}, [2]int{8, 11}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewRateLimiter(config.StateLimits{RPS: 100, WriteRPS: 20, Next: config.UpcomingLimits{"write_rps": 10.0}}, 1)
			start := time.Unix(100, 0)
			now := start
			for range tuning.RateLowerRefusals {
				now = now.Add(100 * time.Millisecond)
				b.Observe(now, write, http.StatusTooManyRequests)
			}
			if b.level != limitsLowered {
				t.Fatalf("level %v", b.level)
			}
			service, refused, last := 10.0, 0, 0
			for end := start.Add(hours * time.Hour); now.Before(end); now = now.Add(20 * time.Millisecond) {
				service = min(10, service+0.2) // ten a second, with bursts of a second
				if _, ok := b.Take(now, write); !ok {
					continue
				}
				if c.fallen && service < 1 {
					refused++
					b.Observe(now, write, http.StatusTooManyRequests)
					continue
				}
				service--
				if end.Sub(now) <= 10*time.Second {
					last++
				}
			}
			if refused < c.wantRefused[0] || refused > c.wantRefused[1] {
				t.Errorf("%d refusals in %d hours", refused, hours)
			}
			if last < 10*c.wantWrites[0] || last > 10*c.wantWrites[1] {
				t.Errorf("%d writes in the last 10 s", last)
			}
		})
	}
}

// Nodes that share the rate, some of which have noticed that it fell: each notices, and
// each goes on getting its most urgent writes through.
func TestBudgetsShareALoweredRate(t *testing.T) {
	for _, c := range []struct {
		name    string
		nodes   int
		noticed int // of them, at the beginning
	}{
		{"nobody has noticed", 3, 0}, {"one has noticed", 3, 1}, {"all but one have noticed", 3, 2}, {"seven nodes, half of them", 7, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := config.StateLimits{RPS: 1000, WriteRPS: 20, Next: config.UpcomingLimits{"write_rps": 10.0}}
			now := time.Unix(100, 0)
			start := now
			var budgets []*RateLimiter
			for i := range c.nodes {
				b := NewRateLimiter(limits, c.nodes)
				if i < c.noticed {
					b.setLevel(now, limitsLowered)
				}
				budgets = append(budgets, b)
			}
			write := func(class Priority) Call {
				return Call{Op: OpTransaction, Priority: class, Transaction: wire.Transaction{Writes: []wire.Write{Delete("a")}}}
			}
			rng := rand.New(rand.NewPCG(1, 1))
			service := 10.0
			longest := make([]time.Duration, c.nodes) // between two users' writes
			lastUser := make([]time.Time, c.nodes)
			for i := range lastUser {
				lastUser[i] = now
			}
			for now.Sub(start) < 60*time.Second {
				now = now.Add(20 * time.Millisecond)
				service = min(10, service+0.2)
				for _, i := range rng.Perm(c.nodes) {
					b := budgets[i]
					// all have more of each class than may be written
					for _, class := range []Priority{PriorityUser, PriorityCompletion} {
						if _, ok := b.Take(now, write(class)); !ok {
							continue
						}
						if service < 1 {
							b.Observe(now, write(class), http.StatusTooManyRequests)
							continue
						}
						service--
						b.Observe(now, write(class), http.StatusOK)
						if class == PriorityUser {
							longest[i] = max(longest[i], now.Sub(lastUser[i]))
							lastUser[i] = now
						}
					}
				}
			}
			for i, b := range budgets {
				if b.level != limitsLowered {
					t.Errorf("node %d has not noticed: %v", i, b.level)
				}
				// all nodes ask for several times the rate all the time
				if longest[i] > 10*time.Second || now.Sub(lastUser[i]) > 10*time.Second {
					t.Errorf("node %d waited %v for a user's write", i, longest[i])
				}
			}
		})
	}
}

// A node whose writes wait while the others leave theirs uses more than its part, and no
// more than that once the service refuses something.
func TestBudgetGrows(t *testing.T) {
	write := Call{Op: OpTransaction, Priority: PriorityJobEnd, Transaction: wire.Transaction{Writes: []wire.Write{Delete("a")}}}
	for _, c := range []struct {
		name       string
		wanted     int // writes a second
		refused    bool
		least      int // written in the last ten seconds
		most       int
		finalShare float64
	}{
		{"more than its part is wanted, and there is room", 30, false, 180, 201, 1},
		{"less than its part is wanted", 5, false, 49, 51, tuning.StoreRateShare},
		{"the others use theirs: refusals", 30, true, 0, 125, tuning.StoreRateShare},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewRateLimiter(config.StateLimits{RPS: 1000, WriteRPS: 20}, 3)
			now := time.Unix(100, 0)
			written, owed := 0, 0.0
			const seconds = 60
			for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
				owed = min(owed+float64(c.wanted)/100, 50)
				for owed >= 1 {
					if _, ok := b.Take(now, write); !ok {
						break
					}
					owed--
					if c.refused && now.Nanosecond() == 0 {
						b.Observe(now, write, http.StatusTooManyRequests)
					}
					if end.Sub(now) <= 10*time.Second {
						written++
					}
				}
				if c.refused && now.Nanosecond() < 1e7 {
					b.Observe(now, write, http.StatusTooManyRequests)
				}
			}
			if written < c.least || written > c.most || b.share != c.finalShare {
				t.Errorf("%d writes in the last 10 s, share %g", written, b.share)
			}
		})
	}
}
