package store

import (
	"encoding/json"
	"testing"
	"time"

	"juniperchute/internal/wire"
)

// Changes that a list and a watch both return must be reported once, and compaction must not
// lose or repeat changes.
func TestWatchCacheMergesListAndWatch(t *testing.T) {
	service := &pendingCalls{}
	changes := ""
	onChange := func(_ time.Time, key string, item wire.KeyValue, deleted bool) {
		if deleted {
			changes += "-"
		}
		changes += key + string(item.Value) + " "
	}
	cache := NewWatchCache(WatchCacheOptions{Prefix: "q/", StateCall: service.call, OnChange: onChange})
	item := func(key, value string, version uint64) wire.KeyValue {
		return wire.KeyValue{Key: key, Value: json.RawMessage(value), Version: version}
	}
	cache.Tick(time.Unix(0, 0))
	service.reply(t, Result{Revision: 10, More: true, KeyValues: []wire.KeyValue{item("q/a", "1", 3)}})
	service.reply(t, Result{Revision: 12, KeyValues: []wire.KeyValue{item("q/b", "2", 12)}})
	if watch := service.calls[0]; watch.Op != OpWatch || watch.SinceRevision != 10 {
		t.Fatalf("watch from revision %d, want that of the first page", watch.SinceRevision)
	}
	// events that the list includes or that are older than the list
	service.reply(t, Result{Revision: 13, Events: []wire.Event{
		{DeleteKey: "q/b", Version: 11},
		{PutKey: "q/b", Value: json.RawMessage("2"), Version: 12},
		{DeleteKey: "q/a", Version: 13},
	}})
	// compaction: the keys are listed again
	service.reply(t, Result{Err: ErrCompacted})
	service.reply(t, Result{Revision: 900, KeyValues: []wire.KeyValue{item("q/c", "3", 700)}})
	if want := "q/a1 q/b2 -q/a1 q/c3 -q/b2 "; changes != want {
		t.Errorf("reported %q, want %q", changes, want)
	}
}
