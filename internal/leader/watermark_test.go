package leader

import (
	"testing"
	"time"
)

// statement is what a peer acknowledges; times in seconds on the lease holder's clock.
type statement struct {
	peer             string
	process          uint64
	startedAt, until float64
}

var watermarkCases = []struct {
	name       string
	peers      []string
	read       float64 // everything written by then has been read; 0: nothing has
	statements []statement
	want       float64 // at 100 s
}{
	{
		name:  "own reads alone",
		peers: []string{"a", "b"},
		read:  10,
		want:  10,
	},
	{
		name:       "nothing read yet: nothing is known, whatever peers acknowledge",
		peers:      []string{"a"},
		statements: []statement{{peer: "a", process: 1, until: 20}},
		want:       0,
	},
	{
		name: "no peers: every cancellation is confirmed here",
		read: 10,
		want: 100,
	},
	{
		name:  "all acknowledge: as far as the earliest statement",
		peers: []string{"a", "b"},
		read:  10,
		statements: []statement{
			{peer: "a", process: 1, until: 30},
			{peer: "b", process: 2, until: 20},
		},
		want: 20,
	},
	{
		name:       "one peer acknowledges nothing",
		peers:      []string{"a", "b"},
		read:       10,
		statements: []statement{{peer: "a", process: 1, until: 30}},
		want:       10,
	},
	{
		name:  "one peer started after the watermark",
		peers: []string{"a", "b"},
		read:  10,
		statements: []statement{
			{peer: "a", process: 1, until: 30},
			{peer: "b", process: 2, startedAt: 11, until: 20},
		},
		want: 10,
	},
	{
		name:  "one peer started before the watermark",
		peers: []string{"a", "b"},
		read:  10,
		statements: []statement{
			{peer: "a", process: 1, until: 30},
			{peer: "b", process: 2, startedAt: 9, until: 20},
		},
		want: 20,
	},
	{
		name:  "one peer was restarted in the outage: it cannot speak for the process before it",
		peers: []string{"a", "b"},
		read:  10,
		statements: []statement{
			{peer: "a", process: 1, until: 15},
			{peer: "b", process: 2, until: 14},
			{peer: "a", process: 1, until: 40},
			{peer: "b", process: 3, startedAt: 20, until: 40},
		},
		want: 10,
	},
	{
		name:  "an older statement after a newer one",
		peers: []string{"a"},
		read:  10,
		statements: []statement{
			{peer: "a", process: 1, until: 30},
			{peer: "a", process: 1, until: 20},
		},
		want: 30,
	},
	{
		name:  "a late statement of the process that was replaced",
		peers: []string{"a"},
		read:  10,
		statements: []statement{
			{peer: "a", process: 2, startedAt: 12, until: 30},
			{peer: "a", process: 1, until: 11},
		},
		want: 10,
	},
	{
		name:       "a peer of a version that acknowledges nothing",
		peers:      []string{"a"},
		read:       10,
		statements: []statement{{peer: "a", process: 0, until: 30}},
		want:       10,
	},
	{
		name:       "a statement of no peer",
		peers:      []string{"a"},
		read:       10,
		statements: []statement{{peer: "x", process: 1, until: 30}},
		want:       10,
	},
	{
		name:       "a statement from before the last read only",
		peers:      []string{"a"},
		read:       10,
		statements: []statement{{peer: "a", process: 1, until: 7}},
		want:       10,
	},
}

// The watermark advances by own reads and by what all peers acknowledge, each for its own process
// only.
func TestCancellationWatermark(t *testing.T) {
	base := time.Unix(1000, 0)
	at := func(s float64) time.Time {
		if s == 0 {
			return time.Time{}
		}
		return base.Add(time.Duration(s * float64(time.Second)))
	}
	for _, c := range watermarkCases {
		t.Run(c.name, func(t *testing.T) {
			w := NewCancellationWatermark(c.peers)
			w.AdvanceTo(at(c.read))
			for _, s := range c.statements {
				w.Acknowledge(s.peer, s.process, at(s.startedAt), at(s.until))
			}
			if got := w.At(at(100)); !got.Equal(at(c.want)) {
				t.Errorf("watermark %v, want %v", got.Sub(base), at(c.want).Sub(base))
			}
		})
	}
}
