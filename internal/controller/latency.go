package controller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// callKind selects the latency histogram of a call.
type callKind int

const (
	latencyUser callKind = iota
	latencyState
	latencyCloud
	callKindCount
)

// latencyNames holds the prefix of each kind's counters in the status reply.
var latencyNames = [callKindCount]string{"requests", "state", "cloud"}

// Range and precision of the histograms.
const (
	latencyMinMs  = 1
	latencyMaxMs  = 60_000
	latencyDigits = 2 // significant digits
)

// latencyRecorder records call latencies. It is safe for concurrent use.
type latencyRecorder struct {
	lock       sync.Mutex
	histograms [callKindCount]*hdrhistogram.Histogram
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
	// The value is clamped to the histogram's range, so RecordValue cannot fail.
	_ = r.histograms[kind].RecordValue(min(max(latency.Milliseconds(), latencyMinMs), latencyMaxMs))
}

// values returns the median and the 99th percentile of each kind, by counter name.
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
