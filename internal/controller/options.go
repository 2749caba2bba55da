package controller

import (
	"math/rand/v2"
	"time"

	"juniperchute/internal/featuregate"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/tracing"
	"juniperchute/internal/tuning"
)

// Options are what a controller is started with beside the platform's settings.
type Options struct {
	Shards   int
	Features featuregate.Gates
	Tracer   intentlog.Tracer // nil: no spans are made
}

// NewOptions makes the options of a member that has some switches on. finish writes what
// is left of its trace.
func NewOptions(s featuregate.Gates, member string, rng *rand.Rand) (o Options, finish func(), err error) {
	o = Options{Shards: tuning.Shards, Features: s}
	if s.Trace.File == "" {
		return o, func() {}, nil
	}
	recorder, err := tracing.Open(s.Trace.File, int64(s.Trace.MaxMB*(1<<20)), member, time.Now, rng)
	if err != nil {
		return Options{}, nil, err
	}
	o.Tracer = recorder
	return o, recorder.Close, nil
}
