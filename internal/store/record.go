package store

import (
	"encoding/json"
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

type recordState int

const (
	recordClean   recordState = iota // the service has what is wanted
	recordDirty                      // something newer is wanted
	recordWriting                    // a write is under way
	recordReading                    // the key's version is being read again
	recordRefused                    // the wanted value was refused for its size; a smaller one is awaited
)

func (s recordState) String() string {
	return [...]string{"clean", "dirty", "writing", "reading", "refused"}[s]
}

// Record keeps one key at a wanted value, through refusals, lost answers and
// late transactions: each write is conditioned on the version before it and on
// the tenure, so that a late one fails.
type Record struct {
	Key string
	// TooLarge is told when the service has refused the wanted value for its size and
	// tells whether its owner will set a smaller one. Without it the value is written
	// again after growing pauses.
	TooLarge func(now time.Time) bool

	class   Class
	tenure  wire.Cond
	call    Caller
	version uint64
	state   recordState
	want    json.RawMessage // nil: no key
	ver     int             // of what is wanted
	kept    int             // newest version that is durable
	retry   time.Time
	pause   time.Duration // after a refusal for the size
	done    func(now time.Time, ver int)
	lost    func(now time.Time)
}

// NewRecord makes the record of a key that now has the given version. done is
// told of each version that has become durable, lost when the tenure is over.
func NewRecord(key string, version uint64, class Class, tenure wire.Cond, call Caller,
	done func(now time.Time, ver int), lost func(now time.Time)) *Record {
	return &Record{Key: key, version: version, class: class, tenure: tenure, call: call, done: done, lost: lost}
}

// Set wants a new value, nil for no key, and returns its version.
func (r *Record) Set(value any) int {
	r.want = nil
	if value != nil {
		r.want = Put(r.Key, value, 0).Value
	}
	r.ver++
	if r.state == recordClean || r.state == recordRefused {
		r.set(recordDirty)
	}
	return r.ver
}

// Newest is the version of the newest wanted value.
func (r *Record) Newest() int { return r.ver }

// Settled tells whether the newest wanted value is durable.
func (r *Record) Settled() bool { return r.kept == r.ver }

func (r *Record) set(s recordState) { r.state = s }

// Tick starts what is due.
func (r *Record) Tick(now time.Time) {
	if r.state != recordDirty || now.Before(r.retry) {
		return
	}
	ver, want := r.ver, r.want
	w := Remove(r.Key)
	if want != nil {
		w = wire.Write{Write: r.Key, Value: want}
	} else if r.version == 0 {
		r.settle(now, ver)
		return
	}
	r.set(recordWriting)
	r.call(Call{Op: OpMulti, Class: r.class, Multi: wire.Multi{
		When: []wire.Cond{r.tenure, Is(r.Key, r.version)}, Writes: []wire.Write{w},
	}}, func(now time.Time, res Result) {
		switch {
		case res.OK():
			r.version = res.Revision
			if want == nil {
				r.version = 0
			}
			r.settle(now, ver)
		case res.Status == 409 && slices.Contains(res.Failed, r.tenure.Path):
			r.set(recordDirty)
			r.retry = now.Add(tuning.WriterRetryInitial)
			r.lost(now)
		case res.Status == 409:
			r.read(now)
		case res.Status == 400:
			r.refused(now, ver)
		default:
			r.set(recordDirty)
			r.retry = now.Add(tuning.WriterRetryInitial)
		}
	})
}

// refused handles a refusal for the size, by a limit that nobody announced: the same
// value is not written again and again.
func (r *Record) refused(now time.Time, ver int) {
	r.set(recordDirty)
	if r.ver != ver {
		return // another value is wanted by now
	}
	if r.TooLarge != nil {
		r.set(recordRefused)
		if r.TooLarge(now) {
			return
		}
		r.set(recordDirty)
	}
	r.pause = min(max(2*r.pause, tuning.WriterRetryInitial), tuning.WriterRetryMax)
	r.retry = now.Add(r.pause)
}

func (r *Record) settle(now time.Time, ver int) {
	r.kept, r.pause = ver, 0
	r.set(recordClean)
	if r.ver != ver {
		r.set(recordDirty)
	}
	r.done(now, ver)
}

// read learns the key's version after a conflict: an earlier write of ours,
// thought lost, was applied.
func (r *Record) read(now time.Time) {
	r.set(recordReading)
	r.call(Call{Op: OpGet, Class: r.class, Key: r.Key}, func(now time.Time, res Result) {
		r.set(recordDirty)
		switch res.Status {
		case 200:
			r.version = res.Item.Version
		case 404:
			r.version = 0
		default:
			r.retry = now.Add(tuning.WriterRetryInitial)
		}
	})
}
