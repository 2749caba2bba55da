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

// neverRenewed stands for a lease that this term has not renewed.
const neverRenewed = -1

type leaseExpiryTest struct {
	name         string
	state        State
	renewedAfter time.Duration // since start, or neverRenewed
	after        time.Duration // since start
	want         State
}

var leaseExpiryTests = []leaseExpiryTest{
	{
		name:  "heartbeats arrive",
		state: Up, after: time.Second,
		want: Up,
	},
	{
		name:  "two heartbeats missed",
		state: Up, after: 4 * time.Second,
		want: Unresponsive,
	},
	{
		name:  "unresponsive within its lease",
		state: Unresponsive, after: 10 * time.Second,
		want: Unresponsive,
	},
	{
		name:  "unresponsive past its lease",
		state: Unresponsive, after: 10*time.Second + 400*time.Millisecond,
		want: LeaseExpired,
	},
	{
		name:  "lease renewed later",
		state: Unresponsive, renewedAfter: 5 * time.Second, after: 12 * time.Second,
		want: Unresponsive,
	},
	{
		name:  "unreconciled before the deadline",
		state: Unreconciled, renewedAfter: neverRenewed, after: 29 * time.Second,
		want: Unreconciled,
	},
	{
		name:  "unreconciled past the deadline",
		state: Unreconciled, renewedAfter: neverRenewed, after: 31 * time.Second,
		want: LeaseExpired,
	},
	{
		name:  "unreconciled but renewed in this term",
		state: Unreconciled, renewedAfter: 25 * time.Second, after: 31 * time.Second,
		want: Unreconciled,
	},
	{
		name:  "a booting machine has no lease to lose",
		state: Booting, renewedAfter: neverRenewed, after: time.Hour,
		want: Booting,
	},
}

// A machine whose heartbeats stop goes through its states; its lease has not expired before
// the worker's own clock says so, however that drifts.
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

// A lease holder that is behind with heartbeats does not take the machines for unresponsive
// whose heartbeats wait for their turn: short of processor time, it took all of them for
// unresponsive at once, and stopped giving them work.
func TestHeartbeatDelay(t *testing.T) {
	timeout := newTestRegistry().heartbeatTimeout
	for _, test := range []struct {
		name  string
		after time.Duration
		delay time.Duration
		want  State
	}{
		{
			name:  "heartbeats in time",
			after: timeout - time.Millisecond,
			want:  Up,
		},
		{
			name:  "heartbeats stopped",
			after: timeout + time.Millisecond,
			want:  Unresponsive,
		},
		{
			name:  "its heartbeat may be waiting here",
			after: timeout + time.Millisecond, delay: time.Second,
			want: Up,
		},
		{
			name:  "no heartbeat for longer than the delay",
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
