package store

import (
	"encoding/json"
	"errors"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// DesiredValueOptions are what a DesiredValue is made of.
type DesiredValueOptions struct {
	Key         string
	KeyVersion  uint64 // of the key as it is stored now; 0: it does not exist
	Priority    Priority
	TermCompare wire.Compare // holds while the writer's term goes on
	StateCall   Caller
	// OnDurable is called with each version of the wanted value that has become durable.
	OnDurable func(now time.Time, version int)
	// OnTermLost is called when a write has shown that the term is over.
	OnTermLost func(now time.Time)
	// OnTooLarge is called when the service has rejected the wanted value for its size,
	// and reports whether the owner will set a smaller one. Without it the value is written
	// again after growing pauses.
	OnTooLarge func(now time.Time) bool
}

// DesiredValue keeps one key at a wanted value, through rejections, lost responses and
// late transactions: each write compares the version before it and the term, so that a
// late one fails.
//
//	clean            Set        -> dirty
//	dirty            Tick       -> writing; clean when there is no key to delete
//	writing          written    -> clean; dirty when another value is wanted by now
//	writing          conflict   -> reading version
//	writing          too large  -> too large; dirty when the owner sets no smaller value
//	writing          other      -> dirty, to be tried again after a pause
//	reading version  any result -> dirty
//	too large        Set        -> dirty
type DesiredValue struct {
	options        DesiredValueOptions
	state          desiredValueState
	keyVersion     uint64
	wanted         json.RawMessage // nil: no key
	wantedVersion  int
	durableVersion int // the newest version of the wanted value that is durable
	retryAt        time.Time
	sizeRetryPause time.Duration // after the last rejection for the size; 0: there was none
}

type desiredValueState int

const (
	valueClean          desiredValueState = iota // the service has what is wanted
	valueDirty                                   // a write is due
	valueWriting                                 // a write is in flight
	valueReadingVersion                          // the key's version is being read again
	valueTooLarge                                // the owner is to set a smaller value
)

// NewDesiredValue makes the writer of a key. Nothing is wanted before the first Set.
func NewDesiredValue(options DesiredValueOptions) *DesiredValue {
	return &DesiredValue{options: options, keyVersion: options.KeyVersion}
}

// Key is the key that is written.
func (v *DesiredValue) Key() string { return v.options.Key }

// Set wants another value, nil for no key, and returns its version. The next Tick writes it.
func (v *DesiredValue) Set(value any) int {
	v.wanted = nil
	if value != nil {
		v.wanted = Put(v.options.Key, value, 0).Value
	}
	v.wantedVersion++
	if v.state == valueClean || v.state == valueTooLarge {
		v.state = valueDirty
	}
	return v.wantedVersion
}

// WantedVersion is the version of the newest wanted value.
func (v *DesiredValue) WantedVersion() int { return v.wantedVersion }

// Durable reports whether the newest wanted value is durable.
func (v *DesiredValue) Durable() bool { return v.durableVersion == v.wantedVersion }

// Tick makes the write that is due.
func (v *DesiredValue) Tick(now time.Time) {
	if v.state != valueDirty || now.Before(v.retryAt) {
		return
	}
	if v.wanted == nil && v.keyVersion == 0 {
		v.markDurable(now, v.wantedVersion)
		return
	}
	v.startWrite()
}

// desiredWrite is a write in flight: the wanted value may change meanwhile.
type desiredWrite struct {
	version int // of the wanted value
	deletes bool
}

func (v *DesiredValue) startWrite() {
	write := desiredWrite{version: v.wantedVersion, deletes: v.wanted == nil}
	change := wire.Write{Put: v.options.Key, Value: v.wanted}
	if write.deletes {
		change = Delete(v.options.Key)
	}
	v.state = valueWriting
	call := Call{Op: OpTransaction, Priority: v.options.Priority, Transaction: wire.Transaction{
		Compares: []wire.Compare{v.options.TermCompare, VersionEquals(v.options.Key, v.keyVersion)},
		Writes:   []wire.Write{change},
	}}
	v.options.StateCall(call, func(now time.Time, result Result) { v.finishWrite(now, write, result) })
}

func (v *DesiredValue) finishWrite(now time.Time, write desiredWrite, result Result) {
	switch {
	case result.OK():
		v.keyVersion = result.Revision
		if write.deletes {
			v.keyVersion = 0
		}
		v.markDurable(now, write.version)
	case result.ConflictsOn(v.options.TermCompare.Key):
		v.retryAfter(now, tuning.WriterBackoffInitial)
		v.options.OnTermLost(now)
	case errors.Is(result.Err, ErrConflict):
		v.readVersion()
	case errors.Is(result.Err, ErrInvalid):
		v.handleTooLarge(now, write.version)
	default:
		v.retryAfter(now, tuning.WriterBackoffInitial)
	}
}

func (v *DesiredValue) retryAfter(now time.Time, pause time.Duration) {
	v.state = valueDirty
	v.retryAt = now.Add(pause)
}

func (v *DesiredValue) markDurable(now time.Time, version int) {
	v.durableVersion, v.sizeRetryPause = version, 0
	v.state = valueClean
	if v.wantedVersion != version {
		v.state = valueDirty
	}
	v.options.OnDurable(now, version)
}

// handleTooLarge handles a rejection for the size, by a limit that nobody announced: the
// same value is not written again and again.
func (v *DesiredValue) handleTooLarge(now time.Time, version int) {
	if v.wantedVersion != version {
		v.state = valueDirty // another value is wanted by now
		return
	}
	if v.options.OnTooLarge != nil {
		v.state = valueTooLarge
		if v.options.OnTooLarge(now) {
			return
		}
	}
	v.sizeRetryPause = min(max(2*v.sizeRetryPause, tuning.WriterBackoffInitial), tuning.WriterBackoffMax)
	v.retryAfter(now, v.sizeRetryPause)
}

// readVersion reads the key's version after a conflict: an earlier write, of which no
// response came, was executed.
func (v *DesiredValue) readVersion() {
	v.state = valueReadingVersion
	call := Call{Op: OpGet, Priority: v.options.Priority, Key: v.options.Key}
	v.options.StateCall(call, v.finishReadVersion)
}

func (v *DesiredValue) finishReadVersion(now time.Time, result Result) {
	switch {
	case result.OK():
		v.state = valueDirty
		v.keyVersion = result.KeyValue.Version
	case errors.Is(result.Err, ErrNotFound):
		v.state = valueDirty
		v.keyVersion = 0
	default:
		v.retryAfter(now, tuning.WriterBackoffInitial)
	}
}
