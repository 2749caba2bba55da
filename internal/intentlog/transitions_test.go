package intentlog

import (
	"slices"
	"testing"

	"juniperchute/internal/store"
)

type lifecycleCase struct {
	name  string
	play  func(log *testLog)
	want  State
	ready bool // a call may be made
}

var recordingCases = []lifecycleCase{
	{
		name: "decided",
		play: (*testLog).record,
		want: Recording,
	},
	{
		name: "entry refused",
		play: func(log *testLog) {
			log.record()
			log.answerAll(store.Result{Err: store.ErrUnavailable})
		},
		want: Recording,
	},
	{
		name: "entry not answered",
		play: func(log *testLog) {
			log.record()
			log.answerAll(store.Result{Err: store.ErrNoResponse})
		},
		want: Recording,
	},
	{
		name: "term over",
		play: func(log *testLog) {
			log.record()
			log.answerAll(store.Result{Err: &store.ConflictError{FailedKeys: []string{termKey}}})
		},
		want: Recording,
	},
	{
		name: "completed before its entry is durable",
		play: func(log *testLog) {
			log.record()
			log.Complete(log.intent(), "")
		},
		want: Recording,
	},
	{
		name:  "recorded",
		play:  (*testLog).recordDurably,
		want:  Recorded,
		ready: true,
	},
}

var callCases = []lifecycleCase{
	{
		name: "call in flight",
		play: (*testLog).startCall,
		want: InFlight,
	},
	{
		name: "call refused",
		play: func(log *testLog) {
			log.startCall()
			log.finishCall(NotExecuted)
		},
		want:  Recorded,
		ready: true,
	},
	{
		name: "call not answered",
		play: func(log *testLog) {
			log.startCall()
			log.finishCall(Unknown)
		},
		want:  Recorded,
		ready: true,
	},
	{
		name: "call executed",
		play: func(log *testLog) {
			log.startCall()
			log.finishCall(Done)
		},
		want: Completed,
	},
	{
		name: "outcome without a call",
		play: func(log *testLog) {
			log.recordDurably()
			log.finishCall(Done)
		},
		want:  Recorded,
		ready: true,
	},
	{
		name: "forgotten before it is completed",
		play: func(log *testLog) {
			log.startCall()
			log.Forget(log.intent())
		},
		want: InFlight,
	},
	{
		name: "recorded for a second operation",
		play: func(log *testLog) {
			log.startCall()
			log.Record(testTime, Reclaim, testTarget, "unresponsive")
		},
		want: InFlight,
	},
}

// An intent goes from its entry to its completion in this order only, whatever is asked of it.
func TestIntentLifecycle(t *testing.T) {
	for _, c := range slices.Concat(recordingCases, callCases) {
		t.Run(c.name, func(t *testing.T) {
			log := newDurableTestLog()
			c.play(log)
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

// No state change but the allowed ones is carried out, whoever asks for it.
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
