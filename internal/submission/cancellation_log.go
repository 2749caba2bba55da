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
	shards    int
	retention time.Duration        // past it the job's tasks are gone, whoever holds its block
	capacity  int                  // how many are noted
	entries   []*cancellationEntry // in the order in which they were noted
	byID      map[string]*cancellationEntry
	droppedAt time.Time // when the last one was left out for want of room; zero: never
}

type cancellationEntry struct {
	id           string
	toldAt       time.Time
	acknowledged []uint64 // for each block, the highest token under which its holder said it has it
}

// NewCancellationLog makes an empty list for a deployment in which cancelled jobs' tasks are
// gone within cancel and the state service takes so many changes a second: it has room for
// as many cancellations as can be written in the time for which they are kept.
func NewCancellationLog(shards int, cancelTime time.Duration, writesPerS float64) *CancellationLog {
	retention := cancelTime * tuning.CancellationRetentionFactor
	written := int(retention.Seconds() * writesPerS / tuning.WritesPerCancellation)
	return &CancellationLog{shards: shards, retention: retention, capacity: max(tuning.MinCancellationsKept, written), byID: map[string]*cancellationEntry{}}
}

// Add enters a cancellation, before its user is told.
func (l *CancellationLog) Add(now time.Time, id string) {
	l.prune(now)
	if l.byID[id] != nil {
		return
	}
	if len(l.entries) == l.capacity {
		l.droppedAt = now
		return
	}
	entry := &cancellationEntry{id: id, toldAt: now, acknowledged: make([]uint64, l.shards)}
	l.entries = append(l.entries, entry)
	l.byID[id] = entry
}

// Acknowledge notes that the holder of a block under a token knows of cancellations. A later
// holder may not: what it read last may be older.
func (l *CancellationLog) Acknowledge(ids []string, shard int, token uint64) {
	for _, id := range ids {
		if entry := l.byID[id]; entry != nil && shard >= 0 && shard < l.shards {
			entry.acknowledged[shard] = max(entry.acknowledged[shard], token)
		}
	}
}

// Pending lists the cancellations that some holder of these tokens, by block, has not
// said it has, and tells whether they are all there are.
func (l *CancellationLog) Pending(now time.Time, tokens []uint64) (ids []string, complete bool) {
	l.prune(now)
	for _, entry := range l.entries {
		for shard, token := range tokens {
			if entry.acknowledged[shard] < token || token == 0 {
				ids = append(ids, entry.id)
				break
			}
		}
		if len(ids) > tuning.MaxCancellationsPerMessage {
			return ids[:tuning.MaxCancellationsPerMessage], false
		}
	}
	return ids, l.droppedAt.IsZero()
}

func (l *CancellationLog) prune(now time.Time) {
	expired := 0
	for expired < len(l.entries) && now.Sub(l.entries[expired].toldAt) > l.retention {
		delete(l.byID, l.entries[expired].id)
		expired++
	}
	l.entries = slices.Delete(l.entries, 0, expired)
	if now.Sub(l.droppedAt) > l.retention {
		l.droppedAt = time.Time{}
	}
}
