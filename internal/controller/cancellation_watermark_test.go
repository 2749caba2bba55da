package controller

import (
	"testing"
	"time"

	"juniperchute/internal/leader"
	"juniperchute/internal/peer/peerpb"
)

// acknowledgementCase describes the heartbeats that peers send to a lease holder without contact to
// the state service.
type acknowledgementCase struct {
	name     string
	change   func(holder *simulatedNode, m *peerpb.PeerHeartbeat) // changes a peer's heartbeat
	advances bool                                                 // the watermark must advance
}

var acknowledgementCases = []acknowledgementCase{
	{
		name:     "complete cancellations from all peers advance it",
		change:   func(*simulatedNode, *peerpb.PeerHeartbeat) {},
		advances: true,
	},
	{
		name:   "incomplete cancellations do not advance it",
		change: func(_ *simulatedNode, m *peerpb.PeerHeartbeat) { m.CancellationsComplete = false },
	},
	{
		name: "peers with an older fencing token, whose cancellations went to an earlier lease holder",
		change: func(_ *simulatedNode, m *peerpb.PeerHeartbeat) {
			m.Claims = []*peerpb.LeaseClaim{{Token: m.Claims[0].Token - 1, Holder: m.Claims[0].Holder}}
		},
	},
	{
		name:   "peers that know no lease holder",
		change: func(_ *simulatedNode, m *peerpb.PeerHeartbeat) { m.Claims = nil },
	},
	{
		name: "peers that echo the clock of the member's earlier process",
		change: func(_ *simulatedNode, m *peerpb.PeerHeartbeat) {
			m.EchoProcess++
			m.EchoNs += int64(time.Hour)
		},
	},
	{
		name: "peers of an earlier version",
		change: func(_ *simulatedNode, m *peerpb.PeerHeartbeat) {
			m.Process, m.UpMs, m.ClockNs = 0, 0, 0
			m.EchoProcess, m.EchoNs = 0, 0
			m.CancellationsComplete = false
		},
	},
	{
		name: "peers that restarted since the lease holder's last read",
		change: func(_ *simulatedNode, m *peerpb.PeerHeartbeat) {
			m.Process++
			m.UpMs = 100
		},
	},
	{
		name: "complete cancellations do not advance it while the term is loading",
		change: func(holder *simulatedNode, _ *peerpb.PeerHeartbeat) {
			holder.restartTerm()
		},
	},
}

// Guards against a cancellation watermark that passes a cancellation unknown to the lease holder:
// while it cannot read the state service, only heartbeats of peers may advance the watermark.
func TestCancellationAcknowledgements(t *testing.T) {
	for _, c := range acknowledgementCases {
		t.Run(c.name, c.run)
	}
	t.Run("own reads of jobs do not advance it while control records are not read", testReadsOfJobsOnly)
}

// run delivers the case's heartbeats to a lease holder during an outage of the state service.
func (c acknowledgementCase) run(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	holder := sim.leaseHolder()
	sim.state.SetUnavailable(true)
	sim.runFor(3 * time.Second)
	var heartbeats []*peerpb.PeerHeartbeat
	for _, n := range sim.nodes {
		if n != holder {
			m := n.controller.newPeerHeartbeat(sim.clock.Now(), holder.name)
			c.change(holder, m)
			heartbeats = append(heartbeats, m)
		}
		n.peersPartitioned = true
	}
	shardTerm := holder.controller.terms[0]
	shardTerm.CancellationWatermark(sim.clock.Now())
	before := shardTerm.CancellationWatermark(sim.clock.Now())
	sim.runFor(200 * time.Millisecond)
	for _, m := range heartbeats {
		m.ClockNs += int64(time.Second)
		m.EchoNs += int64(time.Second) / 10
		holder.controller.HandlePeerHeartbeat(sim.clock.Now(), m)
	}
	shardTerm = holder.controller.terms[0]
	after := shardTerm.CancellationWatermark(sim.clock.Now())
	if advanced := after.After(before); advanced != c.advances || after.After(sim.clock.Now()) {
		t.Errorf("watermark advanced by %v to %v before now; want an advance: %t",
			after.Sub(before), sim.clock.Now().Sub(after), c.advances)
	}
}

// testReadsOfJobsOnly lets a lease holder read the jobs but not the control records, which would
// tell it that it has lost its lease.
func testReadsOfJobsOnly(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	holder := sim.leaseHolder()
	holder.silentWatches, holder.peersPartitioned = leader.ControlPrefix, true
	sim.runFor(10 * time.Second)
	if n := sim.leaseHolder(); n != holder {
		t.Fatalf("%s no longer holds the lease", holder.name)
	}
	shardTerm := holder.controller.terms[0]
	watermark := shardTerm.CancellationWatermark(sim.clock.Now())
	if age := sim.clock.Now().Sub(watermark); age < 4*time.Second {
		t.Errorf("watermark is %v old, want 4s or more: the shard's lease may have been lost since", age)
	}
}
