package fleet

import (
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// newLoggedFixture is a fleet whose duties are logged; items are the pages of the log that an
// earlier tenure left.
func newLoggedFixture(t *testing.T, items ...wire.KeyValue) *fixture {
	f := newFixture(t)
	f.intents.EnableDurability()
	f.intents.Load(items)
	return f
}

// intentPage is a page of the log with one entry.
func intentPage(host string, operation intentlog.Operation, token uint64) wire.KeyValue {
	return wire.KeyValue{Key: "d/0/0", Value: fmt.Appendf(nil, `{%q:{"Duty":%q,"Token":%d,"At":0}}`, host, operation, token), Version: 5}
}

func requestItem(value string) wire.KeyValue {
	return wire.KeyValue{Key: "h/0/b0-3-1", Value: []byte(value), Version: 4}
}

// loadRequest loads what earlier tenures wrote: one rental, and its machine as used.
func (f *fixture) loadRequest(record string) {
	f.autoscaler.LoadRequest(f.now, requestItem(record))
	f.autoscaler.LoadRegistrations(f.now, []wire.KeyValue{{Key: "u/0/0", Value: []byte(`{"i-1":"addr"}`), Version: 3}})
}

// deletedHosts is the machines of the deletions asked for.
func (f *fixture) deletedHosts() (out []string) {
	for _, call := range f.cloudCalls {
		if call.Operation == DeleteMachines {
			out = append(out, call.Hosts...)
		}
	}
	return out
}

// What a successor, with token 7, does with an entry that it finds.
func TestRecoveredIntent(t *testing.T) {
	const granted, unanswered = `{"Build":"g2","Yard":"a","Number":1,"Hosts":["i-1"]}`, `{"Build":"g2","Yard":"a","Number":1}`
	work := func(token uint64) []wire.TaskStatus {
		return []wire.TaskStatus{{Name: "job-1/0", Attempt: token<<tuning.AttemptBits | 1, State: wire.TaskRunning}}
	}
	heard := func(tasks []wire.TaskStatus) func(f *fixture) {
		return func(f *fixture) {
			machine := f.registry.Get("i-1")
			f.registry.ApplyHeartbeat(f.now, machine, &wire.Heartbeat{Host: "i-1", Incarnation: 1, Sequence: 1, Type: "g2", Zone: "a", Tasks: tasks}, true)
			f.autoscaler.HandleHeartbeat(f.now, machine)
		}
	}
	leaseOver := func(f *fixture) {
		f.advance(f.registry.LeaseExpiry() + time.Minute)
		f.registry.ExpireLeases(f.now, f.now.Add(-time.Second))
	}
	for _, test := range []struct {
		name    string
		token   uint64 // of the entry
		rental  string
		play    func(f *fixture)
		deletes bool
		state   worker.State
		kept    bool // the entry is still there
	}{
		{"of the tenure before: completed at once", 6, granted, nil, true, worker.Deleting, true},
		{"of an earlier one: the machine is heard first", 4, granted, nil, false, worker.Deleting, true},
		{"heard without work", 4, granted, heard(nil), true, worker.Deleting, true},
		{"heard with work of a tenure since, which read no log", 4, granted, heard(work(5)), false, worker.Up, false},
		{"heard with work of the entry's own tenure", 4, granted, heard(work(4)), true, worker.Deleting, true},
		{"never heard, and its lease is over", 4, granted, leaseOver, true, worker.Deleting, true},
		{"a rental that is not answered may name it: deleted by its name", 6, unanswered, nil, true, -1, true},
		{"the same, and another tenure may have used it", 4, unanswered, nil, false, -1, true},
		{"no rental names it: it is gone", 6, `{"Build":"g2","Yard":"a","Number":1,"Hosts":["i-8"]}`, nil, false, -1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newLoggedFixture(t, intentPage("i-1", intentlog.Deprovision, test.token))
			f.loadRequest(test.rental)
			if test.play != nil {
				test.play(f)
			}
			f.advance(time.Second)
			if deletes := len(f.deletedHosts()) > 0; deletes != test.deletes {
				t.Errorf("deletions %v", f.deletedHosts())
			}
			if machine := f.registry.Get("i-1"); machine == nil && test.state >= 0 || machine != nil && machine.State != test.state {
				t.Errorf("machine %+v, want it %v", machine, test.state)
			}
			if kept := f.intents.Get(intentlog.Deprovision, "i-1") != nil; kept != test.kept {
				t.Errorf("entry kept: %v", kept)
			}
		})
	}
}

// A rental that turns out to name an entered machine brings none: it gets no work.
func TestLateGrantOfTerminatedMachine(t *testing.T) {
	f := newLoggedFixture(t, intentPage("i-1", intentlog.Deprovision, 4))
	f.loadRequest(`{"Build":"g2","Yard":"a","Number":2}`)
	f.advance(time.Second)
	f.answerCall(CreateMachines, CloudResult{Status: 200, Hosts: []string{"i-1", "i-2"}})
	if machine := f.registry.Get("i-1"); machine == nil || machine.State != worker.Deleting {
		t.Errorf("entered: %+v", machine)
	}
	if machine := f.registry.Get("i-2"); machine == nil || machine.State != worker.Booting {
		t.Errorf("not entered: %+v", machine)
	}
}

// The entry of a deletion stays until the rental's record does not name the machine: a
// successor that found the machine there and no entry would wait for it.
func TestIntentOutlivesRecord(t *testing.T) {
	f := newLoggedFixture(t, intentPage("i-1", intentlog.Deprovision, 6))
	f.loadRequest(`{"Build":"g2","Yard":"a","Number":2,"Hosts":["i-1","i-2"]}`)
	f.advance(time.Second)
	f.answerCall(DeleteMachines, CloudResult{Status: 200})
	if intent := f.intents.Get(intentlog.Deprovision, "i-1"); intent == nil || intent.State() != intentlog.Completed {
		t.Fatalf("%+v", intent)
	}
	f.advance(time.Second)
	f.commitWrites()
	if f.intents.Get(intentlog.Deprovision, "i-1") != nil {
		t.Error("kept although the record is durable")
	}
}

