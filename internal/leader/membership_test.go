package leader

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// elect is a slice whose calls are caught.
type elect struct {
	s    *Membership
	now  time.Time
	sent []store.Call
	then []func(time.Time, store.Result)
}

func newElect() *elect {
	e := &elect{now: time.Unix(1000, 0)}
	e.s = New("n0", 1, nil, func() time.Time { return e.now }, func(c store.Call, then func(time.Time, store.Result)) {
		e.sent, e.then = append(e.sent, c), append(e.then, then)
	}, slog.New(slog.NewTextHandler(io.Discard, nil)), func(time.Time, string, wire.KeyValue, bool) {})
	return e
}

// answer answers the oldest call of a kind.
func (e *elect) answer(t *testing.T, op store.Op, r store.Result) store.Call {
	t.Helper()
	for i, c := range e.sent {
		if c.Op == op {
			then := e.then[i]
			e.sent, e.then = append(e.sent[:i:i], e.sent[i+1:]...), append(e.then[:i:i], e.then[i+1:]...)
			r.SentAt = e.now
			then(e.now, r)
			return c
		}
	}
	t.Fatalf("no call of kind %d among %v", op, e.sent)
	return store.Call{}
}

func put(key string, v any, version uint64) wire.KeyValue {
	raw, _ := json.Marshal(v)
	return wire.KeyValue{Key: key, Value: raw, Version: version}
}

// join makes the node a member beside what the records already hold.
func (e *elect) join(t *testing.T, items ...wire.KeyValue) {
	e.s.Tick(e.now)
	e.answer(t, store.OpList, store.Result{Status: 200, Revision: 50, KeyValues: items})
	e.answer(t, store.OpGrantLease, store.Result{Status: 200, Lease: 7})
	e.answer(t, store.OpTransaction, store.Result{Status: 200, Revision: 60})
	var changes []wire.Event
	for _, it := range []wire.KeyValue{put("c/m/n0", MemberRecord{Member: "n0", Incarnation: 7}, 60)} {
		changes = append(changes, wire.Event{Put: it.Key, Value: it.Value, Version: it.Version})
	}
	e.answer(t, store.OpWatch, store.Result{Status: 200, Revision: 60, Events: changes})
	e.now = e.now.Add(time.Millisecond)
	e.s.Tick(e.now)
}

// What a member does about the records it finds.
func TestCampaign(t *testing.T) {
	other := put("c/m/n1", MemberRecord{Member: "n1", Incarnation: 5}, 20)
	for _, c := range []struct {
		name  string
		items []wire.KeyValue
		want  string // the key it writes first, "" for none
		token uint64 // of the block, if it assigns it
		ended bool
	}{
		{"nobody leads", []wire.KeyValue{other}, "c/leader", 0, false},
		{"another leads", []wire.KeyValue{other, put("c/leader", LeaderRecord{"n1", 5}, 30)}, "", 0, false},
		{"the leader's process was replaced", []wire.KeyValue{other, put("c/leader", LeaderRecord{"n1", 4}, 30)}, "c/leader", 0, false},
		{"the leader is gone", []wire.KeyValue{put("c/leader", LeaderRecord{"n1", 5}, 30)}, "c/leader", 0, false},
		{"it leads, no block is held", []wire.KeyValue{put("c/leader", LeaderRecord{"n0", 7}, 30), put("c/baton", tokenRecord{3}, 31)}, "c/baton", 4, true},
		{"it leads, the block is held", []wire.KeyValue{other, put("c/leader", LeaderRecord{"n0", 7}, 30), put("c/b/0", ShardRecord{Holder: "n1", Incarnation: 5, Token: 3}, 32)}, "", 0, false},
		{"it leads, the holder vanished", []wire.KeyValue{put("c/leader", LeaderRecord{"n0", 7}, 30), put("c/baton", tokenRecord{3}, 31), put("c/b/0", ShardRecord{Holder: "n1", Incarnation: 5, Token: 3}, 32)}, "c/baton", 4, false},
		{"it leads, the holder was restarted", []wire.KeyValue{other, put("c/leader", LeaderRecord{"n0", 7}, 30), put("c/baton", tokenRecord{3}, 31), put("c/b/0", ShardRecord{Holder: "n1", Incarnation: 4, Token: 3}, 32)}, "c/baton", 4, true},
		{"it leads, the holder resigned", []wire.KeyValue{other, put("c/leader", LeaderRecord{"n0", 7}, 30), put("c/baton", tokenRecord{3}, 31), put("c/b/0", ShardRecord{Token: 3}, 32)}, "c/baton", 4, true},
		{"it leads, and gave the block back because it hears no worker", []wire.KeyValue{other, put("c/leader", LeaderRecord{"n0", 7}, 30), put("c/baton", tokenRecord{3}, 31), put("c/b/0", ShardRecord{Token: 3, Unreachable: "n1"}, 32)}, "c/baton", 4, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newElect()
			e.join(t, c.items...)
			var got store.Call
			for _, s := range e.sent {
				if s.Op == store.OpTransaction {
					got = s
				}
			}
			key := ""
			if len(got.Transaction.Writes) > 0 {
				key = got.Transaction.Writes[0].Put
			}
			if key != c.want {
				t.Fatalf("writes %q, want %q", key, c.want)
			}
			if c.token == 0 {
				return
			}
			var rec ShardRecord
			if err := json.Unmarshal(got.Transaction.Writes[1].Value, &rec); err != nil || rec.Token != c.token || rec.PredecessorEnded != c.ended {
				t.Errorf("block record %+v, want baton %d, ended %t", rec, c.token, c.ended)
			}
			if last := c.items[len(c.items)-1]; string(last.Value) != "" {
				var was ShardRecord
				if json.Unmarshal(last.Value, &was) == nil && was.Unreachable != "" && rec.Holder == was.Unreachable {
					t.Errorf("given to %s, which does not hear the workers", rec.Holder)
				}
			}
			if len(got.Transaction.Compares) != 4 {
				t.Errorf("assigned on conditions %v, want leader, block, baton and member", got.Transaction.Compares)
			}
		})
	}
}

