package controller

import (
	"testing"
	"time"

	"juniperchute/internal/leader"
	"juniperchute/internal/peer/peerpb"
)

// acknowledgementCase is a case of TestCancellationAcknowledgements: what peers say to a
// lease holder that cannot read the state service.
type acknowledgementCase struct {
	name     string
	change   func(holder *simulatedNode, m *peerpb.PeerHeartbeat)
	advances bool // whether the lease holder's cancellation watermark advances
}

var acknowledgementCases = []acknowledgementCase{
	{
		name:     "peers that say they have acknowledged nothing else",
		change:   func(*simulatedNode, *peerpb.PeerHeartbeat) {},
		advances: true,
	},
	{
		name:   "peers that lost count",
		change: func(_ *simulatedNode, m *peerpb.PeerHeartbeat) { m.CancellationsComplete = false },
	},
	{
		name: "peers that know of an older token: what the lease holder before has was passed to that one",
		change: func(_ *simulatedNode, m *peerpb.PeerHeartbeat) {
			m.Claims = []*peerpb.LeaseClaim{{Token: m.Claims[0].Token - 1, Holder: m.Claims[0].Holder}}
		},
	},
	{
		name:   "peers that know of no lease holder",
		change: func(_ *simulatedNode, m *peerpb.PeerHeartbeat) { m.Claims = nil },
	},
	{
		name: "peers that echo a former process of the lease holder's name: the mark is of another clock",
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
		name: "peers that were replaced since the lease holder's last read",
		change: func(_ *simulatedNode, m *peerpb.PeerHeartbeat) {
			m.Process++
			m.UpMs = 100
		},
	},
	{
		name: "nobody's while the records are being read: what is cancelled cannot be stopped yet",
		change: func(holder *simulatedNode, _ *peerpb.PeerHeartbeat) {
			holder.restartTerm()
		},
	},
}

// Whose acknowledgement advances a lease holder's cancellation watermark while it cannot
// read the state service itself, and what else may not.
func TestCancellationAcknowledgements(t *testing.T) {
	for _, c := range acknowledgementCases {
		t.Run(c.name, c.run)
	}
	t.Run("own reads of jobs, while the control records are not read", testReadsOfJobsOnly)
}

// run lets a lease holder hear from its peers while the state service is out.
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
		n.peersCut = true
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
		t.Errorf("watermark advanced by %v, want %v", after.Sub(before), c.advances)
	}
}

// testReadsOfJobsOnly lets a lease holder read jobs but not the control records, which may
// say that it has lost its lease.
func testReadsOfJobsOnly(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	holder := sim.leaseHolder()
	holder.silentWatches, holder.peersCut = leader.ControlPrefix, true
	sim.runFor(10 * time.Second)
	if n := sim.leaseHolder(); n != holder {
		t.Fatal("it is not the lease holder any more")
	}
	shardTerm := holder.controller.terms[0]
	watermark := shardTerm.CancellationWatermark(sim.clock.Now())
	if age := sim.clock.Now().Sub(watermark); age < 4*time.Second {
		t.Errorf("its watermark is %v old, and it may have lost the shard's lease since", age)
	}
}