// An older version of the record, which becomes durable later, names the machine still.
func TestIntentOutlivesOlderVersion(t *testing.T) {
	f := newLoggedFixture(t)
	f.loadRequest(`{"Build":"g2","Yard":"a","Number":3,"Hosts":["i-1","i-2","i-3"]}`)
	end := func(host string) {
		f.autoscaler.terminate(f.now, f.registry.Get(host), deprovision("idle"))
		f.commitWrites() // its entry, and whatever is not durable yet
		f.advance(tuning.IntentWriteInterval)
		f.commitWrites()
		f.autoscaler.deleteMachines(f.now)
		f.answerCall(DeleteMachines, CloudResult{Status: 200})
	}
	end("i-1")
	f.advance(0) // the record without i-1 is being written
	older := f.storeReplies
	f.storeCalls, f.storeReplies = nil, nil
	if len(older) == 0 {
		t.Fatal("the record is not written")
	}
	f.intents.Record(f.now, intentlog.Deprovision, "i-2", "idle")
	f.autoscaler.removeFromRecord(f.now, "i-2")
	for _, callback := range older {
		callback(f.now, store.Result{Revision: 20})
	}
	request := f.autoscaler.requestByHost["i-3"]
	if len(request.deletedMachines) != 1 || request.deletedMachines[0].host != "i-2" {
		t.Errorf("waiting for the record: %+v", request.deletedMachines)
	}
	f.commitWrites()
	f.advance(0)
	f.commitWrites()
	if len(request.deletedMachines) != 0 {
		t.Errorf("still waiting: %+v", request.deletedMachines)
	}
}

// A refused rental's name while its call may be repeated late.
func TestRefusedRequest(t *testing.T) {
	refused := CloudResult{Status: 503, Error: NoCapacity}
	refuseOne := func(t *testing.T, f *fixture) CloudCall {
		t.Helper()
		f.scheduler.AddJob(f.now, wire.JobSpec{ID: "job-1", Team: "red", Class: "l", Shape: wire.ShapeGang, Priority: "low", Tasks: 1,
			Vcpus: 10, Gpus: 2, MemGb: 77, AnyType: true}, f.now, 1, false)
		f.advance(0)
		f.commitWrites()
		f.advance(time.Second)
		return f.answerCall(CreateMachines, refused)
	}
	t.Run("the next rental of the kind asks by the same name", func(t *testing.T) {
		f := newLoggedFixture(t)
		first := refuseOne(t, f)
		f.advance(tuning.NoCapacityPause)
		f.commitWrites()
		f.advance(tuning.ScaleOutInterval)
		if again := f.answerCall(CreateMachines, CloudResult{Status: 200, Hosts: []string{"i-1"}}); again.Request != first.Request {
			t.Errorf("%+v, then %+v", first.Request, again.Request)
		}
	})
	t.Run("a machine that no record explains: asked again", func(t *testing.T) {
		f := newLoggedFixture(t)
		first := refuseOne(t, f)
		f.autoscaler.Settings.Paused = true // no demand
		f.advance(tuning.NoCapacityPause)
		machine := f.registry.Add(f.now, "i-5", worker.Booting)
		machine.Type, machine.Zone = "g2", "a"
		f.autoscaler.HandleHeartbeat(f.now, machine)
		f.advance(time.Second)
		if again := f.answerCall(CreateMachines, CloudResult{Status: 200, Hosts: []string{"i-5"}}); again.Request != first.Request {
			t.Errorf("%+v, then %+v", first.Request, again.Request)
		}
		f.commitWrites()
		if f.autoscaler.requestByHost["i-5"] == nil || f.autoscaler.requestByHost["i-5"].name != first.Request.Name {
			t.Errorf("explained by %+v", f.autoscaler.requestByHost["i-5"])
		}
	})
	t.Run("dropped when no repeat can come any more", func(t *testing.T) {
		f := newLoggedFixture(t)
		refuseOne(t, f)
		f.autoscaler.Settings.Paused = true
		f.advance(tuning.LateCallWindow - time.Second)
		if len(f.autoscaler.requests) != 1 {
			t.Fatalf("%d rentals", len(f.autoscaler.requests))
		}
		f.advance(2 * time.Second)
		f.commitWrites()
		if len(f.autoscaler.requests) != 0 || f.intents.Pending() != 0 {
			t.Errorf("%d rentals, %d open actions", len(f.autoscaler.requests), f.intents.Pending())
		}
	})
	t.Run("dropped at once where duties are not logged", func(t *testing.T) {
		f := newFixture(t)
		refuseOne(t, f)
		f.commitWrites()
		if len(f.autoscaler.requests) != 0 {
			t.Errorf("%d rentals", len(f.autoscaler.requests))
		}
	})
}

// A machine stays in use while the log has no room for its return.
func TestIntentLogFull(t *testing.T) {
	f := newLoggedFixture(t)
	for i := range tuning.MaxOpenIntents {
		f.intents.Record(f.now, intentlog.Reclaim, fmt.Sprintf("x-%d", i), "")
	}
	machine := f.registry.Add(f.now, "i-1", worker.Up)
	machine.Incarnation, machine.LastContact, machine.IdleSince = 1, f.now, f.now.Add(-time.Hour)
	f.advance(time.Second)
	if machine.State != worker.Up {
		t.Errorf("%v although its return is not entered", machine.State)
	}
}
