package leader

import (
	"testing"
	"time"
)

// The horizon moves on by own reads and by what all peers vouch for, each for its own
// process only. Seconds on the holder's clock.
func TestHorizon(t *testing.T) {
	type vouched struct {
		peer        string
		process     uint64
		born, until float64
	}
	for _, c := range []struct {
		name    string
		peers   []string
		read    float64
		vouched []vouched
		want    float64
	}{
		{"own reads alone", []string{"a", "b"}, 10, nil, 10},
		{"nothing read yet: nothing is known, whatever peers say", []string{"a"}, 0, []vouched{{"a", 1, 0, 20}}, 0},
		{"no peers: whatever is told is told here", nil, 10, nil, 100},
		{"all vouch: as far as the one that vouched first", []string{"a", "b"}, 10, []vouched{{"a", 1, 0, 30}, {"b", 2, 0, 20}}, 20},
		{"one is silent", []string{"a", "b"}, 10, []vouched{{"a", 1, 0, 30}}, 10},
		{"one is new since", []string{"a", "b"}, 10, []vouched{{"a", 1, 0, 30}, {"b", 2, 11, 20}}, 10},
		{"one was restarted before", []string{"a", "b"}, 10, []vouched{{"a", 1, 0, 30}, {"b", 2, 9, 20}}, 20},
		{"one ended and came back in the outage: it cannot speak for the process before it", []string{"a", "b"}, 10,
			[]vouched{{"a", 1, 0, 15}, {"b", 2, 0, 14}, {"a", 1, 0, 40}, {"b", 3, 20, 40}}, 10},
		{"an older word after a newer one", []string{"a"}, 10, []vouched{{"a", 1, 0, 30}, {"a", 1, 0, 20}}, 30},
		{"a late word of the process that was replaced", []string{"a"}, 10, []vouched{{"a", 2, 12, 30}, {"a", 1, 0, 11}}, 10},
		{"a peer that does not know of this", []string{"a"}, 10, []vouched{{"a", 0, 0, 30}}, 10},
		{"a stranger's word", []string{"a"}, 10, []vouched{{"x", 1, 0, 30}}, 10},
		{"vouched for before the last read only", []string{"a"}, 10, []vouched{{"a", 1, 0, 7}}, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			base := time.Unix(1000, 0)
			at := func(s float64) time.Time {
				if s == 0 {
					return time.Time{}
				}
				return base.Add(time.Duration(s * float64(time.Second)))
			}
			h := NewCancellationWatermark(c.peers)
			h.AdvanceTo(at(c.read))
			for _, v := range c.vouched {
				h.Acknowledge(v.peer, v.process, at(v.born), at(v.until))
			}
			if got := h.At(at(100)); !got.Equal(at(c.want)) {
				t.Errorf("horizon %v, want %v", got.Sub(base), at(c.want).Sub(base))
			}
		})
	}
}
