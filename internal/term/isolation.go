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
	t.probeThroughPeers(&peerpb.ProbeRequest{Addresses: t.addressesToProbe(now)}, t.endIfWorkersUnreachable)
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

// probeThroughPeers asks every peer to probe what this process does not reach. It calls onAnswered for each peer
// that gets an answer while the term is live.
func (t *Term) probeThroughPeers(request *peerpb.ProbeRequest, onAnswered func(now time.Time)) {
	handle := func(now time.Time, reply *peerpb.ProbeReply, err error) {
		if err == nil && reply.Answered > 0 && t.Live() {
			onAnswered(now)
		}
	}
	for _, member := range t.options.Peers {
		t.options.Effects.ProbeWorkers(member, request, handle)
	}
}

// endIfWorkersUnreachable ends the term if this process still reaches no worker, while a peer has reached one.
func (t *Term) endIfWorkersUnreachable(now time.Time) {
	if t.isolation.unreachable {
		t.endIsolated(now, "only this process does not reach the workers")
	}
}

// endIsolated ends the term and releases the shard to a controller that is not isolated.
func (t *Term) endIsolated(now time.Time, reason string) {
	t.End(now, reason)
	t.options.Controller.ReconcileTerms(now)
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
