package intentlog

import (
	"slices"
	"strings"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// removalStats counts the deletions of records in this term.
type removalStats struct {
	inFlight, done int
	oldestSentAt   time.Time // when the first deletion was sent since none was in flight
}

// GuardRemovals wraps a caller of the state service so that only the shard's lease holder deletes
// records under the given prefixes. The wrapper rejects a deletion that is not conditioned on the
// term with a ConflictError; the state service rejects one of a superseded lease holder. Which
// records are obsolete follows from the stored state, so a successor needs no intents for them.
func (l *Log) GuardRemovals(call store.Caller, prefixes ...string) store.Caller {
	return func(c store.Call, done func(now time.Time, result store.Result)) {
		count := countRemovals(c.Transaction, prefixes)
		if count == 0 {
			call(c, done)
			return
		}
		if !slices.Contains(c.Transaction.Compares, l.options.TermCompare) {
			l.options.Log.Error("rejected deletion of records that is not conditioned on the term", "count", count)
			conflict := &store.ConflictError{FailedKeys: []string{l.options.TermCompare.Key}}
			done(l.options.WallClock(), store.Result{Err: conflict})
			return
		}
		l.removals.recordSent(l.options.WallClock, count)
		call(c, func(now time.Time, result store.Result) {
			l.removals.recordResult(result, count)
			done(now, result)
		})
	}
}

func (s *removalStats) recordSent(wallClock func() time.Time, count int) {
	if s.inFlight == 0 {
		s.oldestSentAt = wallClock()
	}
	s.inFlight += count
}

func (s *removalStats) recordResult(result store.Result, count int) {
	s.inFlight -= count
	if result.OK() {
		s.done += count
	}
}

// countRemovals returns the number of deletions in a transaction whose keys have one of the prefixes.
func countRemovals(transaction wire.Transaction, prefixes []string) int {
	count := 0
	for _, write := range transaction.Writes {
		guarded := func(prefix string) bool { return strings.HasPrefix(write.DeleteKey, prefix) }
		if write.DeleteKey != "" && slices.ContainsFunc(prefixes, guarded) {
			count++
		}
	}
	return count
}
