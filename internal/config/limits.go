package config

import (
	"fmt"

	"juniperchute/internal/tuning"
)

// StateLimits holds the rate and size limits of the state service.
type StateLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // puts and deletes per second
	ValueKB  float64 `toml:"value_kb"`  // size of a value
	TxnOps   int     `toml:"txn_ops"`   // puts and deletes per transaction
	// Next holds the limits after an upcoming change of unknown date. Limits that it omits do not
	// change.
	Next UpcomingLimits `toml:"next"`
}

// UpcomingLimits maps names of limits to their values in the settings file. Unknown names are ignored.
type UpcomingLimits map[string]any

// Keys of UpcomingLimits, which equal the tags of StateLimits.
const (
	limitRPS      = "rps"
	limitWriteRPS = "write_rps"
	limitValueKB  = "value_kb"
	limitTxnOps   = "txn_ops"
)

// Upcoming returns the limits after the upcoming change. Limits that Next omits keep their values.
func (l StateLimits) Upcoming() StateLimits {
	return StateLimits{
		RPS:      l.Next.get(limitRPS, l.RPS),
		WriteRPS: l.Next.get(limitWriteRPS, l.WriteRPS),
		ValueKB:  l.Next.get(limitValueKB, l.ValueKB),
		TxnOps:   int(l.Next.get(limitTxnOps, float64(l.TxnOps))),
	}
}

// RecordLimits returns the limits on the size of stored records and of the transactions that write them:
// the smaller of the current and the upcoming ones, as the date of the upcoming change is unknown. The rate
// limits in the result are the upcoming ones.
func (l StateLimits) RecordLimits() StateLimits {
	limits := l.Upcoming()
	limits.ValueKB = min(limits.ValueKB, l.ValueKB)
	limits.TxnOps = min(limits.TxnOps, l.TxnOps)
	return limits
}

// get returns the named limit, or the current one if the table has no number of this name.
func (u UpcomingLimits) get(name string, current float64) float64 {
	if v, ok := number(u[name]); ok {
		return v
	}
	return current
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

// CloudLimits holds the rate limit of the cloud API and the staleness of its lists.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`        // requests per second
	ListLagS float64 `toml:"list_lag_s"` // usual staleness of the list of machines
}

// MachineLimits holds the resources of the machine on which the controller runs.
type MachineLimits struct {
	CPU      float64 `toml:"cpu"` // cores
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// BelowRecommended returns a warning for each limit below the recommended minimum. Small fleets run
// with less.
func (l MachineLimits) BelowRecommended() []string {
	var warnings []string
	for _, limit := range []struct {
		name           string
		value, minimum float64
	}{
		{name: "cpu", value: l.CPU, minimum: tuning.RecommendedCPU},
		{name: "memory_mb", value: l.MemoryMB, minimum: tuning.RecommendedMemoryMB},
		{name: "sockets", value: float64(l.Sockets), minimum: tuning.RecommendedSockets},
	} {
		if limit.value < limit.minimum {
			warnings = append(warnings, fmt.Sprintf("facts.machine_limits.%s: %g is below %g, the least measured",
				limit.name, limit.value, limit.minimum))
		}
	}
	return warnings
}