// Who gets a block that nobody holds.
func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name       string
		members    []MemberRecord
		leads      string
		last, deaf string
		want       string
	}{
		{"the one restarted already, not the one that is next", []MemberRecord{{Member: "n1", Incarnation: 1, JoinedAtMs: 10}, {Member: "n2", Incarnation: 2, JoinedAtMs: 90}, {Member: "n3", Incarnation: 3, JoinedAtMs: 11}}, "", "n0", "", "n2"},
		{"one that does not lead", []MemberRecord{{Member: "n1", Incarnation: 1, JoinedAtMs: 10}, {Member: "n2", Incarnation: 2, JoinedAtMs: 90}}, "n2", "n0", "", "n1"},
		{"not the one that ended a moment ago", []MemberRecord{{Member: "n1", Incarnation: 1, JoinedAtMs: 10}, {Member: "n2", Incarnation: 2, JoinedAtMs: 90}}, "n1", "n2", "", "n1"},
		{"not the one that hears no worker", []MemberRecord{{Member: "n1", Incarnation: 1, JoinedAtMs: 10}, {Member: "n2", Incarnation: 2, JoinedAtMs: 90}}, "n1", "", "n2", "n1"},
		{"the one that ended rather than one that hears no worker", []MemberRecord{{Member: "n1", Incarnation: 1, JoinedAtMs: 10}, {Member: "n2", Incarnation: 2, JoinedAtMs: 90}}, "", "n1", "n2", "n1"},
		{"whoever is there", []MemberRecord{{Member: "n2", Incarnation: 2, JoinedAtMs: 90}}, "n2", "n2", "n2", "n2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newElect()
			e.s.leader.value.Member = c.leads
			for _, m := range c.members {
				e.s.members[m.Member] = versioned[MemberRecord]{m, m.Incarnation}
			}
			if got, _, ok := e.s.chooseHolder(c.last, c.deaf); !ok || got.Member != c.want {
				t.Errorf("chose %q, want %q", got.Member, c.want)
			}
		})
	}
}

// How long a lease may be acted on: from when its renewal was sent, and never
// past a 404.
func TestEntitled(t *testing.T) {
	e := newElect()
	e.join(t)
	start := e.now
	at := func(d time.Duration) bool { return e.s.LeaseValid(start.Add(d)) }
	if !at(0) || !at(tuning.MemberLease/2) {
		t.Error("not entitled with a fresh lease")
	}
	if at(tuning.MemberLease) || at(tuning.MemberLease-tuning.LeaseSafetyMargin) {
		t.Error("entitled when the lease may have ended")
	}
	e.now = start.Add(tuning.MemberRenewInterval)
	e.s.Tick(e.now)
	e.answer(t, store.OpRenewLease, store.Result{Status: 503})
	if at(tuning.MemberLease) {
		t.Error("a refused renewal counts as one")
	}
	e.now = start.Add(2 * tuning.MemberRenewInterval)
	e.s.Tick(e.now)
	e.answer(t, store.OpRenewLease, store.Result{Status: 200})
	if !at(tuning.MemberLease) {
		t.Error("a renewal does not count")
	}
	e.now = start.Add(4 * tuning.MemberRenewInterval)
	e.s.Tick(e.now)
	e.answer(t, store.OpRenewLease, store.Result{Status: 404})
	if e.s.LeaseValid(e.now) || e.s.Incarnation() != 0 || len(e.s.Terms()) != 0 {
		t.Error("acts for a lease that has ended")
	}
}

