package submission

import (
	"slices"
	"time"

	"juniperchute/internal/tuning"
)

// CancellationLog holds the recent cancellations that this process has confirmed to users, for
// delivery to the lease holders of all shards. A lease holder that is partitioned from the state service
// continues to renew worker leases, and learns of these cancellations only from this process. The log is
// not safe for concurrent use.
type CancellationLog struct {
	shards    int
	retention time.Duration        // time until all tasks of a cancelled job have been killed, with a margin
	capacity  int                  // in entries
	entries   []*cancellationEntry // in the order of recordedAt
	byID      map[string]*cancellationEntry
	droppedAt time.Time // last drop of an entry for lack of capacity; zero if none within retention
}

type cancellationEntry struct {
	id         string
	recordedAt time.Time
	// acknowledged holds, by shard, the highest fencing token under which a lease holder has
	// acknowledged the cancellation.
	acknowledged []uint64
}

// NewCancellationLog returns an empty log. cancelTime bounds the time in which all tasks of a cancelled
// job are killed. writesPerS is the write rate limit of the state service: the log has capacity for all
// cancellations that can be written at that rate within the retention time.
func NewCancellationLog(shards int, cancelTime time.Duration, writesPerS float64) *CancellationLog {
	retention := cancelTime * tuning.CancellationRetentionFactor
	maxWritten := int(retention.Seconds() * writesPerS / tuning.WritesPerCancellation)
	return &CancellationLog{
		shards:    shards,
		retention: retention,
		capacity:  max(tuning.MinCancellationsKept, maxWritten),
		byID:      map[string]*cancellationEntry{},
	}
}

// Add records a cancellation. The caller must not confirm the cancellation to the user before Add has
// returned. A full log drops the new entry, after which Pending reports an incomplete list.
func (l *CancellationLog) Add(now time.Time, id string) {
	l.prune(now)
	if l.byID[id] != nil {
		return
	}
	if len(l.entries) == l.capacity {
		l.droppedAt = now
		return
	}
	entry := &cancellationEntry{id: id, recordedAt: now, acknowledged: make([]uint64, l.shards)}
	l.entries = append(l.entries, entry)
	l.byID[id] = entry
}

// Acknowledge records that the lease holder of a shard, under the given fencing token, knows the given
// cancellations. The next lease holder, under a higher token, has to acknowledge them again because its
// last read of the state service may be older.
func (l *CancellationLog) Acknowledge(ids []string, shard int, token uint64) {
	if shard < 0 || shard >= l.shards {
		return // the sender is configured with more shards
	}
	for _, id := range ids {
		if entry := l.byID[id]; entry != nil {
			entry.acknowledged[shard] = max(entry.acknowledged[shard], token)
		}
	}
}

// Pending returns the IDs of at most tuning.MaxCancellationsPerMessage jobs whose cancellation is not
// acknowledged by the lease holders of all shards. tokens holds each shard's fencing token, 0 for a shard
// without a lease holder. complete reports whether ids contains every such job.
func (l *CancellationLog) Pending(now time.Time, tokens []uint64) (ids []string, complete bool) {
	l.prune(now)
	for _, entry := range l.entries {
		if entry.acknowledgedBy(tokens) {
			continue
		}
		if len(ids) == tuning.MaxCancellationsPerMessage {
			return ids, false
		}
		ids = append(ids, entry.id)
	}
	return ids, l.droppedAt.IsZero()
}

// acknowledgedBy reports whether the lease holders of all shards have acknowledged the cancellation under
// the given fencing tokens or later ones.
func (e *cancellationEntry) acknowledgedBy(tokens []uint64) bool {
	for shard, token := range tokens {
		if token == 0 || e.acknowledged[shard] < token {
			return false
		}
	}
	return true
}

// prune removes the entries, and the mark of a dropped entry, that are older than the retention time.
func (l *CancellationLog) prune(now time.Time) {
	expired := 0
	for expired < len(l.entries) && now.Sub(l.entries[expired].recordedAt) > l.retention {
		delete(l.byID, l.entries[expired].id)
		expired++
	}
	l.entries = slices.Delete(l.entries, 0, expired)
	if now.Sub(l.droppedAt) > l.retention {
		l.droppedAt = time.Time{}
	}
}
