package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"juniperchute/internal/config"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// fixture is a fleet whose calls are caught.
type fixture struct {
	t            *testing.T
	now          time.Time
	autoscaler   *Autoscaler
	registry     *worker.Registry
	scheduler    *placement.Scheduler
	cloudCalls   []CloudCall
	cloudReplies []func(time.Time, CloudResult)
	storeCalls   []store.Call
	storeReplies []func(time.Time, store.Result)
	deleted      []string

	termCompare wire.Compare
	intents     *intentlog.Log
}

func newFixture(t *testing.T) *fixture {
	const token, valueKB = 7, 4
	f := &fixture{t: t, now: time.Unix(1000, 0)}
	deployment := config.Platform{Zones: []string{"a"}, Teams: []config.Team{{Name: "red"}}, Cloud: config.CloudLimits{RPS: 100, ListLagS: 3},
		Workers: config.Workers{HeartbeatS: 1.5, LeaseS: 10}}
	discardLogger := slog.New(slog.NewTextHandler(io.Discard, nil))
	f.registry = worker.NewRegistry(deployment.Workers, discardLogger)
	f.scheduler = placement.NewScheduler(deployment, 7, quota.NewLedger(deployment.Teams, 1), f.registry, rand.New(rand.NewPCG(1, 1)), discardLogger, func(time.Time, *placement.Job) {})
	f.scheduler.MarkReconciled(f.now)
	callStore := func(call store.Call, callback func(time.Time, store.Result)) {
		f.storeCalls, f.storeReplies = append(f.storeCalls, call), append(f.storeReplies, callback)
	}
	f.termCompare = store.VersionEquals("c/b/0", 3)
	f.intents = intentlog.NewLog(intentlog.Options{Token: token, TermCompare: f.termCompare, ValueKB: valueKB, StateCall: callStore, WallClock: func() time.Time { return f.now }, Log: discardLogger, OnTermLost: func(time.Time) {}})
	f.autoscaler = New(f.now, Options{Token: token, TermCompare: f.termCompare, Config: deployment,
		Cloud: func(call CloudCall, callback func(time.Time, CloudResult)) {
			f.cloudCalls, f.cloudReplies = append(f.cloudCalls, call), append(f.cloudReplies, callback)
		},
		Store: callStore, Log: discardLogger, Registry: f.registry, Scheduler: f.scheduler, Intents: f.intents,
		OnTermLost: func(time.Time) {}, OnDeleted: func(_ time.Time, machine *worker.Machine) { f.deleted = append(f.deleted, machine.Host) },
		OwnedByOtherShard: func(string, time.Time) bool { return false }})
	f.autoscaler.ApplyMachineType(wire.MachineType{Name: "g2", Vcpus: 12, Gpus: 2, MemGb: 96, Price: 5, SpotPrice: 2, BootTimeS: 25, Zones: []string{"a"}}, "")
	return f
}

// commitWrites lets the state service take every write.
func (f *fixture) commitWrites() {
	for len(f.storeReplies) > 0 {
		callback := f.storeReplies[0]
		f.storeCalls, f.storeReplies = f.storeCalls[1:], f.storeReplies[1:]
		callback(f.now, store.Result{Revision: 9})
	}
}

// answerCall answers the oldest call of a kind, and returns it.
func (f *fixture) answerCall(operation CloudOperation, result CloudResult) CloudCall {
	f.t.Helper()
	for i, call := range f.cloudCalls {
		if call.Operation == operation {
			callback := f.cloudReplies[i]
			f.cloudCalls, f.cloudReplies = append(f.cloudCalls[:i:i], f.cloudCalls[i+1:]...), append(f.cloudReplies[:i:i], f.cloudReplies[i+1:]...)
			callback(f.now, result)
			return call
		}
	}
	f.t.Fatalf("no call of kind %d", operation)
	return CloudCall{}
}

func (f *fixture) hasCall(operation CloudOperation) bool {
	for _, call := range f.cloudCalls {
		if call.Operation == operation {
			return true
		}
	}
	return false
}

func (f *fixture) advance(duration time.Duration) {
	f.now = f.now.Add(duration)
	f.autoscaler.Tick(f.now)
}

