package controller

import (
	"time"

	"juniperchute/internal/config"
)

// startOldVersion starts all controllers on the earlier version, with announced limits that
// make its pages too large.
func (sim *simulation) startOldVersion() {
	sim.startsOld = true
	sim.cfg.Platform.State.ValueKB = 1
	sim.cfg.Platform.State.Next = config.UpcomingLimits{"value_kb": 0.5, "txn_ops": int64(4), "write_rps": 12.0}
	sim.state.Limits.MaxValueBytes, sim.state.Limits.MaxTxnOps = 1024, 8
	for _, n := range sim.nodes {
		n.crash(0)
	}
}

// upgradeNext gives one more controller the new version; once all have it the state
// service's limits fall, whatever is going on.
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
