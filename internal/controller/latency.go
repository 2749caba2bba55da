package controller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The kinds of calls whose times are kept.
const (
	latencyUser = iota
	latencyState
	latencyCloud
	latencyKinds
)

var latencyNames = [latencyKinds]string{"requests", "state", "cloud"}

// latencyRecorder keeps the times of calls, in milliseconds, for the status.
type latencyRecorder struct {
	lock       *sync.Mutex
	histograms [latencyKinds]*hdrhistogram.Histogram
}

func newLatencyRecorder() latencyRecorder {
	l := latencyRecorder{lock: &sync.Mutex{}}
	for i := range l.histograms {
		l.histograms[i] = hdrhistogram.New(1, time.Minute.Milliseconds(), 2)
	}
	return l
}

func (l *latencyRecorder) record(kind int, d time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	// a time beyond the range counts as the largest
	_ = l.histograms[kind].RecordValue(min(max(d.Milliseconds(), 1), time.Minute.Milliseconds()))
}

// values lists the median and the 99th percentile of each kind.
func (l *latencyRecorder) values() map[string]int64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	out := map[string]int64{}
	for i, h := range l.histograms {
		out[latencyNames[i]+"_p50_ms"] = h.ValueAtQuantile(50)
		out[latencyNames[i]+"_p99_ms"] = h.ValueAtQuantile(99)
	}
	return out
}
