package fleet

import (
	"testing"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

type provisioningTest struct {
	name         string
	answers      []cloud.Result
	wantRetry    bool // the same name is asked for once more
	wantMachines int
}

var provisioningTests = []provisioningTest{
	{
		name:         "granted",
		answers:      []cloud.Result{granted("i-1")},
		wantMachines: 1,
	},
	{
		name:         "no response, then granted",
		answers:      []cloud.Result{cloud.Failure(cloud.ErrNoResponse), granted("i-1")},
		wantMachines: 1,
	},
	{
		name:         "outage, then granted",
		answers:      []cloud.Result{cloud.Failure(cloud.ErrUnavailable), granted("i-1")},
		wantMachines: 1,
	},
	{
		name:      "throttled",
		answers:   []cloud.Result{cloud.Failure(cloud.ErrThrottled)},
		wantRetry: true,
	},
	{
		name:    "no capacity",
		answers: []cloud.Result{cloud.Failure(cloud.ErrNoCapacity)},
	},
}

// A request's name is durable before the cloud is called, stays the same until the answer is
// certain, and is never used for another request.
func TestProvisioningRequest(t *testing.T) {
	for _, test := range provisioningTests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.addGang(1, 1, true)
			f.advance(0)
			if f.hasCall(cloud.CreateMachines) {
				t.Fatal("called the cloud before the name was durable")
			}
			f.commitWrites()
			name := ""
			for _, answer := range test.answers {
				f.advance(2 * time.Second)
				sent := f.answerCall(cloud.CreateMachines, answer).Request
				if name != "" && sent.Name != name {
					t.Errorf("asked for %s after %s", sent.Name, name)
				}
				if name = sent.Name; !sent.Spot {
					t.Error("asked for an on-demand machine where a spot one would do")
				}
			}
			f.commitWrites()
			f.advance(2 * time.Second)
			again := false
			for _, call := range f.cloudCalls {
				again = again || call.Operation == cloud.CreateMachines && call.Request.Name == name
			}
			if again != test.wantRetry || len(f.registry.All()) != test.wantMachines {
				t.Errorf("asked again: %t, machines %d", again, len(f.registry.All()))
			}
		})
	}
}

// What a successor makes of provisioning records: a name without an answer is asked for again,
// only machines that were used are waited for.
func TestRecoverRequests(t *testing.T) {
	f := newFixture(t)
	f.loadRequest("b0-3-1", `{"Build":"g2","Yard":"a","Number":2,"Hosts":["i-1","i-2"]}`)
	f.loadRequest("b0-3-2", `{"Build":"g2","Yard":"a","Number":1}`)
	f.loadRegistrations(`{"i-0":"10.1.0.9:9000","i-1":"10.1.0.1:9000"}`)
	machine := f.registry.Get("i-1")
	if machine.State != worker.Unreconciled || machine.Address != "10.1.0.1:9000" || machine.Capacity.GPUs != 2 {
		t.Errorf("used machine: %+v", machine)
	}
	if machine := f.registry.Get("i-2"); machine.State != worker.Booting || machine.Registered {
		t.Errorf("unused machine: %+v", machine)
	}
	f.advance(0)
	if call := f.answerCall(cloud.CreateMachines, granted("i-3")); call.Request.Name != "b0-3-2" {
		t.Errorf("asked for %s", call.Request.Name)
	}
	if f.registry.Get("i-3") == nil {
		t.Error("the answer's machine is not known")
	}
}

// refuseRequest makes a request, has the cloud refuse it, and returns the call.
func (f *fixture) refuseRequest() cloud.Call {
	f.t.Helper()
	f.addGang(1, 1, false)
	f.advance(0)
	f.commitWrites()
	f.advance(time.Second)
	return f.answerCall(cloud.CreateMachines, cloud.Failure(cloud.ErrNoCapacity))
}

// A refused request's name is kept while its call may be repeated late.
func TestRefusedRequest(t *testing.T) {
	t.Run("the next request for the kind has the same name", func(t *testing.T) {
		f := newLoggedFixture(t)
		first := f.refuseRequest()
		f.advance(tuning.NoCapacityPause)
		f.commitWrites()
		f.advance(tuning.ScaleOutInterval)
		again := f.answerCall(cloud.CreateMachines, granted("i-1"))
		if again.Request != first.Request {
			t.Errorf("%+v, then %+v", first.Request, again.Request)
		}
	})
	t.Run("retried for a machine that no record explains", func(t *testing.T) {
		f := newLoggedFixture(t)
		first := f.refuseRequest()
		f.autoscaler.Settings.Paused = true // no demand
		f.advance(tuning.NoCapacityPause)
		machine := f.registry.Add(f.now, "i-5", worker.Booting)
		machine.Type, machine.Zone = "g2", "a"
		f.autoscaler.HandleHeartbeat(f.now, machine)
		f.advance(time.Second)
		again := f.answerCall(cloud.CreateMachines, granted("i-5"))
		if again.Request != first.Request {
			t.Errorf("%+v, then %+v", first.Request, again.Request)
		}
		f.commitWrites()
		explained := f.autoscaler.provisioner.byHost["i-5"]
		if explained == nil || explained.name != first.Request.Name {
			t.Errorf("explained by %+v", explained)
		}
	})
	t.Run("closed when no repeat can arrive any more", func(t *testing.T) {
		f := newLoggedFixture(t)
		f.refuseRequest()
		f.autoscaler.Settings.Paused = true
		f.advance(tuning.LateCallWindow - time.Second)
		requests := f.autoscaler.provisioner.requests
		if len(requests) != 1 {
			t.Fatalf("%d requests", len(requests))
		}
		f.advance(2 * time.Second)
		f.commitWrites()
		if len(requests) != 0 || f.intents.Pending() != 0 {
			t.Errorf("%d requests, %d pending intents", len(requests), f.intents.Pending())
		}
	})
	t.Run("closed at once where intents are not logged", func(t *testing.T) {
		f := newFixture(t)
		f.refuseRequest()
		f.commitWrites()
		if requests := f.autoscaler.provisioner.requests; len(requests) != 0 {
			t.Errorf("%d requests", len(requests))
		}
	})
}
