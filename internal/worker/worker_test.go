package worker

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/wire"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func registry() *Registry {
	return NewRegistry(config.Workers{HeartbeatS: 1.5, LeaseS: 10}, quiet)
}

func TestAbsorb(t *testing.T) {
	type msg struct {
		session, seq uint64
		want         Verdict
	}
	for _, c := range []struct {
		name string
		msgs []msg
	}{
		{"in order", []msg{{1, 1, Fresh}, {1, 2, Fresh}, {1, 5, Fresh}}},
		{"a repeat", []msg{{1, 3, Fresh}, {1, 3, Stale}}},
		{"held back by a cut", []msg{{1, 7, Fresh}, {1, 4, Stale}, {1, 8, Fresh}}},
		{"a new session", []msg{{1, 7, Fresh}, {2, 8, Renewed}, {2, 9, Fresh}}},
		{"from an earlier session", []msg{{2, 9, Fresh}, {1, 100, Stale}}},
		{"first heard in a late session", []msg{{4, 90, Fresh}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := registry()
			m := r.Add(time.Unix(0, 0), "i-1", Booting)
			for i, s := range c.msgs {
				rep := &wire.Heartbeat{Host: "i-1", Incarnation: s.session, Sequence: s.seq}
				if got := r.Absorb(time.Unix(int64(i), 0), m, rep, true); got != s.want {
					t.Errorf("message %d: %v, want %v", i, got, s.want)
				}
			}
		})
	}
}

// Which reports prove that an answer or a command has reached the worker since
// the one before.
func TestProven(t *testing.T) {
	type msg struct {
		at           float64
		session, seq uint64
		do           bool
		want         bool
	}
	for _, c := range []struct {
		name string
		msgs []msg
	}{
		{"one after the other", []msg{{0, 1, 1, false, true}, {4.8, 1, 2, false, true}}},
		{"once it went to other nodes in between", []msg{{0, 1, 1, false, true}, {15, 1, 4, false, true}}},
		{"it goes to other nodes again and again", []msg{{0, 1, 1, false, true}, {15, 1, 4, false, true}, {30, 1, 7, false, false}}},
		{"and stays from then on", []msg{{0, 1, 1, false, true}, {15, 1, 4, false, true}, {30, 1, 7, false, false}, {34, 1, 8, false, true}}},
		{"asked by others in between, but soon again", []msg{{0, 1, 1, false, true}, {1.5, 1, 4, false, true}}},
		{"its session rises, as nothing renews it", []msg{{0, 1, 1, false, true}, {15, 2, 4, false, false}, {30, 3, 7, false, false}}},
		{"a command is answered", []msg{{0, 1, 1, false, true}, {15, 2, 4, false, false}, {16, 2, 9, true, true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := registry()
			m := r.Add(time.Unix(0, 0), "i-1", Booting)
			for i, s := range c.msgs {
				r.Absorb(time.Unix(0, int64(s.at*1e9)), m, &wire.Heartbeat{Host: "i-1", Incarnation: s.session, Sequence: s.seq}, !s.do)
				if m.Proven != s.want {
					t.Errorf("message %d: proven %t, want %t", i, m.Proven, s.want)
				}
			}
		})
	}
}

// What a machine that stops reporting goes through, and when its lease is
// surely over: not before the worker's own clock says so, however it drifts.
func TestQuiet(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name     string
		state    State
		answered time.Duration // after start; negative: never
		at       time.Duration
		want     State
	}{
		{"reports", Up, 0, time.Second, Up},
		{"misses two", Up, 0, 4 * time.Second, Silent},
		{"silent within its lease", Silent, 0, 10 * time.Second, Silent},
		{"silent past its lease", Silent, 0, 10*time.Second + 400*time.Millisecond, Lapsed},
		{"answered later", Silent, 5 * time.Second, 12 * time.Second, Silent},
		{"unheard within the bound", Unheard, -1, 29 * time.Second, Unheard},
		{"unheard past the bound", Unheard, -1, 31 * time.Second, Lapsed},
		{"unheard but renewed by us", Unheard, 25 * time.Second, 31 * time.Second, Unheard},
		{"booting has no lease to lose", Booting, -1, time.Hour, Booting},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := registry()
			m := r.Add(start, "i-1", c.state)
			m.Heard = start
			if c.answered >= 0 {
				m.Answered = start.Add(c.answered)
			}
			r.Quiet(start.Add(c.at), start.Add(30*time.Second))
			if m.State != c.want {
				t.Errorf("%v, want %v", m.State, c.want)
			}
		})
	}
}

// A holder that is behind with its reports does not take the machines for silent
// whose reports wait for their turn: short of processor time, it took all of them for
// silent at once, and stopped giving them work.
func TestBehind(t *testing.T) {
	silence := registry().silence()
	for _, c := range []struct {
		name   string
		after  time.Duration
		behind time.Duration
		want   State
	}{
		{"reports in time", silence - time.Millisecond, 0, Up},
		{"stopped reporting", silence + time.Millisecond, 0, Silent},
		{"its report may be waiting here", silence + time.Millisecond, time.Second, Up},
		{"silent for longer than that", silence + 1001*time.Millisecond, time.Second, Silent},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := registry()
			m := r.Add(time.Unix(0, 0), "i-1", Booting)
			r.Absorb(time.Unix(0, 0), m, &wire.Heartbeat{Host: "i-1", Incarnation: 1, Sequence: 1}, true)
			r.Behind = c.behind
			r.Quiet(time.Unix(0, 0).Add(c.after), time.Time{})
			if m.State != c.want {
				t.Errorf("%v, want %v", m.State, c.want)
			}
		})
	}
}

// A session's lease may have begun as late as its first word: what was answered before, to
// an earlier session or to an old copy of a report, does not tell when it ends.
func TestLeaseOfANewSession(t *testing.T) {
	for _, c := range []struct {
		name     string
		sessions []uint64 // of words, a second apart
		want     float64  // from when its lease counts
	}{
		{"never answered", []uint64{1}, 0},
		{"the same session goes on", []uint64{1, 1, 1}, 0},
		{"a new one", []uint64{1, 1, 2}, 2},
		{"and it goes on", []uint64{1, 2, 2}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := registry()
			m := r.Add(time.Unix(0, 0), "i-1", Unheard)
			m.Answered = time.Unix(-5, 0) // an old copy
			for i, s := range c.sessions {
				r.Absorb(time.Unix(int64(i), 0), m, &wire.Heartbeat{Host: "i-1", Incarnation: s, Sequence: uint64(i + 1)}, false)
			}
			if got := m.Answered.Sub(time.Unix(0, 0)).Seconds(); got != c.want {
				t.Errorf("counts from %v s, want %v", got, c.want)
			}
		})
	}
}
