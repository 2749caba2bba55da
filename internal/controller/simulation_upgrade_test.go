package controller

import (
	"time"

	"juniperchute/internal/config"
)

// startOldVersion restarts all controllers as the old version. The announced limits, which apply after
// the upgrade, are below the sizes of the pages that this version writes.
func (sim *simulation) startOldVersion() {
	sim.startsOnOldVersion = true
	sim.cfg.Platform.State.ValueKB = 1
	sim.cfg.Platform.State.Next = config.UpcomingLimits{"value_kb": 0.5, "txn_ops": int64(4), "write_rps": 12.0}
	sim.state.Limits.MaxValueBytes, sim.state.Limits.MaxTxnOps = 1024, 8
	for _, n := range sim.nodes {
		n.crash(0)
	}
}

// upgradeNext restarts one more controller with the new version. Once all of them have it, upgradeNext
// lowers the limits of the state service, at random together with an outage or a crash.
func (sim *simulation) upgradeNext() {
	for _, n := range sim.nodes {
		if !n.upgraded {
			n.upgraded = true
			n.crash(time.Duration(100+sim.rng.IntN(3000)) * time.Millisecond)
			return
		}
	}
	if sim.state.Limits.MaxValueBytes == 1024 {
		sim.clock.Schedule(time.Duration(sim.rng.IntN(20000))*time.Millisecond, func() {
			sim.state.Limits.MaxValueBytes, sim.state.Limits.MaxTxnOps, sim.state.Limits.WritesPerS = 512, 4, 12
			switch sim.rng.IntN(3) {
			case 0:
				sim.state.SetUnavailable(true)
				sim.clock.Schedule(4*time.Second, func() { sim.state.SetUnavailable(false) })
			case 1:
				sim.nodes[sim.rng.IntN(len(sim.nodes))].crash(time.Second)
			}
		})
	}
}
