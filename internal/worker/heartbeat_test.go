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
			name:       "duplicate",
			heartbeats: []heartbeat{{1, 3, HeartbeatCurrent}, {1, 3, HeartbeatStale}},
		},
		{
			name:       "delayed by a partition",
			heartbeats: []heartbeat{{1, 7, HeartbeatCurrent}, {1, 4, HeartbeatStale}, {1, 8, HeartbeatCurrent}},
		},
		{
			name: "new incarnation",
			heartbeats: []heartbeat{{1, 7, HeartbeatCurrent}, {2, 8, HeartbeatNewIncarnation},
				{2, 9, HeartbeatCurrent}},
		},
		{
			name:       "delayed from an earlier incarnation",
			heartbeats: []heartbeat{{2, 9, HeartbeatCurrent}, {1, 100, HeartbeatStale}},
		},
		{
			name:       "first contact in a later incarnation",
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

// A worker that sends heartbeats but receives no replies must not count as reachable.
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
			name:     "consecutive heartbeats",
			statuses: []status{first, {4.8, 1, 2, FromHeartbeat, true}},
		},
		{
			name:     "one gap in the sequence numbers",
			statuses: []status{first, {15, 1, 4, FromHeartbeat, true}},
		},
		{
			name:     "repeated gaps in the sequence numbers",
			statuses: []status{first, {15, 1, 4, FromHeartbeat, true}, {30, 1, 7, FromHeartbeat, false}},
		},
		{
			name: "consecutive heartbeats after repeated gaps",
			statuses: []status{first, {15, 1, 4, FromHeartbeat, true}, {30, 1, 7, FromHeartbeat, false},
				{34, 1, 8, FromHeartbeat, true}},
		},
		{
			name:     "gap within the reply timeout",
			statuses: []status{first, {1.5, 1, 4, FromHeartbeat, true}},
		},
		{
			name:     "new incarnation in each heartbeat because no reply renews the lease",
			statuses: []status{first, {15, 2, 4, FromHeartbeat, false}, {30, 3, 7, FromHeartbeat, false}},
		},
		{
			name:     "reply to a direct command",
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

// The lease of a new incarnation must count from its first status. A renewal of an earlier incarnation, or
// a reply to a delayed copy of a heartbeat, would make it expire too early.
func TestLeaseOfNewIncarnation(t *testing.T) {
	for _, test := range []struct {
		name         string
		incarnations []uint64 // of statuses a second apart
		want         float64  // LeaseRenewedAt in seconds
	}{
		{name: "first status", incarnations: []uint64{1}, want: 0},
		{name: "later statuses of the same incarnation", incarnations: []uint64{1, 1, 1}, want: 0},
		{name: "first status of a new incarnation", incarnations: []uint64{1, 1, 2}, want: 2},
		{name: "later statuses of a new incarnation", incarnations: []uint64{1, 2, 2}, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			machine := registry.Add(time.Unix(0, 0), "i-1", Unreconciled)
			machine.LeaseRenewedAt = time.Unix(-5, 0) // by a delayed copy of a heartbeat
			for i, incarnation := range test.incarnations {
				status := &wire.Heartbeat{Host: "i-1", Incarnation: incarnation, Sequence: uint64(i + 1)}
				registry.ApplyHeartbeat(time.Unix(int64(i), 0), machine, status, FromCommandReply)
			}
			if got := machine.LeaseRenewedAt.Sub(time.Unix(0, 0)).Seconds(); got != test.want {
				t.Errorf("lease renewed at second %v, want %v", got, test.want)
			}
		})
	}
}
