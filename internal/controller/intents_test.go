package controller

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/fleet"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/standin"
	"juniperchute/internal/store"
	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// dutiesSimulation is a deployment that keeps the log of duties, with work under way.
func dutiesSimulation(t *testing.T) *simulation {
	return steadySimulationOf(t, 11, 6, 8, (*simulation).keepDuties)
}

// entries are the targets in a block's log as it is stored.
func (sim *simulation) entries() (out []string) {
	for key, it := range sim.state.Keys {
		if strings.HasPrefix(key, intentlog.Prefix) {
			entries, err := intentlog.ReadPage(it.Value)
			if err != nil {
				sim.fail("%s: %v", key, err)
			}
			for _, e := range entries {
				out = append(out, e.Target)
			}
		}
	}
	return out
}

// runUntil plays until something holds.
func (sim *simulation) runUntil(what string, most time.Duration, holds func() bool) {
	sim.t.Helper()
	for end := sim.clk.Now().Add(most); !holds(); sim.runFor(10 * time.Millisecond) {
		if sim.clk.Now().After(end) {
			sim.t.Fatalf("after %v still not: %s", most, what)
		}
		sim.requireUnbroken()
	}
}

// A holder that loses the state service, the cloud, or its process between the entry of a
// return and the call: whoever holds the block then completes it.
func TestLossesBetweenEntryAndCall(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(sim *simulation, holder *simulatedNode)
	}{
		{"the state service is out for all", func(sim *simulation, _ *simulatedNode) { sim.stateOutage(20 * time.Second) }},
		{"the state service refuses the holder", func(sim *simulation, holder *simulatedNode) {
			holder.stateRefused = true
			sim.clk.Schedule(20*time.Second, func() { holder.stateRefused = false })
		}},
		{"the holder is cut off from the state service, and what it sent comes late", func(sim *simulation, holder *simulatedNode) {
			holder.stateCut = true
			sim.clk.Schedule(20*time.Second, holder.restoreState)
		}},
		{"the cloud is out", func(sim *simulation, _ *simulatedNode) {
			sim.cloud.Unavailable = true
			sim.clk.Schedule(20*time.Second, func() { sim.cloud.Unavailable = false })
		}},
		{"the holder's calls of the cloud come late", func(sim *simulation, holder *simulatedNode) {
			holder.cloudCut = true
			sim.clk.Schedule(3*time.Second, func() { holder.crash(time.Second) })
			sim.clk.Schedule(20*time.Second, func() { holder.cloudCut = false })
		}},
		{"the holder ends, and its successor within a second", func(sim *simulation, holder *simulatedNode) {
			holder.crash(500 * time.Millisecond)
			sim.runUntil("a successor", 20*time.Second, func() bool {
				for _, n := range sim.nodes {
					if t := n.controller.terms[0]; n.alive && n != holder && t != nil && t.State() != term.Ended {
						n.crash(300 * time.Millisecond)
						return true
					}
				}
				return false
			})
		}},
		{"all end", func(sim *simulation, _ *simulatedNode) {
			for _, n := range sim.nodes {
				n.crash(time.Second)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := dutiesSimulation(t)
			sim.runUntil("an entry", 2*time.Minute, func() bool { return len(sim.entries()) > 0 })
			holder := sim.holder()
			if holder == nil {
				t.Fatal("nobody holds the block")
			}
			entered := sim.entries()
			c.lose(sim, holder)
			sim.runFor(40 * time.Second)
			for _, host := range entered {
				if sim.machines[host] != nil {
					t.Errorf("%s was entered and is still there", host)
				}
			}
			sim.settle()
		})
	}
}

