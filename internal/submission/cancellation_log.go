package submission

import (
	"slices"
	"time"

	"juniperchute/internal/tuning"
)

// CancellationLog lists the cancellations that this process has reported to users. The owner
// of a shard that is cut off from the state service cannot read them there, yet it goes on
// renewing its workers' leases: it has to learn of them from the process that reported them.
type CancellationLog struct {
	shards    int
	retention time.Duration        // after it the job's tasks have been killed, whoever owns their shard
	capacity  int                  // in entries
	entries   []*cancellationEntry // in the order of recordedAt
	byID      map[string]*cancellationEntry
	droppedAt time.Time // when an entry was last dropped for lack of capacity; zero: not within retention
}

type cancellationEntry struct {
	id         string
	recordedAt time.Time
	// acknowledged holds for each shard the highest token under which its owner has
	// acknowledged the cancellation.
	acknowledged []uint64
}

// NewCancellationLog returns an empty log. All tasks of a cancelled job are killed within
// cancelTime; the state service takes writesPerS writes a second. The log has room for all
// cancellations that can be written while an entry is kept.
func NewCancellationLog(shards int, cancelTime time.Duration, writesPerS float64) *CancellationLog {
	retention := cancelTime * tuning.CancellationRetentionFactor
	written := int(retention.Seconds() * writesPerS / tuning.WritesPerCancellation)
	return &CancellationLog{
		shards:    shards,
		retention: retention,
		capacity:  max(tuning.MinCancellationsKept, written),
		byID:      map[string]*cancellationEntry{},
	}
}

// Add records a cancellation. It must be called before it is reported to the user.
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

// Acknowledge records that the owner of a shard under a token knows of cancellations. Its
// successor, under a higher token, may not: what it read last may be older.
func (l *CancellationLog) Acknowledge(ids []string, shard int, token uint64) {
	if shard < 0 || shard >= l.shards {
		return // from a controller with more shards
	}
	for _, id := range ids {
		if entry := l.byID[id]; entry != nil {
			entry.acknowledged[shard] = max(entry.acknowledged[shard], token)
		}
	}
}

// Pending returns the cancellations that some shard's owner has not acknowledged, given the
// owners' tokens by shard, 0 for a shard without an owner. It returns at most
// tuning.MaxCancellationsPerMessage; complete reports whether these are all.
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

// acknowledgedBy reports whether the owners of all shards have acknowledged the cancellation.
func (e *cancellationEntry) acknowledgedBy(tokens []uint64) bool {
	for shard, token := range tokens {
		if token == 0 || e.acknowledged[shard] < token {
			return false
		}
	}
	return true
}

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
