package worker

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/wire"
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

func newTestRegistry() *Registry {
	return NewRegistry(config.Workers{HeartbeatS: 1.5, LeaseS: 10}, discardLogger)
}

func TestApplyHeartbeat(t *testing.T) {
	type msg struct {
		session, seq uint64
		want         HeartbeatResult
	}
	for _, test := range []struct {
		name string
		msgs []msg
	}{
		{"in order", []msg{{1, 1, HeartbeatCurrent}, {1, 2, HeartbeatCurrent}, {1, 5, HeartbeatCurrent}}},
		{"a repeat", []msg{{1, 3, HeartbeatCurrent}, {1, 3, HeartbeatStale}}},
		{"held back by a cut", []msg{{1, 7, HeartbeatCurrent}, {1, 4, HeartbeatStale}, {1, 8, HeartbeatCurrent}}},
		{"a new session", []msg{{1, 7, HeartbeatCurrent}, {2, 8, HeartbeatNewIncarnation}, {2, 9, HeartbeatCurrent}}},
		{"from an earlier session", []msg{{2, 9, HeartbeatCurrent}, {1, 100, HeartbeatStale}}},
		{"first heard in a late session", []msg{{4, 90, HeartbeatCurrent}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			machine := registry.Add(time.Unix(0, 0), "i-1", Booting)
			for i, message := range test.msgs {
				status := &wire.Heartbeat{Host: "i-1", Incarnation: message.session, Sequence: message.seq}
				if got := registry.ApplyHeartbeat(time.Unix(int64(i), 0), machine, status, true); got != message.want {
					t.Errorf("message %d: %v, want %v", i, got, message.want)
				}
			}
		})
	}
}

// Which reports prove that an answer or a command has reached the worker since
// the one before.
func TestReplyConfirmed(t *testing.T) {
	type msg struct {
		at           float64
		session, seq uint64
		do           bool
		want         bool
	}
	for _, test := range []struct {
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
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			machine := registry.Add(time.Unix(0, 0), "i-1", Booting)
			for i, message := range test.msgs {
				registry.ApplyHeartbeat(time.Unix(0, int64(message.at*1e9)), machine, &wire.Heartbeat{Host: "i-1", Incarnation: message.session, Sequence: message.seq}, !message.do)
				if machine.ReplyConfirmed != message.want {
					t.Errorf("message %d: proven %t, want %t", i, machine.ReplyConfirmed, message.want)
				}
			}
		})
	}
}

// What a machine that stops reporting goes through, and when its lease is
// surely over: not before the worker's own clock says so, however it drifts.
func TestExpireLeases(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name     string
		state    State
		answered time.Duration // after start; negative: never
		at       time.Duration
		want     State
	}{
		{"reports", Up, 0, time.Second, Up},
		{"misses two", Up, 0, 4 * time.Second, Unresponsive},
		{"silent within its lease", Unresponsive, 0, 10 * time.Second, Unresponsive},
		{"silent past its lease", Unresponsive, 0, 10*time.Second + 400*time.Millisecond, LeaseExpired},
		{"answered later", Unresponsive, 5 * time.Second, 12 * time.Second, Unresponsive},
		{"unheard within the bound", Unreconciled, -1, 29 * time.Second, Unreconciled},
		{"unheard past the bound", Unreconciled, -1, 31 * time.Second, LeaseExpired},
		{"unheard but renewed by us", Unreconciled, 25 * time.Second, 31 * time.Second, Unreconciled},
		{"booting has no lease to lose", Booting, -1, time.Hour, Booting},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			machine := registry.Add(start, "i-1", test.state)
			machine.LastContact = start
			if test.answered >= 0 {
				machine.LeaseRenewedAt = start.Add(test.answered)
			}
			registry.ExpireLeases(start.Add(test.at), start.Add(30*time.Second))
			if machine.State != test.want {
				t.Errorf("%v, want %v", machine.State, test.want)
			}
		})
	}
}

// A holder that is behind with its reports does not take the machines for silent
// whose reports wait for their turn: short of processor time, it took all of them for
// silent at once, and stopped giving them work.
func TestHeartbeatDelay(t *testing.T) {
	timeout := newTestRegistry().heartbeatTimeout()
	for _, test := range []struct {
		name   string
		after  time.Duration
		behind time.Duration
		want   State
	}{
		{"reports in time", timeout - time.Millisecond, 0, Up},
		{"stopped reporting", timeout + time.Millisecond, 0, Unresponsive},
		{"its report may be waiting here", timeout + time.Millisecond, time.Second, Up},
		{"silent for longer than that", timeout + 1001*time.Millisecond, time.Second, Unresponsive},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			machine := registry.Add(time.Unix(0, 0), "i-1", Booting)
			registry.ApplyHeartbeat(time.Unix(0, 0), machine, &wire.Heartbeat{Host: "i-1", Incarnation: 1, Sequence: 1}, true)
			registry.HeartbeatDelay = test.behind
			registry.ExpireLeases(time.Unix(0, 0).Add(test.after), time.Time{})
			if machine.State != test.want {
				t.Errorf("%v, want %v", machine.State, test.want)
			}
		})
	}
}

// A session's lease may have begun as late as its first word: what was answered before, to
// an earlier session or to an old copy of a report, does not tell when it ends.
func TestLeaseOfNewIncarnation(t *testing.T) {
	for _, test := range []struct {
		name     string
		sessions []uint64 // of words, a second apart
		want     float64  // from when its lease counts
	}{
		{"never answered", []uint64{1}, 0},
		{"the same session goes on", []uint64{1, 1, 1}, 0},
		{"a new one", []uint64{1, 1, 2}, 2},
		{"and it goes on", []uint64{1, 2, 2}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			machine := registry.Add(time.Unix(0, 0), "i-1", Unreconciled)
			machine.LeaseRenewedAt = time.Unix(-5, 0) // an old copy
			for i, incarnation := range test.sessions {
				registry.ApplyHeartbeat(time.Unix(int64(i), 0), machine, &wire.Heartbeat{Host: "i-1", Incarnation: incarnation, Sequence: uint64(i + 1)}, false)
			}
			if got := machine.LeaseRenewedAt.Sub(time.Unix(0, 0)).Seconds(); got != test.want {
				t.Errorf("counts from %v s, want %v", got, test.want)
			}
		})
	}
}
