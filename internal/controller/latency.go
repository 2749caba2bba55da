package controller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// callKind is a kind of call whose latency is recorded.
type callKind int

const (
	latencyUser callKind = iota
	latencyState
	latencyCloud
	callKinds
)

// latencyNames begin the names of the counters in the status.
var latencyNames = [callKinds]string{"requests", "state", "cloud"}

// Bounds of the recorded latencies, in milliseconds, and their precision in digits.
const (
	latencyMinMs  = 1
	latencyMaxMs  = 60_000
	latencyDigits = 2
)

// latencyRecorder records how long calls took. It may be used by several goroutines.
type latencyRecorder struct {
	lock       sync.Mutex
	histograms [callKinds]*hdrhistogram.Histogram
}

func newLatencyRecorder() *latencyRecorder {
	recorder := &latencyRecorder{}
	for kind := range recorder.histograms {
		recorder.histograms[kind] = hdrhistogram.New(latencyMinMs, latencyMaxMs, latencyDigits)
	}
	return recorder
}

func (r *latencyRecorder) record(kind callKind, latency time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	// a latency beyond the bounds counts as the nearest one, so there is no error
	_ = r.histograms[kind].RecordValue(min(max(latency.Milliseconds(), latencyMinMs), latencyMaxMs))
}

// values are the median and the 99th percentile of each kind, by the counters' names.
func (r *latencyRecorder) values() map[string]int64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	values := map[string]int64{}
	for kind, histogram := range r.histograms {
		values[latencyNames[kind]+"_p50_ms"] = histogram.ValueAtQuantile(50)
		values[latencyNames[kind]+"_p99_ms"] = histogram.ValueAtQuantile(99)
	}
	return values
}
