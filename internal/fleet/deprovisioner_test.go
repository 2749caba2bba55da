package fleet

import (
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Records of request b0-3-1 in TestRecoveredIntent.
const (
	grantedRecord    = `{"Build":"g2","Yard":"a","Number":1,"Hosts":["i-1"]}`
	unansweredRecord = `{"Build":"g2","Yard":"a","Number":1}`
	otherHostRecord  = `{"Build":"g2","Yard":"a","Number":1,"Hosts":["i-8"]}`
)

// unknownMachine stands for the state of a machine that is not in the registry.
const unknownMachine worker.State = -1

type recoveredIntentTest struct {
	name         string
	token        uint64 // token of the intent
	record       string
	setup        func(f *fixture)
	wantDeletion bool
	wantState    worker.State
	wantKept     bool // the intent is still in the log
}

var recoveredIntentTests = []recoveredIntentTest{
	{
		name:         "intent of the previous term: deleted at once",
		token:        6,
		record:       grantedRecord,
		wantDeletion: true, wantState: worker.Deleting, wantKept: true,
	},
	{
		name:         "intent of an older term, no contact: not deleted yet",
		token:        4,
		record:       grantedRecord,
		wantDeletion: false, wantState: worker.Deleting, wantKept: true,
	},
	{
		name:         "contact, no tasks: deleted",
		token:        4,
		record:       grantedRecord,
		setup:        sendHeartbeat(nil),
		wantDeletion: true, wantState: worker.Deleting, wantKept: true,
	},
	{
		name:         "contact, tasks of an intermediate term: intent abandoned",
		token:        4,
		record:       grantedRecord,
		setup:        sendHeartbeat(workOfTerm(5)),
		wantDeletion: false, wantState: worker.Up, wantKept: false,
	},
	{
		name:         "contact, tasks of the intent's own term: deleted",
		token:        4,
		record:       grantedRecord,
		setup:        sendHeartbeat(workOfTerm(4)),
		wantDeletion: true, wantState: worker.Deleting, wantKept: true,
	},
	{
		name:         "no contact, lease expired: deleted",
		token:        4,
		record:       grantedRecord,
		setup:        expireLeases,
		wantDeletion: true, wantState: worker.Deleting, wantKept: true,
	},
	{
		name:         "no record, pending request, previous term: deleted",
		token:        6,
		record:       unansweredRecord,
		wantDeletion: true, wantState: unknownMachine, wantKept: true,
	},
	{
		name:         "no record, pending request, older term: not deleted yet",
		token:        4,
		record:       unansweredRecord,
		wantDeletion: false, wantState: unknownMachine, wantKept: true,
	},
	{
		name:         "no record, no pending request: intent completed without a call",
		token:        6,
		record:       otherHostRecord,
		wantDeletion: false, wantState: unknownMachine, wantKept: false,
	},
}

func workOfTerm(token uint64) []wire.TaskStatus {
	return []wire.TaskStatus{{Name: "job-1/0", Attempt: token<<tuning.AttemptBits | 1, State: wire.TaskRunning}}
}

// sendHeartbeat returns a setup in which machine i-1 sends a heartbeat that reports tasks.
func sendHeartbeat(tasks []wire.TaskStatus) func(f *fixture) {
	return func(f *fixture) {
		machine := f.registry.Get("i-1")
		status := &wire.Heartbeat{Host: "i-1", Incarnation: 1, Sequence: 1, Type: "g2", Zone: "a", Tasks: tasks}
		f.registry.ApplyHeartbeat(f.now, machine, status, worker.FromHeartbeat)
		f.autoscaler.HandleHeartbeat(f.now, machine)
	}
}

func expireLeases(f *fixture) {
	f.advance(f.registry.LeaseTimeout() + time.Minute)
	f.registry.ExpireLeases(f.now, f.now.Add(-time.Second))
}

// A successor, with token 7, does not delete a machine that an intermediate term may be using.
func TestRecoveredIntent(t *testing.T) {
	for _, test := range recoveredIntentTests {
		t.Run(test.name, func(t *testing.T) {
			f := newLoggedFixture(t, intentPage("i-1", intentlog.Deprovision, test.token))
			f.loadUsedMachine(test.record)
			if test.setup != nil {
				test.setup(f)
			}
			f.advance(time.Second)
			if deletes := len(f.deletedHosts()) > 0; deletes != test.wantDeletion {
				t.Errorf("deleted %v, want a deletion: %t", f.deletedHosts(), test.wantDeletion)
			}
			state := unknownMachine
			if machine := f.registry.Get("i-1"); machine != nil {
				state = machine.State
			}
			if state != test.wantState {
				t.Errorf("state %d, want %d", state, test.wantState)
			}
			if kept := f.intents.Get(intentlog.Deprovision, "i-1") != nil; kept != test.wantKept {
				t.Errorf("intent kept: %t, want %t", kept, test.wantKept)
			}
		})
	}
}

// A machine with a termination intent gets no tasks if a pending request is granted with it.
func TestLateGrantOfTerminatedMachine(t *testing.T) {
	f := newLoggedFixture(t, intentPage("i-1", intentlog.Deprovision, 4))
	f.loadUsedMachine(`{"Build":"g2","Yard":"a","Number":2}`)
	f.advance(time.Second)
	f.answerCall(cloud.CreateMachines, granted("i-1", "i-2"))
	if machine := f.registry.Get("i-1"); machine == nil || machine.State != worker.Deleting {
		t.Errorf("machine with an intent: %+v, want state %v", machine, worker.Deleting)
	}
	if machine := f.registry.Get("i-2"); machine == nil || machine.State != worker.Booting {
		t.Errorf("machine without an intent: %+v, want state %v", machine, worker.Booting)
	}
}

// A deletion intent is kept until a durable record no longer names the machine. Otherwise a successor
// would wait for contact with a machine that does not exist.
func TestIntentOutlivesRecord(t *testing.T) {
	f := newLoggedFixture(t, intentPage("i-1", intentlog.Deprovision, 6))
	f.loadUsedMachine(`{"Build":"g2","Yard":"a","Number":2,"Hosts":["i-1","i-2"]}`)
	f.advance(time.Second)
	f.answerCall(cloud.DeleteMachines, cloud.Success(cloud.Response{}))
	if intent := f.intents.Get(intentlog.Deprovision, "i-1"); intent == nil || intent.State() != intentlog.Completed {
		t.Fatalf("%+v", intent)
	}
	f.advance(time.Second)
	f.commitWrites()
	if f.intents.Get(intentlog.Deprovision, "i-1") != nil {
		t.Error("intent kept after the record became durable")
	}
}

// A deletion intent is kept when an older version of the record, which names the machine, becomes
// durable.
func TestIntentOutlivesOlderVersion(t *testing.T) {
	f := newLoggedFixture(t)
	f.loadUsedMachine(`{"Build":"g2","Yard":"a","Number":3,"Hosts":["i-1","i-2","i-3"]}`)
	f.terminateAndDelete("i-1")
	f.advance(0) // starts the write of the record without i-1
	older := f.storeReplies
	f.storeCalls, f.storeReplies = nil, nil
	if len(older) == 0 {
		t.Fatal("the record is not written")
	}
	f.intents.Record(f.now, intentlog.Deprovision, "i-2", "idle")
	f.autoscaler.forgetMachine(f.now, "i-2")
	for _, callback := range older {
		callback(f.now, store.Result{Revision: 20})
	}
	request := f.autoscaler.provisioner.byHost["i-3"]
	if len(request.pendingRemovals) != 1 || request.pendingRemovals[0].host != "i-2" {
		t.Errorf("pending removals after the older version: %+v", request.pendingRemovals)
	}
	f.commitWrites()
	f.advance(0)
	f.commitWrites()
	if len(request.pendingRemovals) != 0 {
		t.Errorf("pending removals after the newest version: %+v", request.pendingRemovals)
	}
}

func (f *fixture) terminateAndDelete(host string) {
	f.t.Helper()
	f.autoscaler.deprovisioner.terminate(f.now, f.registry.Get(host), deprovision("idle"))
	f.commitWrites() // including the intent
	f.advance(tuning.IntentWriteInterval)
	f.commitWrites()
	f.autoscaler.deprovisioner.deleteMachines(f.now)
	f.answerCall(cloud.DeleteMachines, cloud.Success(cloud.Response{}))
}

// A machine remains in use while the log is too full for the intent to terminate it.
func TestIntentLogFull(t *testing.T) {
	f := newLoggedFixture(t)
	for i := range tuning.MaxOpenIntents {
		f.intents.Record(f.now, intentlog.Reclaim, fmt.Sprintf("x-%d", i), "")
	}
	machine := f.registry.Add(f.now, "i-1", worker.Up)
	machine.Incarnation, machine.LastContact, machine.IdleSince = 1, f.now, f.now.Add(-time.Hour)
	f.advance(time.Second)
	if machine.State != worker.Up {
		t.Errorf("state %v without a logged intent, want %v", machine.State, worker.Up)
	}
}