// A rental's name is durable before the cloud hears it, stays the same until the
// answer is certain, and is never used for another rental.
func TestProvisioningRequest(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []CloudResult
		again   bool // the same name is asked for once more
		hosts   int
	}{
		{"granted", []CloudResult{{Status: 200, Hosts: []string{"i-1"}}}, false, 1},
		{"no answer, then granted", []CloudResult{{}, {Status: 200, Hosts: []string{"i-1"}}}, false, 1},
		{"outage, then granted", []CloudResult{{Status: 503, Error: "trouble"}, {Status: 200, Hosts: []string{"i-1"}}}, false, 1},
		{"rate limit", []CloudResult{{Status: 429}}, true, 0},
		{"none to be had", []CloudResult{{Status: 503, Error: NoCapacity}}, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.scheduler.AddJob(f.now, wire.JobSpec{ID: "job-1", Team: "red", Class: "l", Shape: wire.ShapeGang, Priority: "low", Tasks: 1,
				Vcpus: 10, Gpus: 2, MemGb: 77, AnyType: true, Spot: true}, f.now, 1, false)
			f.advance(0)
			if f.hasCall(CreateMachines) {
				t.Fatal("asked the cloud before the name was durable")
			}
			f.commitWrites()
			name := ""
			for _, answer := range test.answers {
				f.advance(2 * time.Second)
				sent := f.answerCall(CreateMachines, answer).Request
				if name != "" && sent.Name != name {
					t.Errorf("asked for %s after %s", sent.Name, name)
				}
				if name = sent.Name; !sent.Spot {
					t.Error("asked for an ordinary machine where a cheap one would do")
				}
			}
			f.commitWrites()
			f.advance(2 * time.Second)
			again := false
			for _, call := range f.cloudCalls {
				again = again || call.Operation == CreateMachines && call.Request.Name == name
			}
			if again != test.again || len(f.registry.All()) != test.hosts {
				t.Errorf("asked again: %t, machines %d", again, len(f.registry.All()))
			}
		})
	}
}

// A morning asks for hundreds of machines at once: in rentals of the cloud's size, and
// never more than the operators' bound, those not yet granted counted.
func TestRequestSizes(t *testing.T) {
	for _, test := range []struct {
		name        string
		most, total int
	}{
		{"no bound", 0, 300},
		{"the operators' bound", 70, 70},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.autoscaler.Settings.MaxMachines = test.most
			f.scheduler.AddJob(f.now, wire.JobSpec{ID: "job-1", Team: "red", Class: "l", Shape: wire.ShapeGang, Priority: "low", Tasks: 150,
				Vcpus: 10, Gpus: 2, MemGb: 77, AnyType: true, Spot: true}, f.now, 1, false)
			f.scheduler.AddJob(f.now, wire.JobSpec{ID: "job-2", Team: "red", Class: "l", Shape: wire.ShapeGang, Priority: "low", Tasks: 150,
				Vcpus: 10, Gpus: 2, MemGb: 77, AnyType: true}, f.now, 2, false)
			total := 0
			for range 5 {
				f.advance(tuning.ScaleOutInterval)
				f.commitWrites()
			}
			for _, request := range f.autoscaler.sortedRequests() {
				total += request.record.Number
				if request.record.Number < 1 || request.record.Number > 50 {
					t.Errorf("a rental of %d", request.record.Number)
				}
			}
			if total != test.total {
				t.Errorf("%d machines asked for, want %d", total, test.total)
			}
		})
	}
}

// What a successor makes of rental records: a name without an answer is asked for
// again, only machines that were used are waited for.
func TestRecoverRequests(t *testing.T) {
	f := newFixture(t)
	for name, record := range map[string]ProvisioningRecord{
		"b0-3-1": {Type: "g2", Zone: "a", Number: 2, Hosts: []string{"i-1", "i-2"}},
		"b0-3-2": {Type: "g2", Zone: "a", Number: 1},
	} {
		raw, _ := json.Marshal(record)
		f.autoscaler.LoadRequest(f.now, wire.KeyValue{Key: "h/0/" + name, Value: raw, Version: 4})
	}
	f.autoscaler.LoadRegistrations(f.now, []wire.KeyValue{{Key: "u/0/0", Value: json.RawMessage(`{"i-0":"10.1.0.9:9000","i-1":"10.1.0.1:9000"}`), Version: 5}})
	if machine := f.registry.Get("i-1"); machine.State != worker.Unreconciled || machine.Address != "10.1.0.1:9000" || machine.Capacity.GPUs != 2 {
		t.Errorf("used machine: %+v", machine)
	}
	if machine := f.registry.Get("i-2"); machine.State != worker.Booting || machine.Registered {
		t.Errorf("unused machine: %+v", machine)
	}
	f.advance(0)
	if call := f.answerCall(CreateMachines, CloudResult{Status: 200, Hosts: []string{"i-3"}}); call.Request.Name != "b0-3-2" {
		t.Errorf("asked for %s", call.Request.Name)
	}
	if f.registry.Get("i-3") == nil {
		t.Error("the answer's machine is not known")
	}
}

