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
	oldestSentAt   time.Time // of those in flight, the first
}

// GuardRemovals wraps the term's calls of the state service, so that only the shard's owner
// deletes records under the given prefixes. A deletion that is not conditioned on the term is
// rejected here; one of a superseded owner is rejected by the state service. Which records to
// delete follows from what is stored, so a successor goes on where its predecessor stopped.
func (l *Log) GuardRemovals(call store.Caller, prefixes ...string) store.Caller {
	return func(c store.Call, done func(now time.Time, result store.Result)) {
		count := countRemovals(c.Transaction, prefixes)
		if count == 0 {
			call(c, done)
			return
		}
		if !slices.Contains(c.Transaction.Compares, l.options.TermCompare) {
			l.options.Log.Error("removal without condition on the term rejected", "removals", count)
			conflict := &store.ConflictError{FailedKeys: []string{l.options.TermCompare.Key}}
			done(l.options.WallClock(), store.Result{Err: conflict})
			return
		}
		l.removals.sent(l.options.WallClock, count)
		call(c, func(now time.Time, result store.Result) {
			l.removals.answered(result, count)
			done(now, result)
		})
	}
}

func (s *removalStats) sent(wallClock func() time.Time, count int) {
	if s.inFlight == 0 {
		s.oldestSentAt = wallClock()
	}
	s.inFlight += count
}

func (s *removalStats) answered(result store.Result, count int) {
	s.inFlight -= count
	if result.OK() {
		s.done += count
	}
}

// countRemovals counts the deletions of records under some prefixes in a transaction.
func countRemovals(transaction wire.Transaction, prefixes []string) int {
	count := 0
	for _, write := range transaction.Writes {
		guarded := func(prefix string) bool { return strings.HasPrefix(write.Delete, prefix) }
		if write.Delete != "" && slices.ContainsFunc(prefixes, guarded) {
			count++
		}
	}
	return count
}
