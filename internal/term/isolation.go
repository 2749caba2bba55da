package term

import (
	"iter"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// isolation is what a term keeps to notice that this process has lost its workers.
type isolation struct {
	unreachable bool      // no worker's heartbeats arrive any more
	probeAt     time.Time // when peers are asked again whether the workers answer them
}

// WorkersUnreachable reports whether no worker's heartbeats arrive any more.
func (t *Term) WorkersUnreachable() bool { return t.isolation.unreachable }

// detectIsolation notices when no worker's heartbeats arrive any more. If a peer still
// reaches the workers, only this process is cut off: it gives the shard back, so that a lease
// holder whom they can reach renews their leases in time. Keeping it would lose every task,
// and delete every machine as unresponsive.
func (t *Term) detectIsolation(now time.Time) {
	machines := 0
	var last time.Time // the newest heartbeat of all
	for machine := range t.machinesWithinLease(now) {
		machines++
		if machine.LastHeartbeat.After(last) {
			last = machine.LastHeartbeat
		}
	}
	limit := config.Seconds(t.options.Platform.Workers.HeartbeatS*tuning.IsolationHeartbeats) + tuning.UnresponsiveGrace
	t.isolation.unreachable = machines >= tuning.IsolationMinMachines && now.Sub(last) > limit
	if !t.isolation.unreachable || now.Before(t.isolation.probeAt) {
		return
	}
	t.isolation.probeAt = now.Add(tuning.ProbeTimeout + tuning.ProgressTimeout)
	t.log.Info("workers unreachable", "workers", machines, "for", now.Sub(last))
	t.probeThroughPeers(t.addressesToProbe(now))
}

// addressesToProbe are the addresses of a few machines that should send heartbeats.
func (t *Term) addressesToProbe(now time.Time) (addresses []string) {
	for machine := range t.machinesWithinLease(now) {
		if len(addresses) == tuning.ProbeWorkers {
			break
		}
		addresses = append(addresses, machine.Address)
	}
	return addresses
}

// probeThroughPeers has all peers ask whether workers answer them.
func (t *Term) probeThroughPeers(addresses []string) {
	for _, member := range t.options.Peers {
		t.options.Effects.ProbeWorkers(member, &peerpb.ProbeRequest{Addresses: addresses}, t.handleProbe)
	}
}

// machinesWithinLease iterates over the machines that should send heartbeats: their leases
// may stand.
func (t *Term) machinesWithinLease(now time.Time) iter.Seq[*worker.Machine] {
	lease := config.Seconds(t.options.Platform.Workers.LeaseS)
	return func(yield func(*worker.Machine) bool) {
		for _, machine := range t.workers.All() {
			reporting := machine.State == worker.Up || machine.State == worker.Unresponsive
			if reporting && now.Sub(machine.LastHeartbeat) <= lease && !yield(machine) {
				return
			}
		}
	}
}

// handleProbe ends the term if a peer reaches workers that this process does not.
func (t *Term) handleProbe(now time.Time, reply *peerpb.ProbeReply, err error) {
	if err == nil && reply.Answered > 0 && t.isolation.unreachable && t.Live() {
		t.End(now, "only this process does not reach the workers")
		t.options.Host.ReconcileTerms(now)
	}
}
