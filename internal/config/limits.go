package config

import (
	"fmt"

	"juniperchute/internal/tuning"
)

// StateLimits are the limits of the state service.
type StateLimits struct {
	RPS      float64 `toml:"rps"`       // requests
	WriteRPS float64 `toml:"write_rps"` // puts and deletes
	ValueKB  float64 `toml:"value_kb"`  // of one value
	TxnOps   int     `toml:"txn_ops"`   // puts and deletes of one transaction
	// Next are the limits that the service will have from some moment on, which it does not
	// announce. A limit that is not named stays as it is.
	Next UpcomingLimits `toml:"next"`
}

// UpcomingLimits is the table of upcoming limits as written; names it does not know are ignored.
type UpcomingLimits map[string]any

// Names of limits in UpcomingLimits: the tags of StateLimits.
const (
	limitRPS      = "rps"
	limitWriteRPS = "write_rps"
	limitValueKB  = "value_kb"
	limitTxnOps   = "txn_ops"
)

// Upcoming are the upcoming limits, with those that are not named as they are now.
func (l StateLimits) Upcoming() StateLimits {
	return StateLimits{
		RPS:      l.Next.get(limitRPS, l.RPS),
		WriteRPS: l.Next.get(limitWriteRPS, l.WriteRPS),
		ValueKB:  l.Next.get(limitValueKB, l.ValueKB),
		TxnOps:   int(l.Next.get(limitTxnOps, float64(l.TxnOps))),
	}
}

// StoredLimits are the limits for what is stored. It has to fit the service before and after the
// change, as nobody announces when the change comes.
func (l StateLimits) StoredLimits() StateLimits {
	limits := l.Upcoming()
	limits.ValueKB = min(limits.ValueKB, l.ValueKB)
	limits.TxnOps = min(limits.TxnOps, l.TxnOps)
	return limits
}

// get is a named limit, or the present one if there is no such number.
func (u UpcomingLimits) get(name string, present float64) float64 {
	if v, ok := number(u[name]); ok {
		return v
	}
	return present
}

func number(v any) (float64, bool) {
	switch n := v.(type) {
	case float64:
		return n, true
	case int64:
		return float64(n), true
	}
	return 0, false
}

// CloudLimits are the limits of the cloud.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`        // requests
	ListLagS float64 `toml:"list_lag_s"` // by which the list of machines usually lags
}

// MachineLimits are those of the machine that the controller runs on.
type MachineLimits struct {
	CPU      float64 `toml:"cpu"` // share of one core
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// BelowRecommended lists, as warnings, the limits that are lower than any this service was measured
// with. It runs, as the fleet may be small too, but was never seen to keep up.
func (l MachineLimits) BelowRecommended() []string {
	var warnings []string
	for _, limit := range []struct {
		name            string
		value, measured float64
	}{
		{name: "cpu", value: l.CPU, measured: tuning.RecommendedCPU},
		{name: "memory_mb", value: l.MemoryMB, measured: tuning.RecommendedMemoryMB},
		{name: "sockets", value: float64(l.Sockets), measured: tuning.RecommendedSockets},
	} {
		if limit.value < limit.measured {
			warnings = append(warnings, fmt.Sprintf("facts.machine_limits.%s: %g is below %g, the least measured",
				limit.name, limit.value, limit.measured))
		}
	}
	return warnings
}
