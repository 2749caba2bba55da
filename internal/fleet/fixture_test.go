package fleet

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/config"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// fixture is an autoscaler with token 7 for shard 0. It captures calls until a test answers them.
type fixture struct {
	t            *testing.T
	now          time.Time
	autoscaler   *Autoscaler
	registry     *worker.Registry
	scheduler    *placement.Scheduler
	intents      *intentlog.Log
	cloudCalls   []cloud.Call
	cloudReplies []func(time.Time, cloud.Result)
	storeCalls   []store.Call
	storeReplies []func(time.Time, store.Result)
}

func newFixture(t *testing.T) *fixture {
	const token, valueKB = 7, 4
	f := &fixture{t: t, now: time.Unix(1000, 0)}
	platform := config.Platform{Zones: []string{"a"}, Teams: []config.Team{{Name: "red"}},
		Cloud: config.CloudLimits{RPS: 100, ListLagS: 3}, Workers: config.Workers{HeartbeatS: 1.5, LeaseS: 10}}
	discardLogger := slog.New(slog.NewTextHandler(io.Discard, nil))
	f.registry = worker.NewRegistry(platform.Workers, discardLogger)
	f.scheduler = placement.NewScheduler(placement.Options{
		Platform: platform, Token: token, Ledger: quota.NewLedger(platform.Teams, 1), Registry: f.registry,
		Rand: rand.New(rand.NewPCG(1, 1)), Log: discardLogger, OnTaskCompleted: func(time.Time, *placement.Job) {},
	})
	f.scheduler.MarkReconciled()
	termCompare := store.VersionEquals("c/b/0", 3)
	f.intents = intentlog.NewLog(intentlog.Options{Token: token, TermCompare: termCompare, ValueKB: valueKB,
		StateCall: f.callStore, WallClock: func() time.Time { return f.now }, Log: discardLogger,
		OnTermLost: func(time.Time) {}})
	f.autoscaler = New(f.now, Options{Token: token, TermCompare: termCompare, Config: platform,
		Cloud: f.callCloud, Store: f.callStore, Log: discardLogger,
		Registry: f.registry, Scheduler: f.scheduler, Intents: f.intents,
		OnTermLost:            func(time.Time) {},
		OnDeleted:             func(time.Time, *worker.Machine) {},
		MayBelongToOtherShard: func(string, time.Time) bool { return false },
		BelongsToOtherShard:   func(string) bool { return false }})
	f.autoscaler.ApplyMachineType(wire.MachineType{Name: "g2", Vcpus: 12, Gpus: 2, MemGB: 96,
		Price: 5, SpotPrice: 2, BootTimeS: 25, Zones: []string{"a"}}, "")
	return f
}

// newLoggedFixture returns a fixture with a durable intent log. The items are the log pages of earlier
// terms.
func newLoggedFixture(t *testing.T, items ...wire.KeyValue) *fixture {
	f := newFixture(t)
	f.intents.EnableDurability()
	f.intents.Load(items)
	return f
}

func (f *fixture) callStore(call store.Call, done func(time.Time, store.Result)) {
	f.storeCalls, f.storeReplies = append(f.storeCalls, call), append(f.storeReplies, done)
}

func (f *fixture) callCloud(call cloud.Call, done func(time.Time, cloud.Result)) {
	f.cloudCalls, f.cloudReplies = append(f.cloudCalls, call), append(f.cloudReplies, done)
}

// commitWrites makes the state service commit all captured writes, including those sent meanwhile.
func (f *fixture) commitWrites() {
	for len(f.storeReplies) > 0 {
		done := f.storeReplies[0]
		f.storeCalls, f.storeReplies = f.storeCalls[1:], f.storeReplies[1:]
		done(f.now, store.Result{Revision: 9})
	}
}

// answerCall answers the oldest call of an operation and returns the call. It fails the test if there
// is none.
func (f *fixture) answerCall(operation cloud.Operation, result cloud.Result) cloud.Call {
	f.t.Helper()
	for i, call := range f.cloudCalls {
		if call.Operation == operation {
			done := f.cloudReplies[i]
			f.cloudCalls = append(f.cloudCalls[:i:i], f.cloudCalls[i+1:]...)
			f.cloudReplies = append(f.cloudReplies[:i:i], f.cloudReplies[i+1:]...)
			done(f.now, result)
			return call
		}
	}
	f.t.Fatalf("no call of operation %d", operation)
	return cloud.Call{}
}

func (f *fixture) hasCall(operation cloud.Operation) bool {
	for _, call := range f.cloudCalls {
		if call.Operation == operation {
			return true
		}
	}
	return false
}

// deletedHosts returns the machines of the deletion calls that are not answered.
func (f *fixture) deletedHosts() (hosts []string) {
	for _, call := range f.cloudCalls {
		if call.Operation == cloud.DeleteMachines {
			hosts = append(hosts, call.Hosts...)
		}
	}
	return hosts
}

func (f *fixture) advance(duration time.Duration) {
	f.now = f.now.Add(duration)
	f.autoscaler.Tick(f.now)
}

// addGang adds job n, a gang whose tasks each need a whole machine of type g2.
func (f *fixture) addGang(n uint64, tasks int, spot bool) {
	spec := wire.JobSpec{ID: fmt.Sprintf("job-%d", n), Team: "red", Class: "l", Shape: wire.ShapeGang, Priority: "low",
		Tasks: tasks, Vcpus: 10, Gpus: 2, MemGB: 77, AnyType: true, Spot: spot}
	f.scheduler.AddJob(f.now, spec, f.now, n, false)
}

// addMachine adds a registered machine of type g2.
func (f *fixture) addMachine(host string, state worker.State) *worker.Machine {
	machine := f.registry.Add(f.now, host, state)
	machine.Type, machine.Registered, machine.Recorded, machine.IdleSince = "g2", true, true, f.now
	return machine
}

// loadRequest loads the provisioning record of an earlier term.
func (f *fixture) loadRequest(name, record string) {
	f.autoscaler.LoadRequest(f.now, wire.KeyValue{Key: "h/0/" + name, Value: []byte(record), Version: 4})
}

// loadUsedMachine loads the record of request b0-3-1 and the registration of machine i-1.
func (f *fixture) loadUsedMachine(record string) {
	f.loadRequest("b0-3-1", record)
	f.loadRegistrations(`{"i-1":"addr"}`)
}

func (f *fixture) loadRegistrations(page string) {
	f.autoscaler.LoadRegistrations(f.now, []wire.KeyValue{{Key: "u/0/0", Value: []byte(page), Version: 3}})
}

// intentPage returns a page of the intent log with one entry.
func intentPage(host string, operation intentlog.Operation, token uint64) wire.KeyValue {
	entry := fmt.Appendf(nil, `{%q:{"Duty":%q,"Token":%d,"At":0}}`, host, operation, token)
	return wire.KeyValue{Key: "d/0/0", Value: entry, Version: 5}
}

func granted(hosts ...string) cloud.Result {
	return cloud.Success(cloud.Response{Hosts: hosts})
}

// listed returns a complete list of running machines of type g2.
func listed(hosts ...string) cloud.Result {
	var page wire.MachinePage
	for _, host := range hosts {
		page.Machines = append(page.Machines, wire.Machine{ID: host, Type: "g2", Zone: "a", State: wire.MachineRunning})
	}
	return cloud.Success(cloud.Response{Page: page})
}
