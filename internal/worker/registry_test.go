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

// neverRenewed marks a lease that this term has not renewed.
const neverRenewed = -1

type leaseExpiryTest struct {
	name         string
	state        State
	renewedAfter time.Duration // time of the lease renewal since start, or neverRenewed
	after        time.Duration // time of the check since start
	want         State
}

var leaseExpiryTests = []leaseExpiryTest{
	{
		name:  "last contact within the heartbeat timeout",
		state: Up, after: time.Second,
		want: Up,
	},
	{
		name:  "last contact past the heartbeat timeout",
		state: Up, after: 4 * time.Second,
		want: Unresponsive,
	},
	{
		name:  "unresponsive before lease expiry",
		state: Unresponsive, after: 10 * time.Second,
		want: Unresponsive,
	},
	{
		name:  "unresponsive after lease expiry",
		state: Unresponsive, after: 10*time.Second + 400*time.Millisecond,
		want: LeaseExpired,
	},
	{
		name:  "unresponsive with a later lease renewal",
		state: Unresponsive, renewedAfter: 5 * time.Second, after: 12 * time.Second,
		want: Unresponsive,
	},
	{
		name:  "unreconciled before the leases of earlier terms expire",
		state: Unreconciled, renewedAfter: neverRenewed, after: 29 * time.Second,
		want: Unreconciled,
	},
	{
		name:  "unreconciled after the leases of earlier terms have expired",
		state: Unreconciled, renewedAfter: neverRenewed, after: 31 * time.Second,
		want: LeaseExpired,
	},
	{
		name:  "unreconciled with a lease renewal in this term",
		state: Unreconciled, renewedAfter: 25 * time.Second, after: 31 * time.Second,
		want: Unreconciled,
	},
	{
		name:  "booting without a lease",
		state: Booting, renewedAfter: neverRenewed, after: time.Hour,
		want: Booting,
	},
}

// A worker's lease must not count as expired while it may still be valid by the worker's own clock, which
// may drift.
func TestExpireLeases(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range leaseExpiryTests {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			machine := registry.Add(start, "i-1", test.state)
			machine.LastContact = start
			if test.renewedAfter != neverRenewed {
				machine.LeaseRenewedAt = start.Add(test.renewedAfter)
			}
			registry.ExpireLeases(start.Add(test.after), start.Add(30*time.Second))
			if machine.State != test.want {
				t.Errorf("%v, want %v", machine.State, test.want)
			}
		})
	}
}

// A lease holder with a backlog of heartbeats must not consider machines unresponsive whose heartbeats may
// be queued. An overloaded process would mark all machines unresponsive at once and stop scheduling.
func TestHeartbeatDelayExtendsTimeout(t *testing.T) {
	timeout := newTestRegistry().heartbeatTimeout
	for _, test := range []struct {
		name  string
		after time.Duration
		delay time.Duration
		want  State
	}{
		{
			name:  "last contact within the timeout",
			after: timeout - time.Millisecond,
			want:  Up,
		},
		{
			name:  "last contact past the timeout",
			after: timeout + time.Millisecond,
			want:  Unresponsive,
		},
		{
			name:  "last contact past the timeout, heartbeats delayed",
			after: timeout + time.Millisecond, delay: time.Second,
			want: Up,
		},
		{
			name:  "last contact past the timeout and the delay",
			after: timeout + 1001*time.Millisecond, delay: time.Second,
			want: Unresponsive,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			machine := registry.Add(time.Unix(0, 0), "i-1", Booting)
			first := &wire.Heartbeat{Host: "i-1", Incarnation: 1, Sequence: 1}
			registry.ApplyHeartbeat(time.Unix(0, 0), machine, first, FromHeartbeat)
			registry.HeartbeatDelay = test.delay
			registry.ExpireLeases(time.Unix(0, 0).Add(test.after), time.Time{})
			if machine.State != test.want {
				t.Errorf("%v, want %v", machine.State, test.want)
			}
		})
	}
}