// makeUnreachable makes a machine one whose reports come, and nothing reaches it.
func makeUnreachable(machine *worker.Machine, now time.Time) {
	machine.ReplyConfirmed, machine.Needed, machine.UnconfirmedSince, machine.LastHeartbeat = false, true, now, now.Add(time.Second)
}

// Which machines go back, and that one with work never does.
func TestScaleIn(t *testing.T) {
	for _, test := range []struct {
		name  string
		state worker.State
		set   func(machine *worker.Machine, now time.Time)
		wait  time.Duration
		goes  bool
	}{
		{"idle", worker.Up, nil, tuning.MachineIdleTimeout + time.Second, true},
		{"not idle for long", worker.Up, nil, tuning.MachineIdleTimeout / 2, false},
		{"working", worker.Up, func(machine *worker.Machine, _ time.Time) { machine.ActiveCopies = 1 }, time.Hour, false},
		{"working and faulty", worker.Up, func(machine *worker.Machine, _ time.Time) { machine.ActiveCopies, machine.Quarantined = 1, true }, time.Hour, false},
		{"faulty", worker.Up, func(machine *worker.Machine, _ time.Time) { machine.Quarantined = true }, time.Second, true},
		{"promised", worker.Up, func(machine *worker.Machine, _ time.Time) { machine.Reserved = quota.Resources{CPUs: 1} }, time.Minute, false},
		{"an unanswered command, nothing else", worker.Up, func(machine *worker.Machine, _ time.Time) { machine.UnansweredCommands = 1 }, time.Second, true},
		{"no answer reaches it", worker.Up, makeUnreachable, 2*10*time.Second + time.Second, true},
		{"no answer reached it for a lease", worker.Up, makeUnreachable, 12 * time.Second, false},
		{"booting", worker.Booting, nil, 60 * time.Second, false},
		{"stuck boot", worker.Booting, nil, 80 * time.Second, true},
		{"silent", worker.Unresponsive, nil, 9 * time.Second, false},
		{"taken", worker.Unresponsive, func(machine *worker.Machine, now time.Time) { machine.PreemptionTime = now }, 3 * time.Second, true},
		{"silent past its lease", worker.LeaseExpired, nil, tuning.LeaseExpiredTimeout + time.Second, true},
		{"never heard after a takeover", worker.Unreconciled, nil, 11 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			machine := f.registry.Add(f.now, "i-1", test.state)
			machine.Type, machine.Registered, machine.Recorded, machine.IdleSince = "g2", true, true, f.now
			if test.set != nil {
				test.set(machine, f.now)
			}
			f.now = f.now.Add(test.wait)
			f.autoscaler.scaleIn(f.now)
			if got := machine.State == worker.Deleting; got != test.goes {
				t.Errorf("returned: %t, want %t", got, test.goes)
			}
		})
	}
}

// Whatever was begun before a takeover waits for the last machine that was not
// heard: one that the cloud had taken held a fleet up for 19 s. A few are given up
// soon; as many as a cut takes away are not.
func TestFewUnreconciled(t *testing.T) {
	for _, test := range []struct {
		name    string
		fleet   int
		unheard int
		after   time.Duration
		goes    bool
	}{
		{"one of a large fleet", 200, 1, tuning.FewUnreconciledTimeout + time.Second, true},
		{"one of a large fleet, at once", 200, 1, tuning.FewUnreconciledTimeout / 2, false},
		{"as many as a cut takes away", 200, 20, tuning.FewUnreconciledTimeout + time.Second, false},
		{"one of a small fleet", 30, 1, tuning.FewUnreconciledTimeout + time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			for i := range test.fleet {
				machine := f.registry.Add(f.now, fmt.Sprintf("i-%03d", i), worker.Up)
				machine.Type, machine.Registered, machine.Recorded, machine.ActiveCopies = "g2", true, true, 1
				if i < test.unheard {
					f.registry.SetState(f.now, machine, worker.Unreconciled, "test")
				}
			}
			f.now = f.now.Add(test.after)
			f.autoscaler.scaleIn(f.now)
			if got := f.intents.Pending(); got != 0 != test.goes || test.goes && got != test.unheard {
				t.Errorf("%d returned, want any: %t", got, test.goes)
			}
		})
	}
}

