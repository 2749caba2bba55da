package leader

import (
	"encoding/json"
	"log/slog"
	"slices"
	"testing"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// harness drives a Membership and captures its calls to the state service.
type harness struct {
	membership *Membership
	now        time.Time
	calls      []store.Call
	replies    []func(time.Time, store.Result) // by call
}

func newHarness() *harness {
	h := &harness{now: time.Unix(1000, 0)}
	h.membership = New(Options{
		Member:    "n0",
		Shards:    1,
		WallClock: func() time.Time { return h.now },
		StateCall: func(call store.Call, reply func(time.Time, store.Result)) {
			h.calls, h.replies = append(h.calls, call), append(h.replies, reply)
		},
		Log:               slog.New(slog.DiscardHandler),
		OnUnhandledRecord: func(time.Time, string, wire.KeyValue, bool) {},
	})
	return h
}

// respond completes the oldest captured call of the given kind.
func (h *harness) respond(t *testing.T, op store.Op, r store.Result) {
	t.Helper()
	i := slices.IndexFunc(h.calls, func(call store.Call) bool { return call.Op == op })
	if i < 0 {
		t.Fatalf("no call of kind %d among %v", op, h.calls)
	}
	reply := h.replies[i]
	h.calls, h.replies = slices.Delete(h.calls, i, i+1), slices.Delete(h.replies, i, i+1)
	r.SentAt = h.now
	reply(h.now, r)
}

func keyValue(key string, v any, version uint64) wire.KeyValue {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return wire.KeyValue{Key: key, Value: raw, Version: version}
}

// join makes n0 a member, with incarnation 7, while the state service already holds items.
func (h *harness) join(t *testing.T, items ...wire.KeyValue) {
	t.Helper()
	h.membership.Tick(h.now)
	h.respond(t, store.OpList, store.Result{Revision: 50, KeyValues: items})
	h.respond(t, store.OpGrantLease, store.Result{Lease: 7})
	h.respond(t, store.OpTransaction, store.Result{Revision: 60})
	own := keyValue("c/m/n0", MemberRecord{Member: "n0", Incarnation: 7}, 60)
	changes := []wire.Event{{PutKey: own.Key, Value: own.Value, Version: own.Version}}
	h.respond(t, store.OpWatch, store.Result{Revision: 60, Events: changes})
	h.now = h.now.Add(time.Millisecond)
	h.membership.Tick(h.now)
}

// Guards against acting under a lease that may have expired or that the state service has reported
// as missing.
func TestLeaseValid(t *testing.T) {
	h := newHarness()
	h.join(t)
	start := h.now
	validAfter := func(d time.Duration) bool { return h.membership.LeaseValid(start.Add(d)) }
	if !validAfter(0) || !validAfter(tuning.MemberLease/2) {
		t.Error("a fresh lease is not valid")
	}
	if validAfter(tuning.MemberLease) || validAfter(tuning.MemberLease-tuning.LeaseSafetyMargin) {
		t.Error("a lease that may have expired is valid")
	}
	h.now = start.Add(tuning.MemberRenewInterval)
	h.membership.Tick(h.now)
	h.respond(t, store.OpRenewLease, store.Result{Err: store.ErrUnavailable})
	if validAfter(tuning.MemberLease) {
		t.Error("a failed renewal extends the lease")
	}
	h.now = start.Add(2 * tuning.MemberRenewInterval)
	h.membership.Tick(h.now)
	h.respond(t, store.OpRenewLease, store.Result{})
	if !validAfter(tuning.MemberLease) {
		t.Error("a renewal does not extend the lease")
	}
	h.now = start.Add(4 * tuning.MemberRenewInterval)
	h.membership.Tick(h.now)
	h.respond(t, store.OpRenewLease, store.Result{Err: store.ErrNotFound})
	if h.membership.LeaseValid(h.now) || h.membership.Incarnation() != 0 || len(h.membership.Terms()) != 0 {
		t.Error("a missing lease is still in use")
	}
}

// Guards against losing the lease because the response to one renewal is late, and against extending it
// from the time of the response instead of the request.
func TestLateRenewalResponses(t *testing.T) {
	h := newHarness()
	h.join(t)
	sent := h.now
	h.now = h.now.Add(tuning.MemberRenewInterval)
	renewals := func() (n int) {
		for _, call := range h.calls {
			if call.Op == store.OpRenewLease {
				n++
			}
		}
		return n
	}
	for i := range 4 {
		h.membership.Tick(h.now)
		if want := min(i+1, tuning.MaxRenewalsInFlight); renewals() != want {
			t.Fatalf("%d renewals in flight after %v, want %d", renewals(), h.now.Sub(sent), want)
		}
		h.now = h.now.Add(tuning.MemberRenewInterval)
	}
	// The response to the second renewal, sent 2 s after the grant, arrives first.
	at, reply := sent.Add(2*tuning.MemberRenewInterval), h.replies[len(h.replies)-2]
	reply(h.now, store.Result{SentAt: at})
	want := leaseDeadlineAfter(at)
	if got := h.membership.LeaseDeadline(); !got.Equal(want) {
		t.Errorf("the lease is valid until %v after the renewal, want %v", got.Sub(at), want.Sub(at))
	}
	// The response to an earlier renewal must not shorten the lease.
	h.replies[len(h.replies)-3](h.now, store.Result{SentAt: sent.Add(tuning.MemberRenewInterval)})
	if got := h.membership.LeaseDeadline(); !got.Equal(want) {
		t.Errorf("the response to an earlier renewal moved the deadline to %v", got.Sub(at))
	}
}
