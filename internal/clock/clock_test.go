package clock

import (
	"errors"
	"testing"
	"time"
)

// The clock goes forward by what the machine was suspended, once somebody looks, and never
// back.
func TestSuspended(t *testing.T) {
	const slack = 2 * time.Second // of this test's own time
	for _, c := range []struct {
		name  string
		total []time.Duration // as told at the start and at each look
		want  time.Duration   // by which the clock is ahead in the end
	}{
		{"not suspended", []time.Duration{time.Hour, time.Hour}, 0},
		{"suspended once", []time.Duration{time.Hour, time.Hour + 20*time.Second}, 20 * time.Second},
		{"suspended twice", []time.Duration{0, 20 * time.Second, 50 * time.Second}, 50 * time.Second},
		{"two clocks read one after the other", []time.Duration{0, 30 * time.Millisecond}, 0},
		{"told less than before", []time.Duration{0, 20 * time.Second, 5 * time.Second}, 20 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			looks := 0
			k := New(func() (time.Duration, error) {
				total := c.total[min(looks, len(c.total)-1)]
				looks++
				return total, nil
			})
			began := time.Now()
			last := k.Now()
			for range c.total[1:] {
				now := k.Advance()
				if now.Before(last) {
					t.Fatalf("went back by %v", last.Sub(now))
				}
				last = now
			}
			if ahead := last.Sub(began); ahead < c.want || ahead > c.want+slack {
				t.Errorf("ahead by %v, want %v", ahead, c.want)
			}
		})
	}
}

// Where the system does not tell, the clock is the monotonic one.
func TestNotTold(t *testing.T) {
	looks := 0
	k := New(func() (time.Duration, error) { looks++; return time.Hour, errors.New("not here") })
	if now := k.Advance(); time.Until(now) > time.Second || looks != 1 {
		t.Errorf("ahead by %v after %d looks", time.Until(now), looks)
	}
}

// Two readings of this system's own clocks differ by next to nothing.
func TestSystem(t *testing.T) {
	first, err := TimeSuspended()
	if err != nil {
		t.Fatal(err)
	}
	second, err := TimeSuspended()
	if err != nil || second-first > time.Second || first-second > time.Second {
		t.Errorf("%v, then %v, %v", first, second, err)
	}
}
