package intentlog

import (
	"io"
	"log/slog"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

const (
	testToken  = 7
	testTarget = "i-1"
	termKey    = "c/b/0"
)

var (
	testTime    = time.Unix(1000, 0)
	termCompare = store.VersionEquals(termKey, 3)
	written     = store.Result{Revision: 9}
)

// testLog is a log whose calls of the state service wait for answerAll.
type testLog struct {
	*Log
	calls   []store.Call
	replies []func(time.Time, store.Result)
}

func newTestLog() *testLog {
	log := &testLog{}
	log.Log = NewLog(Options{
		Token:       testToken,
		TermCompare: termCompare,
		ValueKB:     1,
		StateCall:   log.holdCall,
		WallClock:   func() time.Time { return testTime },
		Log:         slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnTermLost:  func(time.Time) {},
	})
	return log
}

func newDurableTestLog() *testLog {
	log := newTestLog()
	log.EnableDurability()
	return log
}

func (l *testLog) holdCall(call store.Call, reply func(time.Time, store.Result)) {
	l.calls, l.replies = append(l.calls, call), append(l.replies, reply)
}

// answerAll answers all waiting calls with the same result.
func (l *testLog) answerAll(result store.Result) {
	replies := l.replies
	l.calls, l.replies = nil, nil
	for _, reply := range replies {
		reply(testTime, result)
	}
}

// intent returns the intent that the methods below act on.
func (l *testLog) intent() *Intent { return l.Get(Deprovision, testTarget) }

func (l *testLog) record() { l.Record(testTime, Deprovision, testTarget, "idle") }

func (l *testLog) recordDurably() {
	l.record()
	l.answerAll(written)
}

func (l *testLog) startCall() {
	l.recordDurably()
	l.StartCall(l.intent())
}

func (l *testLog) finishCall(outcome Outcome) { l.FinishCall(l.intent(), outcome) }

// readyCount returns the number of intents of an operation for which a call may be made.
func (l *testLog) readyCount(operation Operation) int { return len(l.Ready(operation)) }

// deleteCall returns a call that deletes a record under conditions.
func deleteCall(key string, compares []wire.Compare) store.Call {
	transaction := wire.Transaction{Compares: compares, Writes: []wire.Write{store.Delete(key)}}
	return store.Call{Op: store.OpTransaction, Transaction: transaction}
}
