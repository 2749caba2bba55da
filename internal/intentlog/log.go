package intentlog

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Options are what a log needs of the tenure that it belongs to.
type Options struct {
	Shard       int
	Token       uint64
	Member      string
	TermCompare wire.Compare // the condition of each write
	// ValueKB is the most that the state service takes as a value, now and later.
	ValueKB    float64
	StateCall  store.Caller
	WallClock  func() time.Time
	Log        *slog.Logger
	OnTermLost func(now time.Time) // told when a write finds the block's record changed
	Tracer     Tracer              // nil: no spans are made
}

// Log is the intended actions of one block in one tenure.
type Log struct {
	options  Options
	durable  bool // entries are written before actions are sent
	pages    *store.Pages
	intents  map[Operation]map[string]*Intent
	pending  int // actions that are not settled
	removals removalStats
}

// NewLog makes the log of a tenure. Until it is switched on, actions count as entered at
// once and nothing is written; what earlier tenures entered is completed all the same.
func NewLog(options Options) *Log {
	l := &Log{options: options, intents: map[Operation]map[string]*Intent{}}
	for _, d := range Operations() {
		l.intents[d] = map[string]*Intent{}
	}
	l.pages = store.NewPages(LogPrefix(options.Shard), options.ValueKB, tuning.IntentWriteInterval, store.PriorityTerm, options.TermCompare, options.StateCall, options.Log, options.OnTermLost)
	return l
}

// EnableDurability has actions entered durably from now on, until the tenure ends.
func (l *Log) EnableDurability() { l.durable = true }

// Durable tells whether the log is switched on.
func (l *Log) Durable() bool { return l.durable }

// setState is the one place that changes an action's stage.
func (l *Log) setState(now time.Time, a *Intent, to State, why string) bool {
	if !to.follows(a.state) {
		l.options.Log.Error("duty: no such step", "duty", a.Operation, "target", a.Target, "from", a.state, "to", to, "why", why)
		return false
	}
	l.options.Log.Debug("duty", "duty", a.Operation, "target", a.Target, "from", a.state, "to", to, "why", why)
	a.state, a.since = to, now
	if to == Completed {
		l.pending--
	}
	return true
}

// Load takes over the entries of earlier tenures, after which Inherited lists them.
func (l *Log) Load(now time.Time, items []wire.KeyValue) {
	l.pages.Load(items, func(target string, value json.RawMessage) {
		var rec entryRecord
		if err := json.Unmarshal(value, &rec); err != nil || l.intents[rec.Operation] == nil {
			l.options.Log.Error("duty entry cannot be read", "target", target, "error", err)
			return
		}
		l.recoverIntent(now, rec.Operation, target, rec.Token, time.UnixMilli(rec.DecidedAtMs))
	})
}

// UnreadablePages is how many pages of the log could not be read: what they name is not known, and
// a late call of an earlier tenure for it may come.
func (l *Log) UnreadablePages() int { return l.pages.Unreadable() }

// RecoverElsewhere takes over an action whose entry is another record.
func (l *Log) RecoverElsewhere(now time.Time, d Operation, target string, token uint64) *Intent {
	a := l.recoverIntent(now, d, target, token, time.Time{})
	a.recordedElsewhere = true
	return a
}

func (l *Log) recoverIntent(now time.Time, d Operation, target string, token uint64, at time.Time) *Intent {
	if a := l.intents[d][target]; a != nil {
		return a
	}
	a := &Intent{Operation: d, Target: target, Token: token, DecidedAt: at, Recovered: true, state: Recorded, since: now}
	l.intents[d][target] = a
	l.pending++
	l.traceRecovered(a)
	return a
}

// Recovered lists the actions of some duties that earlier tenures entered.
func (l *Log) Recovered(duties ...Operation) []*Intent {
	return l.list(func(a *Intent) bool { return a.Recovered }, duties)
}

// Ready lists the actions of some duties of which a call may be made.
func (l *Log) Ready(duties ...Operation) []*Intent {
	return l.list(func(a *Intent) bool { return a.state == Recorded }, duties)
}

func (l *Log) list(which func(a *Intent) bool, duties []Operation) []*Intent {
	var out []*Intent
	for _, d := range duties {
		for _, target := range slices.Sorted(maps.Keys(l.intents[d])) {
			if a := l.intents[d][target]; which(a) {
				out = append(out, a)
			}
		}
	}
	return out
}

