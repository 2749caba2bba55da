package fakes

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"juniperchute/internal/cloud"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Stored records, and attempt numbers of the first two terms.
const (
	logPage             = "d/0/0"
	deprovisionIntent   = `{"a1":{"Duty":"return","Token":1,"At":5}}`
	reclaimIntent       = `{"a1":{"Duty":"reclaim","Token":1,"At":5}}`
	provisioningKey     = "h/0/b0-1-1"
	provisioningRequest = `{"Number":1}`
	attemptOfTerm1      = 1<<tuning.AttemptBits | 7
	attemptOfTerm2      = 2<<tuning.AttemptBits | 7
)

// intentFixture provides the fakes with two machines and an intent checker.
type intentFixture struct {
	*Cluster
	t       *testing.T
	store   *StateService
	cloud   *Cloud
	checker *IntentChecker
}

func newIntentFixture(t *testing.T) *intentFixture {
	cluster := testCluster()
	f := &intentFixture{
		Cluster: cluster,
		t:       t,
		store:   NewStateService(cluster.Clock),
		cloud:   NewCloud(cluster.Clock, rand.New(rand.NewPCG(1, 1)), nil),
	}
	f.cloud.Available[CapacityKey("g", "a", false)] = 5
	f.cloud.OnBooted = func(*CloudHost) {}
	f.cloud.OnRemoved = func(h *CloudHost) { cluster.Remove(h.ID) }
	for _, id := range []string{"a1", "a2"} {
		f.cloud.Hosts[id] = &CloudHost{Machine: cluster.Workers[id].Host}
	}
	f.checker = NewIntentChecker(cluster, f.store, f.cloud)
	f.write(featureGatesKey, `{"InForce":["duties"]}`)
	return f
}

// write stores a value under a key, or deletes the key if value is empty.
func (f *intentFixture) write(key, value string) {
	f.t.Helper()
	write := wire.Write{PutKey: key, Value: json.RawMessage(value)}
	if value == "" {
		write = store.Delete(key)
	}
	transaction := wire.Transaction{Writes: []wire.Write{write}}
	f.store.Call(store.Call{Op: store.OpTransaction, Transaction: transaction}, func(result store.Result) {
		if !result.OK() {
			f.t.Fatalf("write of %s: %v", key, result.Err)
		}
	})
}

func (f *intentFixture) deleteMachines(hosts ...string) {
	f.cloud.Call(cloud.Call{Operation: cloud.DeleteMachines, Hosts: hosts})
}

func (f *intentFixture) createMachine(name string) {
	request := wire.ProvisionRequest{Name: name, Type: "g", Zone: "a", Count: 1}
	f.cloud.Call(cloud.Call{Operation: cloud.CreateMachines, Request: request})
}

// intentCase is a sequence of stored intents and cloud calls with the rule that it violates.
type intentCase struct {
	name string
	rule Rule // "" for none
	run  func(f *intentFixture)
}

// deletionCases delete machines or start tasks on machines recorded for deletion.
var deletionCases = []intentCase{
	{
		name: "deprovisioning after its intent was recorded is allowed",
		run: func(f *intentFixture) {
			f.write(logPage, deprovisionIntent)
			f.deleteMachines("a1")
		},
	},
	{
		name: "a second deletion of a machine has no effect",
		run: func(f *intentFixture) {
			f.write(logPage, deprovisionIntent)
			f.deleteMachines("a1")
			f.write(logPage, "")
			f.deleteMachines("a1")
		},
	},
	{
		name: "deprovisioning without an intent is found",
		rule: NotRecorded,
		run:  func(f *intentFixture) { f.deleteMachines("a1") },
	},
	{
		name: "deprovisioning of a second machine without an intent is found",
		rule: NotRecorded,
		run: func(f *intentFixture) {
			f.write(logPage, deprovisionIntent)
			f.deleteMachines("a1", "a2")
		},
	},
	{
		name: "deprovisioning after its intent was completed is stale",
		rule: StaleIntent,
		run: func(f *intentFixture) {
			f.write(logPage, deprovisionIntent)
			f.write(logPage, "")
			f.deleteMachines("a1")
		},
	},
	{
		name: "deprovisioning of a machine with tasks is found",
		rule: BusyMachineDeleted,
		run: func(f *intentFixture) {
			f.addTestJob(nil)
			f.startTask("a1", "job-1/0", attemptOfTerm1)
			f.write(logPage, deprovisionIntent)
			f.deleteMachines("a1")
		},
	},
	{
		name: "reclaiming a machine with tasks of its own term is allowed",
		run: func(f *intentFixture) {
			f.addTestJob(nil)
			f.startTask("a1", "job-1/0", attemptOfTerm1)
			f.write(logPage, reclaimIntent)
			f.deleteMachines("a1")
		},
	},
	{
		name: "a task of a later term on a terminating machine is found",
		rule: TaskOnDeletingMachine,
		run: func(f *intentFixture) {
			f.addTestJob(nil)
			f.write(logPage, reclaimIntent)
			f.startTask("a1", "job-1/0", attemptOfTerm2)
		},
	},
	{
		name: "reclaiming a machine with tasks of a later term is found",
		rule: BusyMachineDeleted,
		run: func(f *intentFixture) {
			f.addTestJob(nil)
			f.startTask("a1", "job-1/0", attemptOfTerm2)
			f.write(logPage, reclaimIntent)
			f.deleteMachines("a1")
		},
	},
	{
		name: "a page that fails to decode is found",
		rule: Expectation,
		run:  func(f *intentFixture) { f.write(logPage, `"x"`) },
	},
}

// provisioningCases create machines.
var provisioningCases = []intentCase{
	{
		name: "a repeated request after its intent was recorded is allowed",
		run: func(f *intentFixture) {
			f.write(provisioningKey, provisioningRequest)
			f.createMachine("b0-1-1")
			f.createMachine("b0-1-1")
		},
	},
	{
		name: "provisioning without an intent is found",
		rule: NotRecorded,
		run:  func(f *intentFixture) { f.createMachine("b0-1-1") },
	},
	{
		name: "provisioning after its intent was completed is stale",
		rule: StaleIntent,
		run: func(f *intentFixture) {
			f.write(provisioningKey, provisioningRequest)
			f.write(provisioningKey, "")
			f.createMachine("b0-1-1")
		},
	},
}

// TestIntentChecker guards against a checker that misses a violation of an intent log rule or
// reports one for a valid sequence.
func TestIntentChecker(t *testing.T) {
	for _, cases := range [][]intentCase{deletionCases, provisioningCases} {
		for _, test := range cases {
			t.Run(test.name, func(t *testing.T) {
				f := newIntentFixture(t)
				test.run(f)
				f.expectViolation(t, test.rule)
			})
		}
	}
}
