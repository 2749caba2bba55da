package intentlog

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

var now = time.Unix(1000, 0)

// testLog is a log whose calls of the state service are caught.
type testLog struct {
	*Log
	sent []store.Call
	then []func(time.Time, store.Result)
	lost bool
}

func newTestLog(on bool) *testLog {
	x := &testLog{}
	x.Log = NewLog(Options{Token: 7, TermCompare: store.VersionEquals("c/b/0", 3), ValueKB: 1, WallClock: func() time.Time { return now },
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), OnTermLost: func(time.Time) { x.lost = true },
		StateCall: func(c store.Call, then func(time.Time, store.Result)) {
			x.sent, x.then = append(x.sent, c), append(x.then, then)
		}})
	if on {
		x.EnableDurability()
	}
	return x
}

// answer answers all calls.
func (x *testLog) answer(r store.Result) {
	then := x.then
	x.sent, x.then = nil, nil
	for _, f := range then {
		f(now, r)
	}
}

func (x *testLog) action(target string) *Intent { return x.Get(Deprovision, target) }

// An action goes from entry to settlement in this order only, whatever is asked of it.
func TestStages(t *testing.T) {
	taken := store.Result{Status: 200, Revision: 9}
	enter := func(x *testLog) { x.Record(now, Deprovision, "i-1", "idle") }
	entered := func(x *testLog) { enter(x); x.answer(taken) }
	sent := func(x *testLog) { entered(x); x.StartCall(now, x.action("i-1")) }
	for _, c := range []struct {
		name string
		play func(x *testLog)
		want State
		send bool // a call may be made
	}{
		{"decided", enter, Recording, false},
		{"its entry is refused", func(x *testLog) { enter(x); x.answer(store.Result{Status: 503}) }, Recording, false},
		{"its entry is not answered", func(x *testLog) { enter(x); x.answer(store.Result{}) }, Recording, false},
		{"the tenure is over", func(x *testLog) { enter(x); x.answer(store.Result{Status: 409, FailedKeys: []string{"c/b/0"}}) }, Recording, false},
		{"entered", entered, Recorded, true},
		{"sent", sent, InFlight, false},
		{"the call was refused", func(x *testLog) { sent(x); x.FinishCall(now, x.action("i-1"), NotExecuted) }, Recorded, true},
		{"the call was not answered", func(x *testLog) { sent(x); x.FinishCall(now, x.action("i-1"), Unknown) }, Recorded, true},
		{"done", func(x *testLog) { sent(x); x.FinishCall(now, x.action("i-1"), Done) }, Completed, false},
		{"an answer to no call", func(x *testLog) { entered(x); x.FinishCall(now, x.action("i-1"), Done) }, Recorded, true},
		{"settled before its entry is durable", func(x *testLog) { enter(x); x.Complete(now, x.action("i-1"), "") }, Recording, false},
		{"forgotten before it is settled", func(x *testLog) { sent(x); x.Forget(x.action("i-1")) }, InFlight, false},
		{"entered twice", func(x *testLog) { sent(x); x.Record(now, Reclaim, "i-1", "silent") }, InFlight, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newTestLog(true)
			c.play(x)
			a := x.action("i-1")
			if a == nil || a.State() != c.want {
				t.Fatalf("%+v, want %v", a, c.want)
			}
			if got := len(x.Ready(Deprovision)) == 1; got != c.send {
				t.Errorf("may be sent: %v", got)
			}
			if x.Get(Reclaim, "i-1") != nil {
				t.Error("entered for two duties")
			}
		})
	}
}

// No change of stage but the allowed ones is carried out, whoever asks for it.
func TestFollows(t *testing.T) {
	allowed := map[State][]State{Recording: {Recorded}, Recorded: {InFlight, Completed}, InFlight: {Recorded, Completed}}
	for from := Recording; from <= Completed; from++ {
		for to := Recording; to <= Completed; to++ {
			x := newTestLog(true)
			x.Record(now, Deprovision, "i-1", "idle")
			a := x.action("i-1")
			a.state = from
			want := slices.Contains(allowed[from], to)
			if got := x.setState(now, a, to, "test"); got != want || want != (a.state == to && from != to) {
				t.Errorf("%v to %v: %v, then %v", from, to, got, a.state)
			}
		}
	}
}

// What one write enters: several actions share it, and each waits for it.
func TestEntriesShareWrites(t *testing.T) {
	x := newTestLog(true)
	for i := range 5 {
		x.Record(now, Deprovision, fmt.Sprintf("i-%d", i), "idle")
	}
	if len(x.sent) != 1 {
		t.Fatalf("%d writes under way", len(x.sent))
	}
	first := x.sent[0].Transaction
	if first.Compares[0] != store.VersionEquals("c/b/0", 3) || first.Compares[1] != store.VersionEquals("d/0/0", 0) {
		t.Errorf("conditions: %v", first.Compares)
	}
	x.answer(store.Result{Status: 200, Revision: 9})
	if ready := len(x.Ready(Deprovision)); ready != 1 {
		t.Errorf("%d are ready after the first write, which had one", ready)
	}
	now := now.Add(tuning.IntentWriteInterval)
	x.Tick(now)
	if len(x.sent) != 1 {
		t.Fatalf("%d writes for the others", len(x.sent))
	}
	if entries, err := ReadPage(x.sent[0].Transaction.Writes[0].Value); err != nil || len(entries) != 5 || entries[0].Token != 7 {
		t.Errorf("%v, %v", entries, err)
	}
	x.answer(store.Result{Status: 200, Revision: 10})
	if ready := len(x.Ready(Deprovision)); ready != 5 {
		t.Errorf("%d are ready", ready)
	}
}

