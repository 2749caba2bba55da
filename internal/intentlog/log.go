package intentlog

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Options are what a Log needs of the term that it belongs to.
type Options struct {
	Shard int
	// Token is the term's fencing token.
	Token uint64
	// TermCompare holds while the term lasts. All writes are conditioned on it.
	TermCompare wire.Compare
	// ValueKB is the size in KiB up to which the state service takes a value, now and later.
	ValueKB   float64
	StateCall store.Caller
	WallClock func() time.Time
	Log       *slog.Logger
	// OnTermLost is called when a write fails on TermCompare.
	OnTermLost func(now time.Time)
	// Tracer makes the spans of intents; nil: none are made.
	Tracer Tracer
}

// Log holds the intents of one shard in one term. It is not safe for concurrent use.
type Log struct {
	options  Options
	durable  bool // entries are written before calls are sent
	pages    *store.Pages
	intents  map[Operation]map[string]*Intent // by target
	pending  int                              // intents that are not completed
	removals removalStats
}

// NewLog makes the log of a term. Until EnableDurability is called, intents count as recorded
// at once and nothing is written; recovered intents are completed all the same.
func NewLog(options Options) *Log {
	l := &Log{options: options, intents: map[Operation]map[string]*Intent{}}
	for _, operation := range Operations() {
		l.intents[operation] = map[string]*Intent{}
	}
	l.pages = store.NewPages(store.PagesOptions{
		Prefix:        ShardPrefix(options.Shard),
		ValueKB:       options.ValueKB,
		WriteInterval: tuning.IntentWriteInterval,
		Priority:      store.PriorityTerm,
		TermCompare:   options.TermCompare,
		StateCall:     options.StateCall,
		Log:           options.Log,
		OnTermLost:    options.OnTermLost,
	})
	return l
}

// EnableDurability has intents recorded durably from now on, until the term ends.
func (l *Log) EnableDurability() { l.durable = true }

// Durable reports whether intents are recorded durably.
func (l *Log) Durable() bool { return l.durable }

// Tick starts the writes that are due.
func (l *Log) Tick(now time.Time) { l.pages.Tick(now) }

// Get returns the intent of an operation for a target, nil if there is none.
func (l *Log) Get(operation Operation, target string) *Intent { return l.intents[operation][target] }

// Pending is the number of intents that are not completed.
func (l *Log) Pending() int { return l.pending }

// Full reports whether Record refuses new intents until some are completed.
func (l *Log) Full() bool { return l.pending >= tuning.MaxOpenIntents }

// Recovered lists the intents of some operations that earlier terms recorded.
func (l *Log) Recovered(operations ...Operation) []*Intent {
	return l.filter(operations, func(intent *Intent) bool { return intent.Recovered })
}

// Ready lists the intents of some operations for which a call may be made.
func (l *Log) Ready(operations ...Operation) []*Intent {
	return l.filter(operations, func(intent *Intent) bool { return intent.state == Recorded })
}

// filter lists the matching intents by operation and target, so that calls have the same order in every run.
func (l *Log) filter(operations []Operation, matches func(intent *Intent) bool) []*Intent {
	var matching []*Intent
	for _, operation := range operations {
		for _, target := range slices.Sorted(maps.Keys(l.intents[operation])) {
			if intent := l.intents[operation][target]; matches(intent) {
				matching = append(matching, intent)
			}
		}
	}
	return matching
}

// hasTarget reports whether any operation has an intent for a target.
func (l *Log) hasTarget(target string) bool {
	return slices.ContainsFunc(Operations(), func(operation Operation) bool { return l.Get(operation, target) != nil })
}

// add takes in an intent that is not completed.
func (l *Log) add(intent *Intent) {
	l.intents[intent.Operation][intent.Target] = intent
	l.pending++
}