// A takeover need not wait for the lease of a machine that the cloud no longer
// lists; one list may be too old to show it.
func TestUnreconciledAndNotListed(t *testing.T) {
	f := newFixture(t)
	raw, _ := json.Marshal(ProvisioningRecord{Type: "g2", Zone: "a", Number: 2, Hosts: []string{"i-1", "i-2"}})
	f.autoscaler.LoadRequest(f.now, wire.KeyValue{Key: "h/0/b0-3-1", Value: raw, Version: 4})
	f.autoscaler.LoadRegistrations(f.now, []wire.KeyValue{{Key: "u/0/0", Value: json.RawMessage(`{"i-1":"10.1.0.1:9000","i-2":"10.1.0.2:9000"}`), Version: 5}})
	f.advance(0)
	for i := range tuning.UnreconciledMissedListsLimit {
		if machine := f.registry.Get("i-2"); machine.State != worker.Unreconciled {
			t.Fatalf("%v after %d lists", machine.State, i)
		}
		f.answerCall(ListMachines, CloudResult{Status: 200, Page: wire.MachinePage{Machines: []wire.Machine{{ID: "i-1", Type: "g2", Zone: "a", State: wire.MachineRunning}}}})
		f.advance(tuning.ListInterval)
	}
	if listed, unlisted := f.registry.Get("i-1").State, f.registry.Get("i-2").State; listed != worker.Unreconciled || unlisted != worker.Deleting {
		t.Errorf("listed: %v, not listed: %v", listed, unlisted)
	}
}

// A machine that nobody expected is adopted once no rental under way may explain
// it, and not because a list lags behind a deletion.
func TestAdoptUnexpected(t *testing.T) {
	f := newFixture(t)
	list := CloudResult{Status: 200, Page: wire.MachinePage{Machines: []wire.Machine{{ID: "i-9", Type: "g2", Zone: "a", State: wire.MachineRunning}}}}
	for i := range tuning.AdoptionLists + 1 {
		f.advance(tuning.ListInterval + time.Second)
		if known := f.registry.Get("i-9") != nil; known != (i >= tuning.AdoptionLists) {
			t.Fatalf("after %d lists: known %t", i, known)
		}
		f.answerCall(ListMachines, list)
	}
	machine := f.registry.Get("i-9")
	if machine == nil || !machine.Recorded || len(f.storeCalls) == 0 || f.storeCalls[len(f.storeCalls)-1].Transaction.Writes == nil {
		t.Fatalf("not adopted: %+v", machine)
	}
}

// A rental request's record names all its machines: it asks for no more than fit the state
// service's limits, present and to come.
func TestRequestFitsLimits(t *testing.T) {
	for _, test := range []struct {
		name    string
		valueKB float64
		most    int
	}{
		{"as now", 4, tuning.MaxMachinesPerRequest},
		{"half of that", 2, tuning.MaxMachinesPerRequest},
		{"half a KiB", 0.5, 17},
		{"next to nothing", 0.1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.autoscaler.config.State = config.StateLimits{ValueKB: 4, Next: config.UpcomingLimits{"value_kb": test.valueKB}}
			n := f.autoscaler.maxRequestSize()
			record := ProvisioningRecord{Type: "g2", Zone: "a", Spot: true, Number: n}
			for i := range n {
				record.Hosts = append(record.Hosts, fmt.Sprintf("i-%06d", i))
			}
			raw, _ := json.Marshal(record)
			if n != test.most || n > 1 && float64(len(raw)) > test.valueKB*1024 {
				t.Errorf("%d machines, %d bytes", n, len(raw))
			}
		})
	}
}

// The pages of a large fleet's list keep to the cloud's rate, and lists of many pages come
// less often.
func TestListPages(t *testing.T) {
	const pages, rps = 8, 2
	f := newFixture(t)
	f.autoscaler.config.Cloud.RPS = rps
	f.autoscaler.rateLimiter = rate.NewLimiter(rps*tuning.CloudRateShare, 1)
	var asked []time.Time
	start := f.now
	for len(asked) < pages+1 {
		f.advance(100 * time.Millisecond)
		if f.now.Sub(start) > time.Minute {
			t.Fatalf("%d pages in a minute", len(asked))
		}
		for f.hasCall(ListMachineTypes) {
			f.answerCall(ListMachineTypes, CloudResult{Status: 200})
		}
		if !f.hasCall(ListMachines) {
			continue
		}
		n := len(asked) % pages
		asked = append(asked, f.now)
		page := wire.MachinePage{Machines: []wire.Machine{{ID: fmt.Sprintf("i-%d", n), State: wire.MachineRunning}}, More: n < pages-1}
		if call := f.answerCall(ListMachines, CloudResult{Status: 200, Page: page}); n > 0 && call.After != fmt.Sprintf("i-%d", n-1) {
			t.Errorf("page %d begins after %q", n, call.After)
		}
	}
	if took := asked[pages-1].Sub(asked[0]); took < (pages-2)*time.Second/rps {
		t.Errorf("%d pages within %v", pages, took)
	}
	if pause, share := asked[pages].Sub(asked[pages-1]), float64(pages)/(rps*tuning.ListRateShare); pause.Seconds() < share {
		t.Errorf("the next list began after %v, its share of the rate allows one in %v s", pause, share)
	}
}
