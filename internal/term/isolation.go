package term

import (
	"iter"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// isolation tracks whether this process is isolated from the shard's workers.
type isolation struct {
	unreachable bool      // no worker has sent a heartbeat within the limit
	probeAt     time.Time // earliest time of the next probe through peers
}

// detectIsolation checks whether all workers have stopped sending heartbeats, and if so has peers probe
// them. If a peer reaches a worker, this process is isolated and releases the shard, so that a reachable
// lease holder renews the worker leases in time. Otherwise every task would be lost and every machine
// deleted as unresponsive.
func (t *Term) detectIsolation(now time.Time) {
	machines := 0
	var last time.Time // latest heartbeat of any machine
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
	t.log.Info("no heartbeats from workers; probing them through peers", "count", machines,
		"duration", now.Sub(last))
	t.probeThroughPeers(t.addressesToProbe(now))
}

// addressesToProbe returns the addresses of up to tuning.ProbeWorkers machines.
func (t *Term) addressesToProbe(now time.Time) (addresses []string) {
	for machine := range t.machinesWithinLease(now) {
		if len(addresses) == tuning.ProbeWorkers {
			break
		}
		addresses = append(addresses, machine.Address)
	}
	return addresses
}

// probeThroughPeers asks every peer to probe the workers at the given addresses.
func (t *Term) probeThroughPeers(addresses []string) {
	for _, member := range t.options.Peers {
		t.options.Effects.ProbeWorkers(member, &peerpb.ProbeRequest{Addresses: addresses}, t.handleProbe)
	}
}

// machinesWithinLease iterates over the machines that are expected to send heartbeats and whose worker
// leases may be valid.
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

// handleProbe ends the term if a peer has reached a worker while this process reaches none.
func (t *Term) handleProbe(now time.Time, reply *peerpb.ProbeReply, err error) {
	if err == nil && reply.Answered > 0 && t.isolation.unreachable && t.Live() {
		t.End(now, "only this process does not reach the workers")
		t.options.Controller.ReconcileTerms(now)
	}
}
