package clock

import (
	"errors"
	"testing"
	"time"
)

// The clock goes forward by what the machine was suspended, at the next Advance, and never back.
func TestAdvance(t *testing.T) {
	const slack = 2 * time.Second // of this test's own time
	for _, c := range []struct {
		name      string
		suspended []time.Duration // in all, at the start and at each Advance
		want      time.Duration   // by which the clock is ahead in the end
	}{
		{
			name:      "not suspended",
			suspended: []time.Duration{time.Hour, time.Hour},
			want:      0,
		},
		{
			name:      "suspended once",
			suspended: []time.Duration{time.Hour, time.Hour + 20*time.Second},
			want:      20 * time.Second,
		},
		{
			name:      "suspended twice",
			suspended: []time.Duration{0, 20 * time.Second, 50 * time.Second},
			want:      50 * time.Second,
		},
		{
			name:      "two clocks read one after the other",
			suspended: []time.Duration{0, 30 * time.Millisecond},
			want:      0,
		},
		{
			name:      "less than before",
			suspended: []time.Duration{0, 20 * time.Second, 5 * time.Second},
			want:      20 * time.Second,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			reads := 0
			clock := New(func() (time.Duration, error) {
				total := c.suspended[min(reads, len(c.suspended)-1)]
				reads++
				return total, nil
			})
			start := time.Now()
			last := clock.Now()
			for range c.suspended[1:] {
				now := clock.Advance()
				if now.Before(last) {
					t.Fatalf("went back by %v", last.Sub(now))
				}
				last = now
			}
			if ahead := last.Sub(start); ahead < c.want || ahead > c.want+slack {
				t.Errorf("ahead by %v, want %v", ahead, c.want)
			}
		})
	}
}

// Where the system does not count suspension, the clock is the monotonic one.
func TestSuspensionUnknown(t *testing.T) {
	reads := 0
	clock := New(func() (time.Duration, error) {
		reads++
		return time.Hour, errors.New("not counted")
	})
	if now := clock.Advance(); time.Until(now) > time.Second || reads != 1 {
		t.Errorf("ahead by %v after %d reads", time.Until(now), reads)
	}
}

// Two readings of this system's own clocks differ by next to nothing.
func TestTimeSuspended(t *testing.T) {
	first, err := TimeSuspended()
	if err != nil {
		t.Fatal(err)
	}
	second, err := TimeSuspended()
	if err != nil || second-first > time.Second || first-second > time.Second {
		t.Errorf("%v, then %v, %v", first, second, err)
	}
}
