package intentlog

import (
	"slices"
	"testing"

	"juniperchute/internal/store"
)

type lifecycleCase struct {
	name  string
	run   func(log *testLog)
	want  State
	ready bool // a call may be made
}

var recordingCases = []lifecycleCase{
	{
		name: "entry write in flight",
		run:  (*testLog).record,
		want: Recording,
	},
	{
		name: "entry write rejected",
		run: func(log *testLog) {
			log.record()
			log.answerAll(store.Result{Err: store.ErrUnavailable})
		},
		want: Recording,
	},
	{
		name: "entry write without a response",
		run: func(log *testLog) {
			log.record()
			log.answerAll(store.Result{Err: store.ErrNoResponse})
		},
		want: Recording,
	},
	{
		name: "entry write after the end of the term",
		run: func(log *testLog) {
			log.record()
			log.answerAll(store.Result{Err: &store.ConflictError{FailedKeys: []string{termKey}}})
		},
		want: Recording,
	},
	{
		name: "completed before its entry is durable",
		run: func(log *testLog) {
			log.record()
			log.Complete(log.intent(), "")
		},
		want: Recording,
	},
	{
		name:  "recorded",
		run:   (*testLog).recordDurably,
		want:  Recorded,
		ready: true,
	},
}

var callCases = []lifecycleCase{
	{
		name: "call in flight",
		run:  (*testLog).startCall,
		want: InFlight,
	},
	{
		name: "call rejected",
		run: func(log *testLog) {
			log.startCall()
			log.finishCall(NotExecuted)
		},
		want:  Recorded,
		ready: true,
	},
	{
		name: "call without a response",
		run: func(log *testLog) {
			log.startCall()
			log.finishCall(Unknown)
		},
		want:  Recorded,
		ready: true,
	},
	{
		name: "call executed",
		run: func(log *testLog) {
			log.startCall()
			log.finishCall(Done)
		},
		want: Completed,
	},
	{
		name: "outcome without a call",
		run: func(log *testLog) {
			log.recordDurably()
			log.finishCall(Done)
		},
		want:  Recorded,
		ready: true,
	},
	{
		name: "forgotten before completion",
		run: func(log *testLog) {
			log.startCall()
			log.Forget(log.intent())
		},
		want: InFlight,
	},
	{
		name: "recorded again for another operation",
		run: func(log *testLog) {
			log.startCall()
			log.Record(testTime, Reclaim, testTarget, "unresponsive")
		},
		want: InFlight,
	},
}

// No call is made before the entry is durable, and no intent completes out of order.
func TestIntentLifecycle(t *testing.T) {
	for _, c := range slices.Concat(recordingCases, callCases) {
		t.Run(c.name, func(t *testing.T) {
			log := newDurableTestLog()
			c.run(log)
			intent := log.intent()
			if intent == nil || intent.State() != c.want {
				t.Fatalf("%+v, want %v", intent, c.want)
			}
			if got := log.readyCount(Deprovision) == 1; got != c.ready {
				t.Errorf("ready: %v, want %v", got, c.ready)
			}
			if log.Get(Reclaim, testTarget) != nil {
				t.Error("recorded for two operations")
			}
		})
	}
}

// Only the transitions of the state machine are carried out.
func TestStateTransitions(t *testing.T) {
	allowed := map[State][]State{
		Recording: {Recorded},
		Recorded:  {InFlight, Completed},
		InFlight:  {Recorded, Completed},
	}
	for from := Recording; from <= Completed; from++ {
		for to := Recording; to <= Completed; to++ {
			log := newDurableTestLog()
			log.record()
			intent := log.intent()
			intent.state = from
			want := slices.Contains(allowed[from], to)
			if got := log.setState(intent, to, "test"); got != want || want != (intent.state == to && from != to) {
				t.Errorf("%v to %v: %v, then %v", from, to, got, intent.state)
			}
		}
	}
}
