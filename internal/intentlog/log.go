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

// Options configure a Log for one term of a shard. All fields but Tracer are required.
type Options struct {
	Shard int
	// Token is the term's fencing token.
	Token uint64
	// TermCompare is the condition of all writes. It fails once the term has ended.
	TermCompare wire.Compare
	// ValueKB is the state service's limit on the size of a value in KiB, including announced limits.
	ValueKB   float64
	StateCall store.Caller
	WallClock func() time.Time
	Log       *slog.Logger
	// OnTermLost is called when a write fails on TermCompare.
	OnTermLost func(now time.Time)
	// Tracer creates the spans of intents. A nil Tracer disables tracing.
	Tracer Tracer
}

// Log holds the intents of one shard during one term. It is not safe for concurrent use.
type Log struct {
	options   Options
	durable   bool // entries are made durable before calls are sent
	pages     *store.Pages
	intents   map[Operation]map[string]*Intent // by target
	pending   int                              // number of intents that are not completed
	deletions deletionStats
}

// NewLog returns an empty log. Until EnableDurability is called, new intents count as recorded at
// once and the log writes no entries. Recovered intents are completed in either mode.
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

// EnableDurability makes the log write the entries of all later intents, until the term ends.
func (l *Log) EnableDurability() { l.durable = true }

// Durable reports whether calls wait for a durable entry.
func (l *Log) Durable() bool { return l.durable }

// Tick starts the writes that are due.
func (l *Log) Tick(now time.Time) { l.pages.Tick(now) }

// Get returns the intent of an operation for a target, or nil.
func (l *Log) Get(operation Operation, target string) *Intent { return l.intents[operation][target] }

// Pending returns the number of intents that are not completed.
func (l *Log) Pending() int { return l.pending }

// Full reports whether Record rejects new intents until some are completed.
func (l *Log) Full() bool { return l.pending >= tuning.MaxOpenIntents }

// Recovered returns the intents of the given operations that earlier terms recorded.
func (l *Log) Recovered(operations ...Operation) []*Intent {
	return l.filter(operations, func(intent *Intent) bool { return intent.Recovered })
}

// Ready returns the intents of the given operations for which a call may be made.
func (l *Log) Ready(operations ...Operation) []*Intent {
	return l.filter(operations, func(intent *Intent) bool { return intent.state == Recorded })
}

// filter returns the matching intents ordered by operation and target, so that the order of calls
// is deterministic.
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

// hasTarget reports whether there is an intent of any operation for a target.
func (l *Log) hasTarget(target string) bool {
	return slices.ContainsFunc(Operations(), func(operation Operation) bool { return l.Get(operation, target) != nil })
}

// add inserts an intent that is not completed.
func (l *Log) add(intent *Intent) {
	l.intents[intent.Operation][intent.Target] = intent
	l.pending++
}
