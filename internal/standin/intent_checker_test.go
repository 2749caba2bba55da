package standin

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"juniperchute/internal/cloud"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// intentFixture is stand-ins with two machines and a checker of the log of duties.
type intentFixture struct {
	*Cluster
	store   *StateService
	cloud   *Cloud
	checker *IntentChecker
}

func newIntentFixture(t *testing.T) *intentFixture {
	cluster := testCluster()
	rng := rand.New(rand.NewPCG(1, 1))
	f := &intentFixture{Cluster: cluster, store: NewStateService(cluster.Clock), cloud: NewCloud(cluster.Clock, rng, nil)}
	f.cloud.Available[CapacityKey("g", "a", false)] = 5
	f.cloud.OnBooted = func(*CloudHost) {}
	f.cloud.OnRemoved = func(h *CloudHost) { cluster.Remove(h.ID) }
	for _, id := range []string{"a1", "a2"} {
		f.cloud.Hosts[id] = &CloudHost{Machine: cluster.Workers[id].Host}
	}
	f.checker = NewIntentChecker(cluster, f.store, f.cloud)
	f.write(t, featureGatesKey, `{"InForce":["duties"]}`)
	return f
}

func (f *intentFixture) write(t *testing.T, key, value string) {
	t.Helper()
	w := wire.Write{Put: key, Value: json.RawMessage(value)}
	if value == "" {
		w = store.Delete(key)
	}
	f.store.Call(store.Call{Op: store.OpTransaction, Transaction: wire.Transaction{Writes: []wire.Write{w}}}, func(r store.Result) {
		if !r.OK() {
			t.Fatalf("write of %s: %v", key, r.Err)
		}
	})
}

func (f *intentFixture) delete(hosts ...string) {
	f.cloud.Call(cloud.Call{Operation: cloud.DeleteMachines, Hosts: hosts})
}

func (f *intentFixture) createMachine(name string) {
	f.cloud.Call(cloud.Call{Operation: cloud.CreateMachines, Request: wire.ProvisionRequest{Name: name, Type: "g", Zone: "a", Count: 1}})
}

// The checker of the log of duties finds a planted violation of each rule, and none where
// there is none.
func TestIntentChecker(t *testing.T) {
	const (
		log          = "d/0/0"
		returnUnder1 = `{"a1":{"Duty":"return","Token":1,"At":5}}`
		reclaim      = `{"a1":{"Duty":"reclaim","Token":1,"At":5}}`
		rental       = "h/0/b0-1-1"
		asked        = `{"Number":1}`
		attempt1     = 1<<tuning.AttemptBits | 7
		attempt2     = 2<<tuning.AttemptBits | 7
	)
	for _, test := range []struct {
		name string
		rule Rule // "" for none
		play func(f *intentFixture)
	}{
		{"returned after it was entered", "", func(f *intentFixture) { f.write(t, log, returnUnder1); f.delete("a1") }},
		{"deleted twice: the second call does nothing", "", func(f *intentFixture) {
			f.write(t, log, returnUnder1)
			f.delete("a1")
			f.write(t, log, "")
			f.delete("a1")
		}},
		{"returned and never entered", NotRecorded, func(f *intentFixture) { f.delete("a1") }},
		{"another one returned than was entered", NotRecorded, func(f *intentFixture) { f.write(t, log, returnUnder1); f.delete("a1", "a2") }},
		{"returned after the entry was settled", StaleIntent, func(f *intentFixture) { f.write(t, log, returnUnder1); f.write(t, log, ""); f.delete("a1") }},
		{"returned with work on it", BusyMachineDeleted, func(f *intentFixture) {
			f.addTestJob(nil)
			f.startTask("a1", "job-1/0", attempt1)
			f.write(t, log, returnUnder1)
			f.delete("a1")
		}},
		{"reclaimed with work that its own tenure had started", "", func(f *intentFixture) {
			f.addTestJob(nil)
			f.startTask("a1", "job-1/0", attempt1)
			f.write(t, log, reclaim)
			f.delete("a1")
		}},
		{"work of a later tenure on a machine that was entered", WorkOnTerminatingMachine, func(f *intentFixture) {
			f.addTestJob(nil)
			f.write(t, log, reclaim)
			f.startTask("a1", "job-1/0", attempt2)
		}},
		{"reclaimed with work of a later tenure", BusyMachineDeleted, func(f *intentFixture) {
			f.addTestJob(nil)
			f.startTask("a1", "job-1/0", attempt2)
			f.write(t, log, reclaim)
			f.delete("a1")
		}},
		{"rented after it was entered, and asked for again", "", func(f *intentFixture) {
			f.write(t, rental, asked)
			f.createMachine("b0-1-1")
			f.createMachine("b0-1-1")
		}},
		{"rented and never entered", NotRecorded, func(f *intentFixture) { f.createMachine("b0-1-1") }},
		{"rented after it was settled", StaleIntent, func(f *intentFixture) { f.write(t, rental, asked); f.write(t, rental, ""); f.createMachine("b0-1-1") }},
		{"a page that cannot be read", Expectation, func(f *intentFixture) { f.write(t, log, `"x"`) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newIntentFixture(t)
			test.play(f)
			switch {
			case test.rule == "" && len(f.Violations) > 0:
				t.Errorf("found %v", f.Violations[0])
			case test.rule != "" && (len(f.Violations) == 0 || f.Violations[0].Rule != test.rule):
				t.Errorf("found %v, want %s", f.Violations, test.rule)
			}
		})
	}
}
