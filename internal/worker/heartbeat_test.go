package worker

import (
	"testing"
	"time"

	"juniperchute/internal/wire"
)

func TestApplyHeartbeat(t *testing.T) {
	type heartbeat struct {
		incarnation, sequence uint64
		want                  HeartbeatResult
	}
	for _, test := range []struct {
		name       string
		heartbeats []heartbeat
	}{
		{
			name:       "in order",
			heartbeats: []heartbeat{{1, 1, HeartbeatCurrent}, {1, 2, HeartbeatCurrent}, {1, 5, HeartbeatCurrent}},
		},
		{
			name:       "repeated",
			heartbeats: []heartbeat{{1, 3, HeartbeatCurrent}, {1, 3, HeartbeatStale}},
		},
		{
			name:       "held back by a partition",
			heartbeats: []heartbeat{{1, 7, HeartbeatCurrent}, {1, 4, HeartbeatStale}, {1, 8, HeartbeatCurrent}},
		},
		{
			name: "a new incarnation",
			heartbeats: []heartbeat{{1, 7, HeartbeatCurrent}, {2, 8, HeartbeatNewIncarnation},
				{2, 9, HeartbeatCurrent}},
		},
		{
			name:       "from an earlier incarnation",
			heartbeats: []heartbeat{{2, 9, HeartbeatCurrent}, {1, 100, HeartbeatStale}},
		},
		{
			name:       "first contact in a late incarnation",
			heartbeats: []heartbeat{{4, 90, HeartbeatCurrent}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			machine := registry.Add(time.Unix(0, 0), "i-1", Booting)
			for i, sent := range test.heartbeats {
				status := &wire.Heartbeat{Host: "i-1", Incarnation: sent.incarnation, Sequence: sent.sequence}
				got := registry.ApplyHeartbeat(time.Unix(int64(i), 0), machine, status, FromHeartbeat)
				if got != sent.want {
					t.Errorf("heartbeat %d: %v, want %v", i, got, sent.want)
				}
			}
		})
	}
}

// Which statuses prove that a reply or a command has reached the worker since the one before.
func TestReplyConfirmed(t *testing.T) {
	type status struct {
		at                    float64 // seconds
		incarnation, sequence uint64
		source                StatusSource
		want                  bool
	}
	first := status{at: 0, incarnation: 1, sequence: 1, source: FromHeartbeat, want: true}
	for _, test := range []struct {
		name     string
		statuses []status
	}{
		{
			name:     "consecutive",
			statuses: []status{first, {4.8, 1, 2, FromHeartbeat, true}},
		},
		{
			name:     "once it tried other controllers in between",
			statuses: []status{first, {15, 1, 4, FromHeartbeat, true}},
		},
		{
			name:     "it tries other controllers again and again",
			statuses: []status{first, {15, 1, 4, FromHeartbeat, true}, {30, 1, 7, FromHeartbeat, false}},
		},
		{
			name: "and stays from then on",
			statuses: []status{first, {15, 1, 4, FromHeartbeat, true}, {30, 1, 7, FromHeartbeat, false},
				{34, 1, 8, FromHeartbeat, true}},
		},
		{
			name:     "asked by others in between, but soon again",
			statuses: []status{first, {1.5, 1, 4, FromHeartbeat, true}},
		},
		{
			name:     "its incarnation rises, as nothing renews its lease",
			statuses: []status{first, {15, 2, 4, FromHeartbeat, false}, {30, 3, 7, FromHeartbeat, false}},
		},
		{
			name:     "a command is answered",
			statuses: []status{first, {15, 2, 4, FromHeartbeat, false}, {16, 2, 9, FromCommandReply, true}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			machine := registry.Add(time.Unix(0, 0), "i-1", Booting)
			for i, sent := range test.statuses {
				status := &wire.Heartbeat{Host: "i-1", Incarnation: sent.incarnation, Sequence: sent.sequence}
				registry.ApplyHeartbeat(time.Unix(0, int64(sent.at*1e9)), machine, status, sent.source)
				if machine.ReplyConfirmed != sent.want {
					t.Errorf("status %d: confirmed %t, want %t", i, machine.ReplyConfirmed, sent.want)
				}
			}
		})
	}
}

// An incarnation's lease may have started as late as its first status: a reply to an earlier
// incarnation, or to an old copy of a heartbeat, does not tell when it ends.
func TestLeaseOfNewIncarnation(t *testing.T) {
	for _, test := range []struct {
		name         string
		incarnations []uint64 // of statuses a second apart
		want         float64  // second from which the lease runs
	}{
		{name: "never answered", incarnations: []uint64{1}, want: 0},
		{name: "the same incarnation goes on", incarnations: []uint64{1, 1, 1}, want: 0},
		{name: "a new one", incarnations: []uint64{1, 1, 2}, want: 2},
		{name: "and it goes on", incarnations: []uint64{1, 2, 2}, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			machine := registry.Add(time.Unix(0, 0), "i-1", Unreconciled)
			machine.LeaseRenewedAt = time.Unix(-5, 0) // by an old copy of a heartbeat
			for i, incarnation := range test.incarnations {
				status := &wire.Heartbeat{Host: "i-1", Incarnation: incarnation, Sequence: uint64(i + 1)}
				registry.ApplyHeartbeat(time.Unix(int64(i), 0), machine, status, FromCommandReply)
			}
			if got := machine.LeaseRenewedAt.Sub(time.Unix(0, 0)).Seconds(); got != test.want {
				t.Errorf("runs from second %v, want %v", got, test.want)
			}
		})
	}
}
