package store

import (
	"encoding/json"
	"testing"
	"time"

	"juniperchute/internal/wire"
)

func TestWatchCache(t *testing.T) {
	service := &heldCalls{}
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
		t.Fatalf("watches from %d, want the first page's revision", watch.SinceRevision)
	}
	// what the list already showed, and what is older than it, comes again
	service.reply(t, Result{Revision: 13, Events: []wire.Event{
		{Delete: "q/b", Version: 11},
		{Put: "q/b", Value: json.RawMessage("2"), Version: 12},
		{Delete: "q/a", Version: 13},
	}})
	// fallen too far behind: everything is listed again
	service.reply(t, Result{Err: ErrCompacted})
	service.reply(t, Result{Revision: 900, KeyValues: []wire.KeyValue{item("q/c", "3", 700)}})
	if want := "q/a1 q/b2 -q/a1 q/c3 -q/b2 "; changes != want {
		t.Errorf("reported %q, want %q", changes, want)
	}
}
