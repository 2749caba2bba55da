package clock

import (
	"errors"
	"testing"
	"time"
)

// Guards against a clock that misses a suspension or goes back.
func TestAdvance(t *testing.T) {
	const slack = 2 * time.Second // for the run time of the test
	for _, c := range []struct {
		name      string
		suspended []time.Duration // total at the start and at each Advance
		want      time.Duration   // final lead of the clock
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
			name:      "difference below MinSuspension",
			suspended: []time.Duration{0, 30 * time.Millisecond},
			want:      0,
		},
		{
			name:      "total decreases",
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
					t.Fatalf("clock went back by %v", last.Sub(now))
				}
				last = now
			}
			if ahead := last.Sub(start); ahead < c.want || ahead > c.want+slack {
				t.Errorf("clock ahead by %v, want %v", ahead, c.want)
			}
		})
	}
}

// Guards against a clock that jumps or retries where the system does not report suspensions.
func TestSuspensionUnsupported(t *testing.T) {
	reads := 0
	clock := New(func() (time.Duration, error) {
		reads++
		return time.Hour, errors.New("unsupported")
	})
	if now := clock.Advance(); time.Until(now) > time.Second || reads != 1 {
		t.Errorf("clock ahead by %v after %d reads", time.Until(now), reads)
	}
}

// Guards against clocks of the system that drift apart without a suspension.
func TestTimeSuspended(t *testing.T) {
	first, err := SuspendedSinceBoot()
	if err != nil {
		t.Fatal(err)
	}
	second, err := SuspendedSinceBoot()
	if err != nil || second-first > time.Second || first-second > time.Second {
		t.Errorf("got %v, then %v, error %v", first, second, err)
	}
}
