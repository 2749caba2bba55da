package intentlog

import (
	"fmt"
	"testing"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
)

// Intents share one write, and each becomes ready with the write that contains it.
func TestEntriesShareWrites(t *testing.T) {
	log := newDurableTestLog()
	for i := range 5 {
		log.Record(testTime, Deprovision, fmt.Sprintf("i-%d", i), "idle")
	}
	if len(log.calls) != 1 {
		t.Fatalf("%d writes in flight", len(log.calls))
	}
	first := log.calls[0].Transaction
	if first.Compares[0] != termCompare || first.Compares[1] != store.VersionEquals("d/0/0", 0) {
		t.Errorf("conditions: %v", first.Compares)
	}
	log.answerAll(store.Result{Revision: 9})
	if ready := log.readyCount(Deprovision); ready != 1 {
		t.Errorf("%d ready after the first write, want 1", ready)
	}
	log.Tick(testTime.Add(tuning.IntentWriteInterval))
	if len(log.calls) != 1 {
		t.Fatalf("%d writes for the other intents, want 1", len(log.calls))
	}
	entries, err := ReadPage(log.calls[0].Transaction.Writes[0].Value)
	if err != nil || len(entries) != 5 || entries[0].Token != testToken {
		t.Errorf("%v, %v", entries, err)
	}
	log.answerAll(store.Result{Revision: 10})
	if ready := log.readyCount(Deprovision); ready != 5 {
		t.Errorf("%d ready after the second write, want 5", ready)
	}
}

// A full log rejects new intents without side effects until some are completed.
func TestFullLog(t *testing.T) {
	log := newTestLog()
	for i := range tuning.MaxOpenIntents {
		if !log.Record(testTime, Deprovision, fmt.Sprintf("i-%d", i), "idle") {
			t.Fatalf("intent %d rejected before the log is full", i)
		}
	}
	if log.Record(testTime, Deprovision, "i-more", "idle") || log.Get(Deprovision, "i-more") != nil {
		t.Fatal("recorded although the log is full")
	}
	intent := log.Get(Deprovision, "i-3")
	log.StartCall(intent)
	log.FinishCall(intent, Done)
	log.Forget(intent)
	if !log.Record(testTime, Deprovision, "i-more", "idle") {
		t.Error("rejected after one was completed")
	}
}

// Without durability, intents are ready at once and the log writes nothing.
func TestRecordWithoutDurability(t *testing.T) {
	log := newTestLog()
	log.Record(testTime, Reclaim, testTarget, "unresponsive")
	if len(log.calls) != 0 || log.readyCount(Reclaim) != 1 {
		t.Errorf("%d writes, %d ready", len(log.calls), log.readyCount(Reclaim))
	}
}