// A machine that an earlier tenure used, is being deleted, and answers under an older
// token: what is on it is still not known, so the tenure must not count it as heard.
func TestDeletingMachineIsHeardByItsTokenOnly(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	sim.cloud.Unavailable = true // nothing is deleted
	var cut *machine
	for _, host := range sim.hosts() {
		if m := sim.machines[host]; len(m.Tasks) > 0 && m.Tasks[0].OnMachine() {
			cut = m
		}
	}
	cut.partitioned = true
	sim.holder().crash(time.Hour)
	var tenure *term.Term
	sim.runUntil("a tenure that deletes the machine", 20*time.Second, func() bool {
		for _, n := range sim.nodes {
			if o := n.controller.terms[0]; n.alive && o != nil && o.State() == term.Fencing {
				if m := o.Workers().Get(cut.Host.ID); m != nil && m.State == worker.Deleting {
					tenure = o
					return true
				}
			}
		}
		return false
	})
	old := cut.Heartbeat()
	tenure.HandleHeartbeat(sim.clk.Now(), old, func(int, any) {})
	if m := tenure.Workers().Get(cut.Host.ID); m.LeaseRenewedAt.IsZero() {
		t.Fatal("the older report was not answered: this tests nothing")
	}
	sim.runFor(500 * time.Millisecond)
	if tenure.State() != term.Fencing {
		t.Errorf("%v although it is not known what is on %s", tenure.State(), cut.Host.ID)
	}
	sim.cloud.Unavailable, cut.partitioned = false, false
	sim.release(cut)
	sim.settle()
}

// leaveEntries makes a block whose last holder has entered all its machines for return.
func (sim *simulation) leaveEntries(machines int) {
	const perRental, perPage = 50, 80
	put := func(key string, value any) {
		sim.state.Call(store.Call{Op: store.OpTransaction, Transaction: wire.Transaction{Writes: []wire.Write{store.Put(key, value, 0)}}}, func(store.Result) {})
	}
	type entry struct {
		Duty  intentlog.Operation
		Token uint64
		At    int64
	}
	page, names := map[string]entry{}, []string{}
	for i := range machines {
		id := fmt.Sprintf("i-%06d", i)
		host := wire.Machine{ID: id, Address: addressPrefix + id, Type: smallType.Name, Zone: "a", State: wire.MachineRunning}
		sim.cloud.Hosts[id] = &standin.CloudHost{CreatedAt: sim.clk.Now(), Machine: host}
		sim.booted(sim.cloud.Hosts[id])
		page[id], names = entry{intentlog.Deprovision, 0, sim.clk.Now().UnixMilli()}, append(names, id)
		if len(names) == perRental {
			put(fmt.Sprintf("%sb0-0-%d", fleet.ShardProvisioningPrefix(0), i), fleet.ProvisioningRecord{Type: smallType.Name, Zone: "a", Number: perRental, Hosts: names})
			names = nil
		}
		if len(page) == perPage {
			put(fmt.Sprintf("%s%d", intentlog.LogPrefix(0), i/perPage), page)
			page = map[string]entry{}
		}
	}
	sim.cloud.Created = machines
}

// Thousands of entries to complete after a takeover: within the rates of cloud and state
// service, and nothing else waits for the last of them.
func TestManyEntriesAfterATakeover(t *testing.T) {
	const (
		cloudRPS, writesPerS = 4, 20
		most                 = 90 * time.Second
	)
	cfg := facts([]string{"a"}, steadyTeams, 4, 18)
	cfg.Platform.Cloud.RPS = cloudRPS
	sim := newSimulation(t, 5, cfg, 1, []wire.MachineType{smallType})
	sim.checkEvery = time.Second
	sim.state.PageSize, sim.cloud.PageSize = tuning.ListPageSize, tuning.CloudPageSize
	sim.keepDuties()
	sim.leaveEntries(largeFleet)
	sim.cloud.Available[standin.CapacityKey(smallType.Name, "a", false)] = 8
	sim.state.Limits = standin.StateLimits{MaxValueBytes: 4 << 10, MaxTxnOps: 8, WritesPerS: writesPerS, RequestsPerS: 200}
	refused := 0
	check := sim.state.OnCall
	sim.state.OnCall = func(c store.Call, err error) {
		check(c, err)
		if errors.Is(err, store.ErrThrottled) {
			refused++
		}
	}
	j := sim.add(steadyJob(1), 5*time.Second)
	sim.runFor(40 * time.Second)
	if !j.Ended() {
		t.Errorf("a job waits for the entries: it is %q", j.KnownState)
	}
	began := sim.clk.Now()
	for len(sim.entries()) > 0 && sim.clk.Now().Sub(began) < most {
		sim.runFor(time.Second)
	}
	if left := len(sim.entries()); left > 0 {
		t.Errorf("%d entries are left after %v", left, sim.clk.Now().Sub(standin.Epoch))
	}
	if n := sim.actions.Effects[intentlog.Deprovision]; n < largeFleet {
		t.Errorf("%d deletions", n)
	}
	t.Logf("%d entries completed and forgotten after %v; %d calls of the state service were refused", largeFleet, sim.clk.Now().Sub(standin.Epoch), refused)
	sim.settle()
}

