package main

import (
	"strings"
	"testing"

	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/wire"
)

const wantStatus = `Controller node-0 answers. The leader is node-1.

member  version
node-0  0.3.0
node-1  not reported: older than 0.2.0, or no heartbeat of it arrives

shard  lease holder  token
0      node-0        4

Shard 0: node-0 holds the lease and is in service.

machine  type  zone  spot   state    tasks  notes
i-1      c1    a     true   up       3      preemption notice from the cloud
i-2      c1    b     false  unheard  0      ` +
	`unreconciled: its worker has not answered this term; quarantined: tasks of several jobs failed on it

team  cpus used  limit  gpus used  limit
red   1.5        none   2          8

service  class  team  replicas wanted  running  on machines  waits for
job-2    web    red   4                2        3            room

job    class  team  priority  tasks  completed  on machines  waits for
job-1  l      red   low       9      5          3            

Counters of tasks (mains: primary copies, spares: backup copies), and call times in ms:
counter       value
cloud_p50_ms  7
preempted     1
`

func TestPrintStatus(t *testing.T) {
	var out strings.Builder
	printStatus(&out, &peerpb.StatusReply{
		Member: "node-0", Leader: "node-1", Members: []string{"node-0", "node-1"},
		Versions: map[string]string{"node-0": "0.3.0"},
		Claims:   []*peerpb.LeaseClaim{{Shard: 0, Holder: "node-0", Token: 4}},
		Shards: []*peerpb.ShardStatus{{
			State: "open",
			Machines: []*peerpb.Machine{
				{Host: "i-1", Type: "c1", Zone: "a", Spot: true, State: "up", Tasks: 3, PreemptionNotice: true},
				{Host: "i-2", Type: "c1", Zone: "b", State: "unheard", Quarantined: true},
			},
			Teams: []*peerpb.Team{{Name: "red", CpusUsed: 1.5, GpusUsed: 2, GpusMax: 8}},
			Jobs: []*peerpb.Job{
				{
					Id: "job-1", Class: "l", Team: "red", Priority: "low", Shape: wire.ShapeBatch,
					Tasks: 9, Done: 5, OnMachines: 3,
				},
				{
					Id: "job-2", Class: "web", Team: "red", Shape: wire.ShapeService,
					Tasks: 4, Running: 2, OnMachines: 3, WaitsFor: "room",
				},
			},
			Counters: map[string]int64{"preempted": 1, "cloud_p50_ms": 7},
		}},
	})
	if out.String() != wantStatus {
		t.Errorf("printed\n%s\nwant\n%s", out.String(), wantStatus)
	}
}

// Guards against a controller without a shard lease that does not refer operators to a lease holder.
func TestPrintStatusWithoutLease(t *testing.T) {
	var out strings.Builder
	printStatus(&out, &peerpb.StatusReply{Member: "node-0"})
	for _, sentence := range []string{
		"It knows of no leader: shards without a lease holder get none until one is elected.",
		"node-0 holds no lease: ask a lease holder for its machines, teams and jobs.",
	} {
		if !strings.Contains(out.String(), sentence) {
			t.Errorf("no sentence %q in\n%s", sentence, out.String())
		}
	}
}

// Guards against a term that does not act and whose status does not say why and since when.
func TestPrintStatusOfWaitingTerm(t *testing.T) {
	var out strings.Builder
	printStatus(&out, &peerpb.StatusReply{
		Member:     "node-0",
		Membership: &peerpb.MembershipStatus{State: "granting", StateAgeMs: 12500, StateContactAgeMs: -1},
		Shards: []*peerpb.ShardStatus{{
			State:      "loading",
			StateAgeMs: 61000,
			Waits:      []*peerpb.Wait{{Reason: "3 reads of the shard's records", AgeMs: 61000}},
		}},
	})
	for _, sentence := range []string{
		`Its membership is in the state "granting", for 12.5s now; it has no valid lease, and neither leads nor ` +
			"serves a shard; the state service has not responded yet.",
		"it loads the records of the shard, for 1m1s now.",
		"It waits for 3 reads of the shard's records, for 1m1s now.",
	} {
		if !strings.Contains(out.String(), sentence) {
			t.Errorf("no sentence %q in\n%s", sentence, out.String())
		}
	}
}
