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

// Records as controllers store them, and attempts of the first two terms.
const (
	logPage             = "d/0/0"
	deprovisionIntent   = `{"a1":{"Duty":"return","Token":1,"At":5}}`
	reclaimIntent       = `{"a1":{"Duty":"reclaim","Token":1,"At":5}}`
	provisioningKey     = "h/0/b0-1-1"
	provisioningRequest = `{"Number":1}`
	attemptOfTerm1      = 1<<tuning.AttemptBits | 7
	attemptOfTerm2      = 2<<tuning.AttemptBits | 7
)

// intentFixture is fakes with two machines and a checker of the intent log.
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

// write stores a value under a key, or deletes the key if the value is "".
func (f *intentFixture) write(key, value string) {
	f.t.Helper()
	write := wire.Write{Put: key, Value: json.RawMessage(value)}
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

func (f *intentFixture) delete(hosts ...string) {
	f.cloud.Call(cloud.Call{Operation: cloud.DeleteMachines, Hosts: hosts})
}

func (f *intentFixture) createMachine(name string) {
	request := wire.ProvisionRequest{Name: name, Type: "g", Zone: "a", Count: 1}
	f.cloud.Call(cloud.Call{Operation: cloud.CreateMachines, Request: request})
}

// intentCase is what is stored and what the cloud carries out, and the rule that it breaks.
type intentCase struct {
	name string
	rule Rule // "" for none
	play func(f *intentFixture)
}

// deletionCases are about machines that are deleted.
var deletionCases = []intentCase{
	{
		name: "deprovisioned after it was recorded",
		play: func(f *intentFixture) {
			f.write(logPage, deprovisionIntent)
			f.delete("a1")
		},
	},
	{
		name: "deleted twice: the second call does nothing",
		play: func(f *intentFixture) {
			f.write(logPage, deprovisionIntent)
			f.delete("a1")
			f.write(logPage, "")
			f.delete("a1")
		},
	},
	{
		name: "deprovisioned and never recorded",
		rule: NotRecorded,
		play: func(f *intentFixture) { f.delete("a1") },
	},
	{
		name: "another one deprovisioned than was recorded",
		rule: NotRecorded,
		play: func(f *intentFixture) {
			f.write(logPage, deprovisionIntent)
			f.delete("a1", "a2")
		},
	},
	{
		name: "deprovisioned after the intent was completed",
		rule: StaleIntent,
		play: func(f *intentFixture) {
			f.write(logPage, deprovisionIntent)
			f.write(logPage, "")
			f.delete("a1")
		},
	},
	{
		name: "deprovisioned with work on it",
		rule: BusyMachineDeleted,
		play: func(f *intentFixture) {
			f.addTestJob(nil)
			f.startTask("a1", "job-1/0", attemptOfTerm1)
			f.write(logPage, deprovisionIntent)
			f.delete("a1")
		},
	},
	{
		name: "reclaimed with work that its own term had started",
		play: func(f *intentFixture) {
			f.addTestJob(nil)
			f.startTask("a1", "job-1/0", attemptOfTerm1)
			f.write(logPage, reclaimIntent)
			f.delete("a1")
		},
	},
	{
		name: "work of a later term on a machine that was recorded",
		rule: TaskOnTerminatingMachine,
		play: func(f *intentFixture) {
			f.addTestJob(nil)
			f.write(logPage, reclaimIntent)
			f.startTask("a1", "job-1/0", attemptOfTerm2)
		},
	},
	{
		name: "reclaimed with work of a later term",
		rule: BusyMachineDeleted,
		play: func(f *intentFixture) {
			f.addTestJob(nil)
			f.startTask("a1", "job-1/0", attemptOfTerm2)
			f.write(logPage, reclaimIntent)
			f.delete("a1")
		},
	},
	{
		name: "a page that cannot be read",
		rule: Expectation,
		play: func(f *intentFixture) { f.write(logPage, `"x"`) },
	},
}

// provisioningCases are about machines that are provisioned.
var provisioningCases = []intentCase{
	{
		name: "provisioned after it was recorded, and requested again",
		play: func(f *intentFixture) {
			f.write(provisioningKey, provisioningRequest)
			f.createMachine("b0-1-1")
			f.createMachine("b0-1-1")
		},
	},
	{
		name: "provisioned and never recorded",
		rule: NotRecorded,
		play: func(f *intentFixture) { f.createMachine("b0-1-1") },
	},
	{
		name: "provisioned after it was completed",
		rule: StaleIntent,
		play: func(f *intentFixture) {
			f.write(provisioningKey, provisioningRequest)
			f.write(provisioningKey, "")
			f.createMachine("b0-1-1")
		},
	},
}

// TestIntentChecker checks that the checker of the intent log finds a planted violation of each
// rule, and none where there is none.
func TestIntentChecker(t *testing.T) {
	for _, cases := range [][]intentCase{deletionCases, provisioningCases} {
		for _, test := range cases {
			t.Run(test.name, func(t *testing.T) {
				f := newIntentFixture(t)
				test.play(f)
				f.expectViolation(t, test.rule)
			})
		}
	}
}
