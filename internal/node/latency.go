package node

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The kinds of calls whose times are kept.
const (
	latUser = iota
	latState
	latCloud
	latKinds
)

var latNames = [latKinds]string{"requests", "state", "cloud"}

// latencies keeps the times of calls, in milliseconds, for the status.
type latencies struct {
	lock *sync.Mutex
	hist [latKinds]*hdrhistogram.Histogram
}

func newLatencies() latencies {
	l := latencies{lock: &sync.Mutex{}}
	for i := range l.hist {
		l.hist[i] = hdrhistogram.New(1, time.Minute.Milliseconds(), 2)
	}
	return l
}

func (l *latencies) note(kind int, d time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	// a time beyond the range counts as the largest
	_ = l.hist[kind].RecordValue(min(max(d.Milliseconds(), 1), time.Minute.Milliseconds()))
}

// values lists the median and the 99th percentile of each kind.
func (l *latencies) values() map[string]int64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	out := map[string]int64{}
	for i, h := range l.hist {
		out[latNames[i]+"_p50_ms"] = h.ValueAtQuantile(50)
		out[latNames[i]+"_p99_ms"] = h.ValueAtQuantile(99)
	}
	return out
}
