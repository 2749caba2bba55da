package controller

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// fencing is what a tenure does to learn where tasks of earlier tenures are, and whether
// it still reaches its workers.
type fencing struct {
	askAt        map[string]time.Time // when a machine is asked again
	incarnations map[string]uint64    // of machines that refused a command for its session
	unreachable  bool                 // this node hears none of its workers any more
	probeAt      time.Time            // when peers are asked again whether they do
}

// unreconciledLeaseEnd is when the lease of a machine that this tenure has not heard
// is surely over, whatever the holder before it did.
func (t *term) unreconciledLeaseEnd() time.Time {
	u := t.startedAt.Add(t.workers.LeaseExpiry())
	if !t.PredecessorEnded {
		u = u.Add(t.renewalBound())
	}
	return u
}

// fenceWorkers asks the machines not heard yet for their account, under the new
// token, and opens the tenure once none is left.
func (t *term) fenceWorkers(now time.Time) {
	for _, m := range t.workers.All() {
		if t.unreconciled(m) {
			if m.Address != "" && !m.CommandInFlight && !now.Before(t.fencing.askAt[m.Host]) {
				t.fencing.askAt[m.Host] = now.Add(tuning.ReconcileRetry)
				t.sendCommands(now, m, []wire.Command{})
			}
		}
	}
	if t.reserveUnknown() == 0 && t.state == termFencing {
		t.setState(now, termOpen, "every machine heard or gone")
		t.scheduler.MarkReconciled(now)
	}
}

// unreconciled tells whether a machine may have tasks of an earlier tenure that are not known.
// One that is being deleted is heard by what it says under this tenure's token alone: the
// answer to an older report renews its lease without telling what is on it.
func (t *term) unreconciled(m *worker.Machine) bool {
	return m.State == worker.Unreconciled || m.State == worker.Deleting && m.LastContact.IsZero() && m.Registered && !m.LeaseEnded
}

// reserveUnknown has the whole room of machines whose tasks are not known count against every
// limited team, and tells how many have not been heard.
func (t *term) reserveUnknown() (unheard int) {
	var blocked quota.Resources
	for _, m := range t.workers.All() {
		if t.unreconciled(m) {
			unheard++
			blocked = blocked.Add(m.Capacity)
		} else if m.HasUnknownTasks {
			blocked = blocked.Add(m.Capacity)
		}
	}
	t.ledger.SetUnknownUsage(blocked)
	return unheard
}

// detectIsolation notices when this node hears none of its workers any more. If a peer
// still reaches them, only this node is cut off: it gives the block back, so
// that a holder they can reach renews their leases in time. Keeping it would
// lose every task, and return every machine as silent.
func (t *term) detectIsolation(now time.Time) {
	w := t.controller.config.Platform.Workers
	var last time.Time
	machines := 0
	each := func(f func(m *worker.Machine)) {
		for _, m := range t.workers.All() {
			if (m.State == worker.Up || m.State == worker.Unresponsive) && now.Sub(m.LastHeartbeat) <= config.Seconds(w.LeaseS) {
				f(m)
			}
		}
	}
	each(func(m *worker.Machine) {
		machines++
		if m.LastHeartbeat.After(last) {
			last = m.LastHeartbeat
		}
	})
	t.fencing.unreachable = machines >= tuning.IsolationMinMachines && now.Sub(last) > config.Seconds(w.HeartbeatS*tuning.IsolationHeartbeats)+tuning.UnresponsiveGrace
	if !t.fencing.unreachable || now.Before(t.fencing.probeAt) {
		return
	}
	t.fencing.probeAt = now.Add(tuning.ProbeTimeout + tuning.ProgressTimeout)
	t.log.Info("no worker is heard any more", "machines", machines, "for", now.Sub(last))
	var addrs []string
	each(func(m *worker.Machine) {
		if len(addrs) < tuning.ProbeWorkers {
			addrs = append(addrs, m.Address)
		}
	})
	for _, k := range t.controller.config.Peers {
		t.controller.effects.ProbeWorkers(k.Member, &peerpb.ProbeRequest{Addresses: addrs}, func(now time.Time, r *peerpb.ProbeReply, err error) {
			if err == nil && r.Answered > 0 && t.fencing.unreachable && t.state != termEnded {
				t.end(now, "only this node does not hear the workers")
				t.controller.reconcileTerms(now)
			}
		})
	}
}
