package store

import (
	"strings"
	"testing"
	"time"
)

// entryOfSize returns a value whose entry under a key of one byte has the given size.
func entryOfSize(size int) string {
	const quotes = 2 // of the value in JSON
	return strings.Repeat("x", size-entryOverhead-quotes-1)
}

// Guards against an entry that is never durable: the size of a page counted an entry twice that moved back
// to it before the stale copy was removed. Under a lowered limit such a page was split forever, and never
// written.
func TestPagesCountReturningEntryOnce(t *testing.T) {
	const maxPageBytes = 870 // of a value of 1 KiB
	service := newFakeStateService(t, 1024)
	held := &pendingCalls{}
	options := service.options("t/0/")
	options.StateCall = held.call
	pages := NewPages(options)
	put := func(key string, size int) (durable *bool) {
		durable = new(bool)
		pages.Put(key, entryOfSize(size), func(time.Time) { *durable = true })
		return durable
	}
	put("a", 400)
	put("b", 460)
	put("a", 412) // does not fit beside b: page 1, with a stale copy on page 0
	put("c", 456)
	pages.Delete("b")
	put("a", 420) // does not fit beside c: back to page 0
	for range 30 {
		service.now = service.now.Add(time.Second)
		pages.Tick(service.now)
		executeNewestFirst(t, service, held, nil)
	}
	for number, stored := range pages.pages {
		sum := 0
		for key, value := range stored.entries {
			sum += entrySize(key, value)
		}
		if stored.size != sum {
			t.Errorf("page %d counts %d bytes, its entries have %d", number, stored.size, sum)
		}
	}
	pages.Delete("c")
	durable := put("a", 421)
	pages.maxPageBytes = maxPageBytes / 2 // as after the rejection of another page
	for range 30 {
		service.now = service.now.Add(time.Second)
		pages.Tick(service.now)
		executeNewestFirst(t, service, held, nil)
	}
	if !*durable {
		t.Error("an entry within the lowered limit is not durable after 30s")
	}
}