// Renewals go on while the answers to earlier ones are late, and a late answer counts
// from when its renewal was sent: a holder short of processor time waited for one
// answer until its lease was over, and was deposed.
func TestLateRenewals(t *testing.T) {
	e := newElect()
	e.join(t)
	sent := e.now
	e.now = e.now.Add(tuning.MemberRenewInterval)
	touches := func() (n int) {
		for _, c := range e.sent {
			if c.Op == store.OpRenewLease {
				n++
			}
		}
		return n
	}
	for i := range 4 {
		e.s.Tick(e.now)
		if want := min(i+1, tuning.MaxRenewalsInFlight); touches() != want {
			t.Fatalf("%d renewals under way after %v, want %d", touches(), e.now.Sub(sent), want)
		}
		e.now = e.now.Add(tuning.MemberRenewInterval)
	}
	// the second was sent 2 s after the grant and is answered first
	at, then := sent.Add(2*tuning.MemberRenewInterval), e.then[len(e.then)-2]
	then(e.now, store.Result{Status: 200, SentAt: at})
	if got := e.s.LeaseDeadline(); !got.Equal(leaseDeadlineAfter(at)) {
		t.Errorf("the lease stands until %v after the renewal, want %v", got.Sub(at), leaseDeadlineAfter(at).Sub(at))
	}
	// an earlier one's answer does not shorten it
	e.then[len(e.then)-3](e.now, store.Result{Status: 200, SentAt: sent.Add(tuning.MemberRenewInterval)})
	if got := e.s.LeaseDeadline(); !got.Equal(leaseDeadlineAfter(at)) {
		t.Errorf("an earlier answer moved the end to %v", got.Sub(at))
	}
}

// What the leader writes down as in force: what all members announce, and no longer what
// one of an earlier version does not.
func TestSwitchesInForce(t *testing.T) {
	with, without := []string{"duties"}, []string(nil)
	for _, c := range []struct {
		name    string
		members [][]string // what each announces; the first is the leader
		inForce []string
		writes  bool
		want    []string
	}{
		{"all announce it", [][]string{with, with, with}, nil, true, with},
		{"one does not", [][]string{with, with, without}, nil, false, nil},
		{"in force already", [][]string{with, with}, with, false, nil},
		{"an earlier version joins", [][]string{with, without}, with, true, nil},
		{"the leader does not", [][]string{without, with}, nil, false, nil},
		{"the leader is of a version with it switched off", [][]string{without, with}, with, true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newElect()
			e.s.announcedFeatures = c.members[0]
			for i, announced := range c.members {
				name := fmt.Sprintf("n%d", i)
				e.s.members[name] = versioned[MemberRecord]{MemberRecord{Member: name, Incarnation: uint64(i + 1), Features: announced}, uint64(i + 1)}
			}
			e.s.featuresInForce = versioned[FeaturesRecord]{FeaturesRecord{c.inForce}, 9}
			e.s.recordFeatures(e.now)
			if writes := len(e.sent) == 1; writes != c.writes {
				t.Fatalf("%d calls", len(e.sent))
			}
			if !c.writes {
				return
			}
			var rec FeaturesRecord
			if err := json.Unmarshal(e.sent[0].Transaction.Writes[0].Value, &rec); err != nil || !slices.Equal(rec.InForce, c.want) {
				t.Errorf("in force: %v, %v; want %v", rec.InForce, err, c.want)
			}
			if !slices.Contains(e.sent[0].Transaction.Compares, store.VersionEquals(keyFeatures, 9)) || !slices.Contains(e.sent[0].Transaction.Compares, store.VersionEquals(keyLeader, e.s.leader.version)) {
				t.Errorf("conditions: %+v", e.sent[0].Transaction.Compares)
			}
		})
	}
}