// A full log takes no more actions until some are settled; nothing is changed by asking.
func TestFullLog(t *testing.T) {
	x := newTestLog(false)
	for i := range tuning.MaxOpenIntents {
		if !x.Record(now, Deprovision, fmt.Sprintf("i-%d", i), "idle") {
			t.Fatalf("no room for action %d", i)
		}
	}
	if x.Record(now, Deprovision, "i-more", "idle") || x.action("i-more") != nil {
		t.Fatal("entered although the log is full")
	}
	a := x.action("i-3")
	x.StartCall(now, a)
	x.FinishCall(now, a, Done)
	x.Forget(a)
	if !x.Record(now, Deprovision, "i-more", "idle") {
		t.Error("no room after one was settled")
	}
}

// What a successor makes of the pages it reads.
func TestLoad(t *testing.T) {
	page := func(n int, value string) wire.KeyValue {
		return wire.KeyValue{Key: fmt.Sprintf("d/0/%d", n), Value: json.RawMessage(value), Version: uint64(n + 5)}
	}
	const one, other = `{"i-1":{"Duty":"return","Token":4,"At":5000}}`, `{"i-2":{"Duty":"reclaim","Token":3,"At":0},"i-3":{"Duty":"return","Token":4,"At":0}}`
	for _, c := range []struct {
		name   string
		pages  []wire.KeyValue
		ready  int
		unread int
	}{
		{"nothing", nil, 0, 0},
		{"two pages", []wire.KeyValue{page(0, one), page(1, other)}, 3, 0},
		{"an entry twice, as its holder ended while it was moved", []wire.KeyValue{page(0, one), page(1, one)}, 1, 0},
		{"a page that cannot be read", []wire.KeyValue{page(0, `"x`), page(1, other)}, 2, 1},
		{"an entry of a duty that is not known", []wire.KeyValue{page(0, `{"i-1":{"Duty":"paint","Token":4}}`), page(1, other)}, 2, 0},
		{"an entry of another form", []wire.KeyValue{page(0, `{"i-1":7}`)}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newTestLog(true)
			x.Load(now, c.pages)
			ready := x.Ready(Deprovision, Reclaim)
			if len(ready) != c.ready || x.UnreadablePages() != c.unread || x.Pending() != c.ready {
				t.Fatalf("%d ready, %d unread, %d open", len(ready), x.UnreadablePages(), x.Pending())
			}
			for _, a := range ready {
				if !a.Recovered || a.Token >= 7 {
					t.Errorf("%+v is not inherited", a)
				}
			}
			// what cannot be read is never written over
			x.Record(now, Deprovision, "i-9", "idle")
			for _, call := range x.sent {
				for i, p := range c.pages {
					if call.Transaction.Writes[0].Put == p.Key && !json.Valid(p.Value) {
						t.Errorf("page %d, which cannot be read, is written over", i)
					}
				}
			}
		})
	}
}

// Removals pass only if they are conditioned on the tenure, and are counted.
func TestCleanUp(t *testing.T) {
	tenure, other := store.VersionEquals("c/b/0", 3), store.VersionEquals("c/b/0", 2)
	for _, c := range []struct {
		name   string
		when   []wire.Compare
		key    string
		passes bool
		counts int
	}{
		{"of the tenure", []wire.Compare{tenure, store.VersionEquals("h/0/x", 4)}, "h/0/x", true, 1},
		{"of another tenure", []wire.Compare{other, store.VersionEquals("h/0/x", 4)}, "h/0/x", false, 0},
		{"not conditioned", nil, "h/0/x", false, 0},
		{"of a record that is no business of clean-up", nil, "q/job-1", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newTestLog(true)
			var got store.Result
			call := x.GuardRemovals(x.options.StateCall, "h/0/", "u/0/")
			call(store.Call{Op: store.OpTransaction, Transaction: wire.Transaction{Compares: c.when, Writes: []wire.Write{store.Delete(c.key)}}},
				func(_ time.Time, r store.Result) { got = r })
			if passes := len(x.sent) == 1; passes != c.passes {
				t.Fatalf("passes: %v", passes)
			}
			if !c.passes {
				if got.Status != 409 {
					t.Errorf("answered %d", got.Status)
				}
				return
			}
			status := func() OperationStatus { return x.Status()[len(Operations())-1] }
			if s := status(); s.Operation != Cleanup || s.RemovalsInFlight != c.counts || s.OldestRemovalSentAt.IsZero() != (c.counts == 0) {
				t.Errorf("%+v", s)
			}
			x.answer(store.Result{Status: 200})
			if s := status(); s.RemovalsInFlight != 0 || s.RemovalsDone != c.counts {
				t.Errorf("%+v", s)
			}
		})
	}
}

// With the log off nothing is written, and actions may be sent at once.
func TestSwitchedOff(t *testing.T) {
	x := newTestLog(false)
	x.Record(now, Reclaim, "i-1", "silent")
	if len(x.sent) != 0 || len(x.Ready(Reclaim)) != 1 {
		t.Errorf("%d writes, %d ready", len(x.sent), len(x.Ready(Reclaim)))
	}
}
