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

// Options are what a controller is started with beside the platform's settings.
type Options struct {
	Shards   int               // of the deployment; the same for all members
	Features featuregate.Gates // that this process has switched on
	Tracer   intentlog.Tracer  // nil: no spans are made
}

// bytesPerMB is the unit of the trace's size.
const bytesPerMB = 1 << 20

// NewOptions makes the options of a member that has some feature gates on. closeTrace writes what
// is left of its trace.
func NewOptions(gates featuregate.Gates, member string, rng *rand.Rand) (
	options Options, closeTrace func(), err error) {
	options = Options{Shards: tuning.Shards, Features: gates}
	if gates.Trace.File == "" {
		return options, func() {}, nil
	}
	recorder, err := tracing.Open(gates.Trace.File, int64(gates.Trace.MaxMB*bytesPerMB), member, time.Now, rng)
	if err != nil {
		return Options{}, nil, fmt.Errorf("open trace: %w", err)
	}
	options.Tracer = recorder
	return options, recorder.Close, nil
}
