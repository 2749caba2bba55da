package controller

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/fakes"
	"juniperchute/internal/peer/peerpb"
)

// Guards against a lease holder that alone cannot reach the cloud and keeps the shard: a job that needs a
// machine must start within four minutes, as two other controllers reach the cloud.
func TestHolderWithoutCloudIsReplaced(t *testing.T) {
	const startTimeout = 4 * time.Minute
	sim := newSimulation(t, 1, testConfig(oneZone, steadyTeams, 1.5, 10), 1, oneZoneTypes)
	sim.cloud.Available[fakes.CapacityKey(smallType.Name, "a", false)] = 4
	sim.runUntil("a lease holder", 20*time.Second, func() bool { return sim.leaseHolder() != nil })
	sim.runFor(5 * time.Second)
	holder := sim.leaseHolder()
	holder.cloudPartitioned = true
	job := sim.submitJob(steadyJob(1), 5*time.Second)
	sim.runFor(startTimeout)
	if !job.Complete() {
		t.Errorf("no machine for a job %v after its submission; %s still holds the shard: %t",
			startTimeout, holder.name, sim.leaseHolder() == holder)
	}
}

// Guards against failovers in an outage of the cloud, which would help nobody.
func TestHolderKeepsShardInCloudOutage(t *testing.T) {
	sim := steadySimulation(t, 4, 1)
	holder := sim.leaseHolder()
	token := holder.controller.terms[0].Token
	sim.cloud.Unavailable = true
	sim.runFor(2 * time.Minute)
	if after := sim.leaseHolder(); after != holder || holder.controller.terms[0].Token != token {
		t.Errorf("the shard has moved from %s in an outage of the cloud", holder.name)
	}
}

// Guards against a controller that reports the cloud as reachable although it does not respond, and the
// reverse: a lease holder would release its shard in vain, or keep it.
func TestCloudProbe(t *testing.T) {
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, `{"Flavors":[]}`)
	}))
	defer server.Close()
	for _, c := range []struct {
		name, address string
		status        int
		want          int32
	}{
		{"the cloud responds", server.Listener.Addr().String(), http.StatusOK, 1},
		{"the cloud is out of service", server.Listener.Addr().String(), http.StatusServiceUnavailable, 0},
		{"the cloud is unreachable", unreachableAddress, http.StatusOK, 0},
	} {
		status = c.status
		r := newTestRuntime(t, unreachableAddress)
		r.effects.cloud = cloud.NewClient(c.address, http.DefaultTransport)
		reply, err := r.HandleProbe(t.Context(), &peerpb.ProbeRequest{Cloud: true})
		if err != nil || reply.Answered != c.want {
			t.Errorf("%s: got %v and error %v, want %d", c.name, reply, err, c.want)
		}
	}
}
