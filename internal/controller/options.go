package controller

import (
	"fmt"
	"math/rand/v2"
	"time"

	"juniperchute/internal/featuregate"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/tracing"
	"juniperchute/internal/tuning"
)

// Options configures a controller beyond its settings file.
type Options struct {
	Shards   int               // number of shards in the deployment; the same for all members
	Features featuregate.Gates // feature gates that this process enables
	Tracer   intentlog.Tracer  // nil disables tracing
}

const bytesPerMB = 1 << 20

// NewOptions returns the options of a member with the given feature gates, and opens the trace
// file if one is configured. closeTrace flushes and closes the trace.
func NewOptions(gates featuregate.Gates, member string, rng *rand.Rand) (
	options Options, closeTrace func(), err error) {
	options = Options{Shards: tuning.Shards, Features: gates}
	if gates.Trace.File == "" {
		return options, func() {}, nil
	}
	recorder, err := tracing.Open(gates.Trace.File, int64(gates.Trace.MaxMB*bytesPerMB), member, time.Now, rng)
	if err != nil {
		return Options{}, nil, fmt.Errorf("open trace file: %w", err)
	}
	options.Tracer = recorder
	return options, recorder.Close, nil
}
