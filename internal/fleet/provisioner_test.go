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
	wantRetry    bool // the request is sent again under the same name
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

// A request's name is durable before the cloud is called, and retries use it until the outcome is
// known. Otherwise a retry could create machines twice.
func TestProvisioningRequest(t *testing.T) {
	for _, test := range provisioningTests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.addGang(1, 1, true)
			f.advance(0)
			if f.hasCall(cloud.CreateMachines) {
				t.Fatal("cloud called before the name is durable")
			}
			f.commitWrites()
			name := ""
			for _, answer := range test.answers {
				f.advance(2 * time.Second)
				sent := f.answerCall(cloud.CreateMachines, answer).Request
				if name != "" && sent.Name != name {
					t.Errorf("request %s sent after %s", sent.Name, name)
				}
				if name = sent.Name; !sent.Spot {
					t.Error("on-demand machine requested for a job that allows spot machines")
				}
			}
			f.commitWrites()
			f.advance(2 * time.Second)
			retried := false
			for _, call := range f.cloudCalls {
				retried = retried || call.Operation == cloud.CreateMachines && call.Request.Name == name
			}
			if retried != test.wantRetry || len(f.registry.All()) != test.wantMachines {
				t.Errorf("retried: %t, want %t; %d machines, want %d",
					retried, test.wantRetry, len(f.registry.All()), test.wantMachines)
			}
		})
	}
}

// A successor retries pending requests under their names, and reconciles only machines that may have
// been assigned tasks.
func TestRecoverRequests(t *testing.T) {
	f := newFixture(t)
	f.loadRequest("b0-3-1", `{"Build":"g2","Yard":"a","Number":2,"Hosts":["i-1","i-2"]}`)
	f.loadRequest("b0-3-2", `{"Build":"g2","Yard":"a","Number":1}`)
	f.loadRegistrations(`{"i-0":"10.1.0.9:9000","i-1":"10.1.0.1:9000"}`)
	machine := f.registry.Get("i-1")
	if machine.State != worker.Unreconciled || machine.Address != "10.1.0.1:9000" || machine.Capacity.GPUs != 2 {
		t.Errorf("registered machine: %+v", machine)
	}
	if machine := f.registry.Get("i-2"); machine.State != worker.Booting || machine.Registered {
		t.Errorf("unregistered machine: %+v", machine)
	}
	f.advance(0)
	if call := f.answerCall(cloud.CreateMachines, granted("i-3")); call.Request.Name != "b0-3-2" {
		t.Errorf("request %s retried, want b0-3-2", call.Request.Name)
	}
	if f.registry.Get("i-3") == nil {
		t.Error("granted machine i-3 is not in the registry")
	}
}

// refuseRequest creates demand for one machine, refuses the request for lack of capacity and returns
// the call.
func (f *fixture) refuseRequest() cloud.Call {
	f.t.Helper()
	f.addGang(1, 1, false)
	f.advance(0)
	f.commitWrites()
	f.advance(time.Second)
	return f.answerCall(cloud.CreateMachines, cloud.Failure(cloud.ErrNoCapacity))
}

// A refused request is kept while a delayed copy of its call may still be granted.
func TestRefusedRequest(t *testing.T) {
	t.Run("retried under the same name for new demand", func(t *testing.T) {
		f := newLoggedFixture(t)
		first := f.refuseRequest()
		f.advance(tuning.NoCapacityBackoff)
		f.commitWrites()
		f.advance(tuning.ScaleOutInterval)
		again := f.answerCall(cloud.CreateMachines, granted("i-1"))
		if again.Request != first.Request {
			t.Errorf("%+v, then %+v", first.Request, again.Request)
		}
	})
	t.Run("retried for a machine without a record", func(t *testing.T) {
		f := newLoggedFixture(t)
		first := f.refuseRequest()
		f.autoscaler.Settings.Paused = true // no retry for demand
		f.advance(tuning.NoCapacityBackoff)
		machine := f.registry.Add(f.now, "i-5", worker.Booting)
		machine.Type, machine.Zone = "g2", "a"
		f.autoscaler.HandleHeartbeat(f.now, machine)
		f.advance(time.Second)
		again := f.answerCall(cloud.CreateMachines, granted("i-5"))
		if again.Request != first.Request {
			t.Errorf("%+v, then %+v", first.Request, again.Request)
		}
		f.commitWrites()
		request := f.autoscaler.provisioner.byHost["i-5"]
		if request == nil || request.name != first.Request.Name {
			t.Errorf("i-5 belongs to request %+v, want %s", request, first.Request.Name)
		}
	})
	t.Run("closed after the window for delayed copies", func(t *testing.T) {
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
	t.Run("closed at once without a durable intent log", func(t *testing.T) {
		f := newFixture(t)
		f.refuseRequest()
		f.commitWrites()
		if requests := f.autoscaler.provisioner.requests; len(requests) != 0 {
			t.Errorf("%d requests", len(requests))
		}
	})
}
