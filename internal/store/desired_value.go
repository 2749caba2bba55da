package store

import (
	"encoding/json"
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

type desiredValueState int

const (
	valueClean          desiredValueState = iota // the service has what is wanted
	valueDirty                                   // something newer is wanted
	valueWriting                                 // a write is under way
	valueReadingVersion                          // the key's version is being read again
	valueTooLarge                                // the wanted value was refused for its size; a smaller one is awaited
)

func (s desiredValueState) String() string {
	return [...]string{"clean", "dirty", "writing", "reading", "refused"}[s]
}

// DesiredValue keeps one key at a wanted value, through refusals, lost answers and
// late transactions: each write is conditioned on the version before it and on
// the tenure, so that a late one fails.
type DesiredValue struct {
	Key string
	// OnTooLarge is told when the service has refused the wanted value for its size and
	// tells whether its owner will set a smaller one. Without it the value is written
	// again after growing pauses.
	OnTooLarge func(now time.Time) bool

	priority       Priority
	termCompare    wire.Compare
	stateCall      Caller
	version        uint64
	state          desiredValueState
	wanted         json.RawMessage // nil: no key
	wantedVersion  int             // of what is wanted
	durableVersion int             // newest version that is durable
	retryAt        time.Time
	sizeRetryPause time.Duration // after a refusal for the size
	onDurable      func(now time.Time, ver int)
	onTermLost     func(now time.Time)
}

// NewDesiredValue makes the record of a key that now has the given version. done is
// told of each version that has become durable, lost when the tenure is over.
func NewDesiredValue(key string, version uint64, priority Priority, termCompare wire.Compare, stateCall Caller,
	onDurable func(now time.Time, ver int), onTermLost func(now time.Time)) *DesiredValue {
	return &DesiredValue{Key: key, version: version, priority: priority, termCompare: termCompare, stateCall: stateCall, onDurable: onDurable, onTermLost: onTermLost}
}

// Set wants a new value, nil for no key, and returns its version.
func (r *DesiredValue) Set(value any) int {
	r.wanted = nil
	if value != nil {
		r.wanted = Put(r.Key, value, 0).Value
	}
	r.wantedVersion++
	if r.state == valueClean || r.state == valueTooLarge {
		r.setState(valueDirty)
	}
	return r.wantedVersion
}

// WantedVersion is the version of the newest wanted value.
func (r *DesiredValue) WantedVersion() int { return r.wantedVersion }

// Durable tells whether the newest wanted value is durable.
func (r *DesiredValue) Durable() bool { return r.durableVersion == r.wantedVersion }

func (r *DesiredValue) setState(s desiredValueState) { r.state = s }

// Tick starts what is due.
func (r *DesiredValue) Tick(now time.Time) {
	if r.state != valueDirty || now.Before(r.retryAt) {
		return
	}
	ver, want := r.wantedVersion, r.wanted
	w := Delete(r.Key)
	if want != nil {
		w = wire.Write{Put: r.Key, Value: want}
	} else if r.version == 0 {
		r.markDurable(now, ver)
		return
	}
	r.setState(valueWriting)
	r.stateCall(Call{Op: OpTransaction, Priority: r.priority, Transaction: wire.Transaction{
		Compares: []wire.Compare{r.termCompare, VersionEquals(r.Key, r.version)}, Writes: []wire.Write{w},
	}}, func(now time.Time, res Result) {
		switch {
		case res.OK():
			r.version = res.Revision
			if want == nil {
				r.version = 0
			}
			r.markDurable(now, ver)
		case res.Status == 409 && slices.Contains(res.FailedKeys, r.termCompare.Key):
			r.setState(valueDirty)
			r.retryAt = now.Add(tuning.WriterRetryInitial)
			r.onTermLost(now)
		case res.Status == 409:
			r.readVersion(now)
		case res.Status == 400:
			r.handleTooLarge(now, ver)
		default:
			r.setState(valueDirty)
			r.retryAt = now.Add(tuning.WriterRetryInitial)
		}
	})
}

// handleTooLarge handles a refusal for the size, by a limit that nobody announced: the same
// value is not written again and again.
func (r *DesiredValue) handleTooLarge(now time.Time, ver int) {
	r.setState(valueDirty)
	if r.wantedVersion != ver {
		return // another value is wanted by now
	}
	if r.OnTooLarge != nil {
		r.setState(valueTooLarge)
		if r.OnTooLarge(now) {
			return
		}
		r.setState(valueDirty)
	}
	r.sizeRetryPause = min(max(2*r.sizeRetryPause, tuning.WriterRetryInitial), tuning.WriterRetryMax)
	r.retryAt = now.Add(r.sizeRetryPause)
}

func (r *DesiredValue) markDurable(now time.Time, ver int) {
	r.durableVersion, r.sizeRetryPause = ver, 0
	r.setState(valueClean)
	if r.wantedVersion != ver {
		r.setState(valueDirty)
	}
	r.onDurable(now, ver)
}

// readVersion learns the key's version after a conflict: an earlier write of ours,
// thought lost, was applied.
func (r *DesiredValue) readVersion(now time.Time) {
	r.setState(valueReadingVersion)
	r.stateCall(Call{Op: OpGet, Priority: r.priority, Key: r.Key}, func(now time.Time, res Result) {
		r.setState(valueDirty)
		switch res.Status {
		case 200:
			r.version = res.KeyValue.Version
		case 404:
			r.version = 0
		default:
			r.retryAt = now.Add(tuning.WriterRetryInitial)
		}
	})
}
