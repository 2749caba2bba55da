package term

import (
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

// WorkersUnreachable tells whether no worker's heartbeats arrive any more.
func (t *Term) WorkersUnreachable() bool { return t.isolation.unreachable }

// detectIsolation notices when no worker's heartbeats arrive any more. If a peer still
// reaches the workers, only this process is cut off: it gives the shard back, so that a lease
// holder whom they can reach renews their leases in time. Keeping it would lose every task,
// and delete every machine as unresponsive.
func (t *Term) detectIsolation(now time.Time) {
	machines := t.machinesWithinLease(now)
	last := lastHeartbeat(machines)
	limit := config.Seconds(t.options.Platform.Workers.HeartbeatS*tuning.IsolationHeartbeats) + tuning.UnresponsiveGrace
	t.isolation.unreachable = len(machines) >= tuning.IsolationMinMachines && now.Sub(last) > limit
	if !t.isolation.unreachable || now.Before(t.isolation.probeAt) {
		return
	}
	t.isolation.probeAt = now.Add(tuning.ProbeTimeout + tuning.ProgressTimeout)
	t.log.Info("workers unreachable", "workers", len(machines), "for", now.Sub(last))
	var addresses []string
	for _, machine := range machines[:min(len(machines), tuning.ProbeWorkers)] {
		addresses = append(addresses, machine.Address)
	}
	for _, member := range t.options.Peers {
		t.options.Effects.ProbeWorkers(member, &peerpb.ProbeRequest{Addresses: addresses}, t.handleProbe)
	}
}

// machinesWithinLease are the machines that should send heartbeats: their leases may stand.
func (t *Term) machinesWithinLease(now time.Time) []*worker.Machine {
	lease := config.Seconds(t.options.Platform.Workers.LeaseS)
	var out []*worker.Machine
	for _, machine := range t.workers.All() {
		reporting := machine.State == worker.Up || machine.State == worker.Unresponsive
		if reporting && now.Sub(machine.LastHeartbeat) <= lease {
			out = append(out, machine)
		}
	}
	return out
}

func lastHeartbeat(machines []*worker.Machine) (last time.Time) {
	for _, machine := range machines {
		if machine.LastHeartbeat.After(last) {
			last = machine.LastHeartbeat
		}
	}
	return last
}

// handleProbe ends the term if a peer reaches workers that this process does not.
func (t *Term) handleProbe(now time.Time, reply *peerpb.ProbeReply, err error) {
	if err == nil && reply.Answered > 0 && t.isolation.unreachable && t.Live() {
		t.End(now, "only this process does not reach the workers")
		t.options.Host.ReconcileTerms(now)
	}
}