// Get returns the action of a duty for a target, nil if there is none.
func (l *Log) Get(d Operation, target string) *Intent { return l.intents[d][target] }

// Pending is how many actions are not settled.
func (l *Log) Pending() int { return l.pending }

// Full tells whether the log takes no more actions until some are settled.
func (l *Log) Full() bool { return l.pending >= tuning.MaxOpenIntents }

// Record decides on an action: it may be sent once its entry is durable. It tells false,
// and changes nothing, if the log is full; an action that is there already stays as it is.
func (l *Log) Record(now time.Time, d Operation, target, why string) bool {
	if l.hasTarget(target) {
		return true
	}
	if l.Full() {
		return false
	}
	a := l.add(now, d, target, why)
	if !l.durable {
		l.markRecorded(now, a)
		return true
	}
	l.pages.Put(target, entryRecord{Operation: d, Token: a.Token, DecidedAtMs: a.DecidedAt.UnixMilli()}, func(now time.Time) { l.markRecorded(now, a) })
	l.pages.Tick(now)
	return true
}

// RecordElsewhere decides on an action whose entry is another record, which the caller
// writes: Recorded tells when it is durable.
func (l *Log) RecordElsewhere(now time.Time, d Operation, target, why string) *Intent {
	a := l.add(now, d, target, why)
	a.recordedElsewhere = true
	return a
}

// MarkRecorded tells that the record that is an action's entry is durable.
func (l *Log) MarkRecorded(now time.Time, a *Intent) {
	if a.state == Recording {
		l.markRecorded(now, a)
	}
}

// hasTarget tells whether there is an action for a target.
func (l *Log) hasTarget(target string) bool {
	return slices.ContainsFunc(Operations(), func(d Operation) bool { return l.intents[d][target] != nil })
}

func (l *Log) add(now time.Time, d Operation, target, why string) *Intent {
	a := &Intent{Operation: d, Target: target, Token: l.options.Token, DecidedAt: l.options.WallClock(), since: now}
	l.intents[d][target] = a
	l.pending++
	l.traceDecision(a, why)
	return a
}

func (l *Log) markRecorded(now time.Time, a *Intent) {
	if l.setState(now, a, Recorded, "entry durable") {
		l.traceRecorded(a)
	}
}

// StartCall tells whether a call for an action may be made now, and notes that it is.
func (l *Log) StartCall(now time.Time, a *Intent) bool {
	if a.state != Recorded {
		return false
	}
	a.calls++
	l.setState(now, a, InFlight, "call made")
	l.traceCall(a)
	return true
}

// Outcome is what came of a call.
type Outcome int

// The outcomes of a call.
const (
	// NotExecuted: the call was refused, or never sent.
	NotExecuted Outcome = iota
	// Unknown: no answer came. The call may have been executed, or be executed later.
	Unknown
	// Done: the call was executed.
	Done
)

func (o Outcome) String() string {
	return [...]string{"not executed", "unknown", "done"}[o]
}

// FinishCall takes note of what came of a call. After anything but Done the action is to be
// sent again.
func (l *Log) FinishCall(now time.Time, a *Intent, o Outcome) {
	if a.state != InFlight {
		return
	}
	l.traceAnswer(a, o)
	if o == Done {
		l.setState(now, a, Completed, "done")
		return
	}
	l.setState(now, a, Recorded, "call "+o.String())
}

// Complete ends an action without a call of this tenure's: what it was for is so already,
// or never will be.
func (l *Log) Complete(now time.Time, a *Intent, why string) {
	if a.state == InFlight || a.state == Recorded {
		l.setState(now, a, Completed, why)
	}
}

// Forget removes a settled action and its entry: all that is planned on is written down
// elsewhere by now.
func (l *Log) Forget(a *Intent) {
	if a.state != Completed {
		return
	}
	delete(l.intents[a.Operation], a.Target)
	if !a.recordedElsewhere {
		l.pages.Delete(a.Target)
	}
	l.traceCompleted(a)
}

// Tick starts the writes that are due.
func (l *Log) Tick(now time.Time) { l.pages.Tick(now) }
