package controller

import (
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// storedIntents holds the intent logs of all shards from one read of the state service.
type storedIntents struct {
	entries    map[int][]intentlog.Entry // by shard
	unreadable map[int]int               // pages that cannot be decoded, by shard
	readAt     time.Time                 // zero if they have never been read
}

func newStoredIntents(now time.Time) storedIntents {
	return storedIntents{entries: map[int][]intentlog.Entry{}, unreadable: map[int]int{}, readAt: now}
}

// addPage adds the entries of one page of a shard's intent log.
func (s *storedIntents) addPage(page wire.KeyValue) {
	segment, _, _ := strings.Cut(strings.TrimPrefix(page.Key, intentlog.Prefix), "/")
	shard, err := strconv.Atoi(segment)
	if err != nil {
		return
	}
	entries, err := intentlog.ReadPage(page.Value)
	if err != nil {
		s.unreadable[shard]++
		return
	}
	s.entries[shard] = append(s.entries[shard], entries...)
}

// readIntentLogs reads the pages of all shards' intent logs whose keys follow after. It calls done
// with ok set if all pages have been read.
func (c *Controller) readIntentLogs(into storedIntents, after string, done func(now time.Time, ok bool)) {
	call := store.Call{
		Op:       store.OpList,
		Priority: store.PriorityUser,
		Prefix:   intentlog.Prefix,
		After:    after,
		PageSize: tuning.ListPageSize,
	}
	c.callState(call, func(now time.Time, result store.Result) {
		if !result.OK() {
			done(now, false)
			return
		}
		for _, page := range result.KeyValues {
			into.addPage(page)
		}
		if n := len(result.KeyValues); result.More && n > 0 {
			c.readIntentLogs(into, result.KeyValues[n-1].Key, done)
			return
		}
		done(now, true)
	})
}
