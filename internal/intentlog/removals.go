package intentlog

import (
	"slices"
	"strings"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// removalStats counts removals from the state service in this tenure.
type removalStats struct {
	inFlight, done int
	oldest         time.Time // when the first of those under way was sent
}

// GuardRemovals passes on the tenure's calls of the state service and sees to it that records
// under the given prefixes are removed by the holder alone: a removal that is not
// conditioned on the tenure is refused here, one of a replaced holder by the service. What
// there is to remove follows from what is stored, so a successor goes on where its
// predecessor stopped.
func (l *Log) GuardRemovals(call store.Caller, prefixes ...string) store.Caller {
	return func(c store.Call, then func(now time.Time, r store.Result)) {
		removed := removals(c.Transaction, prefixes)
		if removed == 0 {
			call(c, then)
			return
		}
		if !slices.Contains(c.Transaction.Compares, l.options.TermCompare) {
			l.options.Log.Error("duty: a removal that is not conditioned on the tenure is refused", "removals", removed)
			then(l.options.WallClock(), store.Result{Err: &store.ConflictError{FailedKeys: []string{l.options.TermCompare.Key}}})
			return
		}
		if l.removals.inFlight == 0 {
			l.removals.oldest = l.options.WallClock()
		}
		l.removals.inFlight += removed
		call(c, func(now time.Time, r store.Result) {
			l.removals.inFlight -= removed
			if r.OK() {
				l.removals.done += removed
			}
			then(now, r)
		})
	}
}

// removals counts the removals of records under some prefixes in a transaction.
func removals(m wire.Transaction, prefixes []string) int {
	n := 0
	for _, w := range m.Writes {
		if w.Delete != "" && slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(w.Delete, p) }) {
			n++
		}
	}
	return n
}
