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

// environment is a Membership whose calls to the state service are captured.
type environment struct {
	membership *Membership
	now        time.Time
	calls      []store.Call
	replies    []func(time.Time, store.Result) // by call
}

func newEnvironment() *environment {
	e := &environment{now: time.Unix(1000, 0)}
	e.membership = New(Options{
		Member:    "n0",
		Shards:    1,
		WallClock: func() time.Time { return e.now },
		StateCall: func(call store.Call, reply func(time.Time, store.Result)) {
			e.calls, e.replies = append(e.calls, call), append(e.replies, reply)
		},
		Log:               slog.New(slog.DiscardHandler),
		OnUnhandledRecord: func(time.Time, string, wire.KeyValue, bool) {},
	})
	return e
}

// answer answers the oldest call of a kind.
func (e *environment) answer(t *testing.T, op store.Op, r store.Result) {
	t.Helper()
	i := slices.IndexFunc(e.calls, func(call store.Call) bool { return call.Op == op })
	if i < 0 {
		t.Fatalf("no call of kind %d among %v", op, e.calls)
	}
	reply := e.replies[i]
	e.calls, e.replies = slices.Delete(e.calls, i, i+1), slices.Delete(e.replies, i, i+1)
	r.SentAt = e.now
	reply(e.now, r)
}

func put(key string, v any, version uint64) wire.KeyValue {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return wire.KeyValue{Key: key, Value: raw, Version: version}
}

// join makes n0 a member, as incarnation 7, while the state service already holds some records.
func (e *environment) join(t *testing.T, items ...wire.KeyValue) {
	t.Helper()
	e.membership.Tick(e.now)
	e.answer(t, store.OpList, store.Result{Revision: 50, KeyValues: items})
	e.answer(t, store.OpGrantLease, store.Result{Lease: 7})
	e.answer(t, store.OpTransaction, store.Result{Revision: 60})
	own := put("c/m/n0", MemberRecord{Member: "n0", Incarnation: 7}, 60)
	changes := []wire.Event{{Put: own.Key, Value: own.Value, Version: own.Version}}
	e.answer(t, store.OpWatch, store.Result{Revision: 60, Events: changes})
	e.now = e.now.Add(time.Millisecond)
	e.membership.Tick(e.now)
}

// A lease is valid for a while from when its renewal was sent, and never after the state service
// has answered that it does not exist.
func TestLeaseValid(t *testing.T) {
	e := newEnvironment()
	e.join(t)
	start := e.now
	validAfter := func(d time.Duration) bool { return e.membership.LeaseValid(start.Add(d)) }
	if !validAfter(0) || !validAfter(tuning.MemberLease/2) {
		t.Error("a fresh lease is not valid")
	}
	if validAfter(tuning.MemberLease) || validAfter(tuning.MemberLease-tuning.LeaseSafetyMargin) {
		t.Error("a lease that may have expired is valid")
	}
	e.now = start.Add(tuning.MemberRenewInterval)
	e.membership.Tick(e.now)
	e.answer(t, store.OpRenewLease, store.Result{Err: store.ErrUnavailable})
	if validAfter(tuning.MemberLease) {
		t.Error("a refused renewal extends the lease")
	}
	e.now = start.Add(2 * tuning.MemberRenewInterval)
	e.membership.Tick(e.now)
	e.answer(t, store.OpRenewLease, store.Result{})
	if !validAfter(tuning.MemberLease) {
		t.Error("a renewal does not extend the lease")
	}
	e.now = start.Add(4 * tuning.MemberRenewInterval)
	e.membership.Tick(e.now)
	e.answer(t, store.OpRenewLease, store.Result{Err: store.ErrNotFound})
	if e.membership.LeaseValid(e.now) || e.membership.Incarnation() != 0 || len(e.membership.Terms()) != 0 {
		t.Error("a lease that does not exist is still acted on")
	}
}

// Renewals go on while the answers to earlier ones are late, and a late answer counts from when
// its renewal was sent: a leader short of processor time once waited for one answer until its
// lease had expired.
func TestLateRenewals(t *testing.T) {
	e := newEnvironment()
	e.join(t)
	sent := e.now
	e.now = e.now.Add(tuning.MemberRenewInterval)
	renewals := func() (n int) {
		for _, call := range e.calls {
			if call.Op == store.OpRenewLease {
				n++
			}
		}
		return n
	}
	for i := range 4 {
		e.membership.Tick(e.now)
		if want := min(i+1, tuning.MaxRenewalsInFlight); renewals() != want {
			t.Fatalf("%d renewals in flight after %v, want %d", renewals(), e.now.Sub(sent), want)
		}
		e.now = e.now.Add(tuning.MemberRenewInterval)
	}
	// the second was sent 2 s after the grant and is answered first
	at, reply := sent.Add(2*tuning.MemberRenewInterval), e.replies[len(e.replies)-2]
	reply(e.now, store.Result{SentAt: at})
	want := leaseDeadlineAfter(at)
	if got := e.membership.LeaseDeadline(); !got.Equal(want) {
		t.Errorf("the lease is valid until %v after the renewal, want %v", got.Sub(at), want.Sub(at))
	}
	// an earlier one's answer does not shorten it
	e.replies[len(e.replies)-3](e.now, store.Result{SentAt: sent.Add(tuning.MemberRenewInterval)})
	if got := e.membership.LeaseDeadline(); !got.Equal(want) {
		t.Errorf("an earlier answer moved the deadline to %v", got.Sub(at))
	}
}
