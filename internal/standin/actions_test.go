package standin

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"juniperchute/internal/fleet"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// actionTest is stand-ins with two machines and a checker of the log of duties.
type actionTest struct {
	*Cluster
	state *StateService
	cloud *Cloud
	check *ActionCheck
}

func newActionTest(t *testing.T) *actionTest {
	c := testCluster()
	rng := rand.New(rand.NewPCG(1, 1))
	x := &actionTest{Cluster: c, state: NewStateService(c.Clock, rng), cloud: NewCloud(c.Clock, rng, nil)}
	x.cloud.Room[RoomKey("g", "a", false)] = 5
	x.cloud.Booted = func(*CloudHost) {}
	x.cloud.Ended = func(h *CloudHost) { c.Remove(h.ID) }
	for _, id := range []string{"a1", "a2"} {
		x.cloud.Hosts[id] = &CloudHost{Machine: c.Workers[id].Host}
	}
	x.check = NewActionCheck(c, x.state, x.cloud)
	x.write(t, inForceKey, `{"InForce":["duties"]}`)
	return x
}

func (x *actionTest) write(t *testing.T, key, value string) {
	t.Helper()
	w := wire.Write{Put: key, Value: json.RawMessage(value)}
	if value == "" {
		w = store.Delete(key)
	}
	x.state.Call(store.Call{Op: store.OpTransaction, Transaction: wire.Transaction{Writes: []wire.Write{w}}}, func(r store.Result) {
		if !r.OK() {
			t.Fatalf("write of %s: %v", key, r.Err)
		}
	})
}

func (x *actionTest) delete(hosts ...string) {
	x.cloud.Call(fleet.Call{Op: fleet.OpDelete, Hosts: hosts})
}

func (x *actionTest) rent(name string) {
	x.cloud.Call(fleet.Call{Op: fleet.OpRent, Rental: wire.ProvisionRequest{Name: name, Type: "g", Zone: "a", Count: 1}})
}

// The checker of the log of duties finds a planted violation of each rule, and none where
// there is none.
func TestActionCheck(t *testing.T) {
	const (
		log          = "d/0/0"
		returnUnder1 = `{"a1":{"Duty":"return","Token":1,"At":5}}`
		reclaim      = `{"a1":{"Duty":"reclaim","Token":1,"At":5}}`
		rental       = "h/0/b0-1-1"
		asked        = `{"Number":1}`
		attempt1     = 1<<tuning.AttemptBits | 7
		attempt2     = 2<<tuning.AttemptBits | 7
	)
	for _, c := range []struct {
		name string
		rule Rule // "" for none
		play func(x *actionTest)
	}{
		{"returned after it was entered", "", func(x *actionTest) { x.write(t, log, returnUnder1); x.delete("a1") }},
		{"deleted twice: the second call does nothing", "", func(x *actionTest) {
			x.write(t, log, returnUnder1)
			x.delete("a1")
			x.write(t, log, "")
			x.delete("a1")
		}},
		{"returned and never entered", NotEntered, func(x *actionTest) { x.delete("a1") }},
		{"another one returned than was entered", NotEntered, func(x *actionTest) { x.write(t, log, returnUnder1); x.delete("a1", "a2") }},
		{"returned after the entry was settled", StaleAction, func(x *actionTest) { x.write(t, log, returnUnder1); x.write(t, log, ""); x.delete("a1") }},
		{"returned with work on it", WorkReturned, func(x *actionTest) {
			x.testJob(nil)
			x.start("a1", "job-1/0", attempt1)
			x.write(t, log, returnUnder1)
			x.delete("a1")
		}},
		{"reclaimed with work that its own tenure had started", "", func(x *actionTest) {
			x.testJob(nil)
			x.start("a1", "job-1/0", attempt1)
			x.write(t, log, reclaim)
			x.delete("a1")
		}},
		{"work of a later tenure on a machine that was entered", WorkGiven, func(x *actionTest) {
			x.testJob(nil)
			x.write(t, log, reclaim)
			x.start("a1", "job-1/0", attempt2)
		}},
		{"reclaimed with work of a later tenure", WorkReturned, func(x *actionTest) {
			x.testJob(nil)
			x.start("a1", "job-1/0", attempt2)
			x.write(t, log, reclaim)
			x.delete("a1")
		}},
		{"rented after it was entered, and asked for again", "", func(x *actionTest) {
			x.write(t, rental, asked)
			x.rent("b0-1-1")
			x.rent("b0-1-1")
		}},
		{"rented and never entered", NotEntered, func(x *actionTest) { x.rent("b0-1-1") }},
		{"rented after it was settled", StaleAction, func(x *actionTest) { x.write(t, rental, asked); x.write(t, rental, ""); x.rent("b0-1-1") }},
		{"a page that cannot be read", Expectation, func(x *actionTest) { x.write(t, log, `"x"`) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newActionTest(t)
			c.play(x)
			switch {
			case c.rule == "" && len(x.Broken) > 0:
				t.Errorf("found %v", x.Broken[0])
			case c.rule != "" && (len(x.Broken) == 0 || x.Broken[0].Rule != c.rule):
				t.Errorf("found %v, want %s", x.Broken, c.rule)
			}
		})
	}
}
