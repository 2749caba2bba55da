package term

import (
	"time"

	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/tuning"
)

// cloudIsolation tracks whether this process is isolated from the cloud.
type cloudIsolation struct {
	isolated bool      // a peer reaches the cloud and this process does not
	probeAt  time.Time // earliest time of the next probe through peers
}

// Unreachable reports whether this process ended the term because only it does not reach the workers or the
// cloud. It is then the least preferred holder of the shard.
func (t *Term) Unreachable() bool { return t.isolation.unreachable || t.cloudIsolation.isolated }

// detectCloudIsolation checks whether no cloud call has succeeded for a while, and if so has peers probe the
// cloud. If a peer reaches it, this process is isolated and releases the shard, because it could neither
// provision nor deprovision machines for as long as it holds the lease.
func (t *Term) detectCloudIsolation(now time.Time) {
	if t.autoscaler.CloudFailingFor() < tuning.CloudIsolationTimeout || now.Before(t.cloudIsolation.probeAt) {
		return
	}
	t.cloudIsolation.probeAt = now.Add(tuning.CloudProbeInterval)
	t.log.Info("no cloud call succeeds; probing the cloud through peers", "duration", t.autoscaler.CloudFailingFor())
	t.probeThroughPeers(&peerpb.ProbeRequest{Cloud: true}, t.endIfCloudUnreachable)
}

// endIfCloudUnreachable ends the term if still no cloud call of this process succeeds, while a peer has reached the
// cloud.
func (t *Term) endIfCloudUnreachable(now time.Time) {
	if t.autoscaler.CloudFailingFor() >= tuning.CloudIsolationTimeout {
		t.cloudIsolation.isolated = true
		t.endIsolated(now, "only this process does not reach the cloud")
	}
}