// askDuties asks a node about the duties.
func (sim *simulation) askDuties(n *simulatedNode) (reply *peerpb.IntentsReply) {
	sim.t.Helper()
	n.controller.Intents(sim.clk.Now(), func(r *peerpb.IntentsReply, err error) {
		if err != nil {
			sim.t.Errorf("%s: %v", n.name, err)
		}
		reply = r
	})
	sim.runFor(200 * time.Millisecond)
	if reply == nil {
		sim.t.Fatalf("%s does not answer", n.name)
	}
	return reply
}

// What an operator is told of the duties, asked of the holder and of others, and while
// nobody has the block.
func TestDutiesTold(t *testing.T) {
	sim := dutiesSimulation(t)
	sim.runUntil("an entry", 2*time.Minute, func() bool { return len(sim.entries()) > 0 })
	holder := sim.holder()
	host := sim.entries()[0]
	names := func(r *peerpb.IntentsReply) (out []string) {
		for _, d := range r.Shards[0].Operations {
			for _, a := range d.Intents {
				out = append(out, a.Target)
			}
		}
		return out
	}
	sim.cloud.Unavailable = true // so that it stays unsettled
	token := holder.controller.terms[0].Token
	for _, n := range sim.nodes {
		r := sim.askDuties(n)
		b := r.Shards[0]
		if !r.InForce || b.Holder != holder.name || !b.Live || b.Token != token || b.AssignedAtMs == 0 || (b.State == "open") != (n == holder) {
			t.Errorf("%s: %+v", n.name, r)
		}
		if !strings.Contains(strings.Join(names(r), " "), host) {
			t.Errorf("%s does not tell of %s: %v", n.name, host, names(r))
		}
	}
	holder.crash(time.Hour)
	sim.runFor(500 * time.Millisecond)
	var other *simulatedNode
	for _, n := range sim.nodes {
		if n != holder {
			other = n
		}
	}
	if r := sim.askDuties(other); r.Shards[0].Holder != holder.name {
		t.Errorf("right after the crash: %+v", r.Shards[0])
	}
	sim.runUntil("a record without a live holder", 10*time.Second, func() bool {
		_, _, live := other.controller.membership.Holder(0)
		return !live
	})
	if r := sim.askDuties(other); r.Shards[0].Live && r.Shards[0].Holder == holder.name {
		t.Errorf("during the takeover: %+v", r.Shards[0])
	}
	sim.runFor(5 * time.Second)
	sim.stateOutage(20 * time.Second)
	sim.runFor(5 * time.Second)
	if r := sim.askDuties(other); r.IntentsAgeMs < 4000 || r.HoldersAgeMs < 3000 || len(names(r)) == 0 {
		t.Errorf("in an outage: entries %d ms old, holders %d ms, %v", r.IntentsAgeMs, r.HoldersAgeMs, names(r))
	}
	sim.cloud.Unavailable = false
	sim.runFor(30 * time.Second)
	sim.settle()
}

// A process whose clock was moved forward ends its tenures, and concludes nothing from the
// time that may not have passed.
func TestClockMoved(t *testing.T) {
	sim := dutiesSimulation(t)
	holder := sim.holder()
	before := holder.controller.terms[0]
	holder.controller.EndTermsAfterSuspension(sim.clk.Now())
	if before.State() != term.Ended {
		t.Fatalf("the tenure is %v", before.State())
	}
	sim.runFor(10 * time.Second)
	if next := sim.holder(); next == nil || next.controller.terms[0].Token <= before.Token {
		t.Error("no tenure under a newer token")
	}
	sim.settle()
}
