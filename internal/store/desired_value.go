package store

import (
	"encoding/json"
	"errors"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// DesiredValueOptions configures a DesiredValue.
type DesiredValueOptions struct {
	Key         string
	KeyVersion  uint64 // current version of the stored key; 0 if it does not exist
	Priority    Priority
	TermCompare wire.Compare // succeeds until the writer's term ends
	StateCall   Caller
	// OnDurable is called with the generation of a desired value once that value is durable.
	OnDurable func(now time.Time, generation int)
	// OnTermLost is called when a write fails because the term has ended.
	OnTermLost func(now time.Time)
	// OnTooLarge is called when the service rejects the desired value for its size. It
	// returns true if a call of Set with a smaller value will follow. If it is nil or returns
	// false, the write is retried with exponential backoff.
	OnTooLarge func(now time.Time) bool
}

// DesiredValue reconciles one stored key with a desired value despite rejections, lost
// responses and delayed transactions. Each write is a compare-and-swap on the previous version
// of the key and on the term, so a delayed write fails.
//
// A generation is the number of a desired value: it counts the calls of Set. A version is the
// revision of the stored key.
//
//	clean            Set        -> dirty
//	dirty            Tick       -> writing; clean if there is no key to delete
//	writing          written    -> clean; dirty if the desired value has changed
//	writing          conflict   -> reading version
//	writing          too large  -> too large; dirty if no smaller value will be set
//	writing          other      -> dirty, retried after a backoff
//	reading version  any result -> dirty
//	too large        Set        -> dirty
type DesiredValue struct {
	options           DesiredValueOptions
	state             desiredValueState
	keyVersion        uint64
	desired           json.RawMessage // nil: no key
	generation        int
	durableGeneration int // newest generation that is durable
	retryAt           time.Time
	sizeRetryBackoff  time.Duration // after the last size rejection; 0 if there was none
}

type desiredValueState int

const (
	valueClean          desiredValueState = iota // the stored value equals the desired value
	valueDirty                                   // a write is pending
	valueWriting                                 // a write is in flight
	valueReadingVersion                          // a read of the key's version is in flight
	valueTooLarge                                // waiting for a smaller value
)

// NewDesiredValue returns the writer of a key. It writes nothing before the first Set.
func NewDesiredValue(options DesiredValueOptions) *DesiredValue {
	return &DesiredValue{options: options, keyVersion: options.KeyVersion}
}

// Key returns the key in the state service.
func (v *DesiredValue) Key() string { return v.options.Key }

// Set changes the desired value and returns its generation. A nil value deletes the key. The next
// Tick starts the write.
func (v *DesiredValue) Set(value any) int {
	v.desired = nil
	if value != nil {
		v.desired = Put(v.options.Key, value, 0).Value
	}
	v.generation++
	if v.state == valueClean || v.state == valueTooLarge {
		v.state = valueDirty
	}
	return v.generation
}

// Generation returns the generation of the last Set, 0 before the first.
func (v *DesiredValue) Generation() int { return v.generation }

// Durable reports whether the value of the last Set is durable.
func (v *DesiredValue) Durable() bool { return v.durableGeneration == v.generation }

// Tick starts a pending write unless a backoff is active. The controller calls it periodically.
func (v *DesiredValue) Tick(now time.Time) {
	if v.state != valueDirty || now.Before(v.retryAt) {
		return
	}
	if v.desired == nil && v.keyVersion == 0 {
		v.markDurable(now, v.generation)
		return
	}
	v.startWrite()
}

// desiredWrite describes a write in flight. The desired value may change before it finishes.
type desiredWrite struct {
	generation int // of the desired value that is written
	deletes    bool
}

func (v *DesiredValue) startWrite() {
	write := desiredWrite{generation: v.generation, deletes: v.desired == nil}
	change := wire.Write{PutKey: v.options.Key, Value: v.desired}
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
		v.markDurable(now, write.generation)
	case result.ConflictsOn(v.options.TermCompare.Key):
		v.retryAfter(now, tuning.WriterBackoffInitial)
		v.options.OnTermLost(now)
	case errors.Is(result.Err, ErrConflict):
		v.readVersion()
	case errors.Is(result.Err, ErrInvalid):
		v.handleSizeRejection(now, write.generation)
	default:
		v.retryAfter(now, tuning.WriterBackoffInitial)
	}
}

func (v *DesiredValue) retryAfter(now time.Time, backoff time.Duration) {
	v.state = valueDirty
	v.retryAt = now.Add(backoff)
}

func (v *DesiredValue) markDurable(now time.Time, generation int) {
	v.durableGeneration, v.sizeRetryBackoff = generation, 0
	v.state = valueClean
	if v.generation != generation {
		v.state = valueDirty
	}
	v.options.OnDurable(now, generation)
}

// handleSizeRejection waits for a smaller value if one will be set. Otherwise it retries with
// exponential backoff.
func (v *DesiredValue) handleSizeRejection(now time.Time, generation int) {
	if v.generation != generation {
		v.state = valueDirty // the desired value has changed
		return
	}
	if v.options.OnTooLarge != nil {
		v.state = valueTooLarge
		if v.options.OnTooLarge(now) {
			return
		}
	}
	v.sizeRetryBackoff = min(max(2*v.sizeRetryBackoff, tuning.WriterBackoffInitial), tuning.WriterBackoffMax)
	v.retryAfter(now, v.sizeRetryBackoff)
}

// readVersion reads the key's version after a conflict, which means that an earlier write
// without a response was executed.
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
