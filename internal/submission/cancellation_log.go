package submission

import (
	"slices"
	"time"

	"juniperchute/internal/tuning"
)

// CancellationLog is the cancellations that this process has told users of. A holder cut off
// from the state service cannot read them there, and goes on renewing workers'
// leases: it has to hear of them from whoever told.
type CancellationLog struct {
	blocks int
	keep   time.Duration        // past it the job's tasks are gone, whoever holds its block
	most   int                  // how many are noted
	items  []*notedCancellation // in the order in which they were noted
	byID   map[string]*notedCancellation
	lost   time.Time // when the last one was left out for want of room; zero: never
}

type notedCancellation struct {
	id  string
	at  time.Time
	had []uint64 // for each block, the highest token under which its holder said it has it
}

// NewCancellationLog makes an empty list for a deployment in which cancelled jobs' tasks are
// gone within cancel and the state service takes so many changes a second: it has room for
// as many cancellations as can be written in the time for which they are kept.
func NewCancellationLog(blocks int, cancel time.Duration, writesPerS float64) *CancellationLog {
	keep := cancel * tuning.CancellationKeep
	written := int(keep.Seconds() * writesPerS / tuning.CancelWrites)
	return &CancellationLog{blocks: blocks, keep: keep, most: max(tuning.CancellationsKept, written), byID: map[string]*notedCancellation{}}
}

// Add enters a cancellation, before its user is told.
func (t *CancellationLog) Add(now time.Time, id string) {
	t.prune(now)
	if t.byID[id] != nil {
		return
	}
	if len(t.items) == t.most {
		t.lost = now
		return
	}
	e := &notedCancellation{id: id, at: now, had: make([]uint64, t.blocks)}
	t.items = append(t.items, e)
	t.byID[id] = e
}

// Had notes that the holder of a block under a token knows of cancellations. A later
// holder may not: what it read last may be older.
func (t *CancellationLog) Had(ids []string, block int, token uint64) {
	for _, id := range ids {
		if e := t.byID[id]; e != nil && block >= 0 && block < t.blocks {
			e.had[block] = max(e.had[block], token)
		}
	}
}

// Pending lists the cancellations that some holder of these tokens, by block, has not
// said it has, and tells whether they are all there are.
func (t *CancellationLog) Pending(now time.Time, tokens []uint64) (ids []string, whole bool) {
	t.prune(now)
	for _, e := range t.items {
		for b, token := range tokens {
			if e.had[b] < token || token == 0 {
				ids = append(ids, e.id)
				break
			}
		}
		if len(ids) > tuning.CancellationsAtOnce {
			return ids[:tuning.CancellationsAtOnce], false
		}
	}
	return ids, t.lost.IsZero()
}

func (t *CancellationLog) prune(now time.Time) {
	n := 0
	for n < len(t.items) && now.Sub(t.items[n].at) > t.keep {
		delete(t.byID, t.items[n].id)
		n++
	}
	t.items = slices.Delete(t.items, 0, n)
	if now.Sub(t.lost) > t.keep {
		t.lost = time.Time{}
	}
}
