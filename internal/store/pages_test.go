package store

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Pages must respect the size limit and the write interval, and a successor must load every
// entry.
func TestPagesShareAndBatchWrites(t *testing.T) {
	service := newFakeStateService(t, 1024)
	defer func() {
		for _, value := range service.rejected {
			t.Errorf("write exceeds the size limit: %.40s", value)
		}
	}()
	pages := NewPages(service.options("t/0/"))
	durable := 0
	countDurable := func(time.Time) { durable++ }
	for i := range 60 {
		pages.Put(fmt.Sprintf("job-%d/0", i), strings.Repeat("x", 20), countDurable)
	}
	if durable != 0 {
		t.Fatal("entries are reported durable before a write")
	}
	pages.Tick(service.now)
	if durable != 60 || service.writes != len(service.keys) || service.writes < 2 || service.writes > 4 {
		t.Fatalf("%d entries durable after %d writes to %d pages", durable, service.writes, len(service.keys))
	}
	before := service.writes
	pages.Put("job-0/0", strings.Repeat("y", 20), countDurable)
	pages.Delete("job-1/0")
	for range 10 {
		pages.Tick(service.now) // before the write interval has passed
	}
	service.now = service.now.Add(time.Second)
	pages.Tick(service.now)
	if durable != 61 || service.writes != before+1 {
		t.Errorf("%d entries durable after %d more writes, want 61 after 1", durable, service.writes-before)
	}
	requireLoadAndRemoval(t, service)
}

// requireLoadAndRemoval checks that a successor loads the stored entries and that it batches
// the removal of all of them.
func requireLoadAndRemoval(t *testing.T, service *fakeStateService) {
	t.Helper()
	found := map[string]string{}
	pages := NewPages(service.options("t/0/"))
	pages.Load(service.items(), func(key string, raw json.RawMessage) { found[key] = string(raw) })
	if len(found) != 59 || !strings.Contains(found["job-0/0"], "yyy") {
		t.Errorf("found %d entries, %q", len(found), found["job-0/0"])
	}
	before := service.writes
	for key := range found {
		pages.Delete(key)
	}
	for range 5 { // less than tuning.PageRemovalInterval
		service.now = service.now.Add(time.Second)
		pages.Tick(service.now)
	}
	if service.writes != before {
		t.Errorf("%d writes for removals before tuning.PageRemovalInterval, want none", service.writes-before)
	}
	pages.Tick(service.now.Add(tuning.PageRemovalInterval))
	if len(service.keys) != 0 {
		t.Errorf("%d pages are stored, want none", len(service.keys))
	}
}

// A stored page that exceeds the current limit must be split before it is written, and no entry
// may be missing from the store at any point of the split.
func TestPagesSplitWithoutLosingEntries(t *testing.T) {
	service := newFakeStateService(t, 1024)
	large := map[string]string{}
	for i := range 60 {
		large[fmt.Sprintf("i-%06d", i)] = fmt.Sprintf("10.0.0.%d:9000", i)
	}
	raw, _ := json.Marshal(large)
	service.keys["u/0/0"] = wire.KeyValue{Key: "u/0/0", Value: raw, Version: 5}

	held := &pendingCalls{}
	options := service.options("u/0/")
	options.StateCall = held.call
	pages := NewPages(options)
	pages.Load(service.items(), func(string, json.RawMessage) {})
	pages.Tick(service.now)
	if len(held.calls) != 0 {
		t.Fatal("an unchanged page was written")
	}
	pages.Put("i-000060", "10.0.0.60:9000", func(time.Time) {})
	pages.Delete("i-000003")
	delete(large, "i-000003")
	for range 12 {
		service.now = service.now.Add(2 * time.Second)
		pages.Tick(service.now)
		executeNewestFirst(t, service, held, slices.Collect(maps.Keys(large)))
	}

	large["i-000060"] = "10.0.0.60:9000"
	stored := service.entries()
	if len(stored) != len(large) || len(service.keys) < 2 {
		t.Errorf("%d entries in %d pages, want %d", len(stored), len(service.keys), len(large))
	}
	for key, count := range stored {
		if _, wanted := large[key]; count != 1 || !wanted {
			t.Errorf("%s is on %d pages, want 1 (0 if it was deleted)", key, count)
		}
	}
}

// executeNewestFirst executes the calls in flight in reverse order. It checks that none exceeds
// the size limit and that all wanted entries are stored after each.
func executeNewestFirst(t *testing.T, service *fakeStateService, held *pendingCalls, wanted []string) {
	t.Helper()
	for last := len(held.calls) - 1; last >= 0; last-- {
		call, done := held.calls[last], held.done[last]
		held.calls, held.done = held.calls[:last], held.done[:last]
		result := service.execute(call.Transaction)
		if !result.OK() {
			t.Fatalf("write of %v: %v", call.Transaction.Writes, result.Err)
		}
		stored := service.entries()
		for _, key := range wanted {
			if stored[key] == 0 {
				t.Fatalf("%s is not on any stored page", key)
			}
		}
		done(service.now, result)
	}
	if len(held.calls) != 0 {
		t.Fatalf("%d calls were sent by the callbacks of results, want none", len(held.calls))
	}
}

type unannouncedLimitCase struct {
	name    string
	limit   int
	durable bool // whether all entries fit within the limit
}

var unannouncedLimitCases = []unannouncedLimitCase{
	{name: "half of the configured limit", limit: 512, durable: true},
	{name: "an eighth of the configured limit", limit: 130, durable: true},
	{name: "below the size of one entry", limit: 20, durable: false},
}

// The service may enforce a lower size limit than the settings announce. Rejected pages must be
// split until they fit, without loss of entries and without retries of a rejected value.
func TestPagesAdaptToSizeLimit(t *testing.T) {
	const entries, seconds = 60, 60 * 60
	for _, c := range unannouncedLimitCases {
		t.Run(c.name, func(t *testing.T) {
			service := newFakeStateService(t, c.limit)
			pages, durable := NewPages(service.options("u/0/")), map[string]bool{}
			for i := range entries {
				key := fmt.Sprintf("i-%06d", i)
				pages.Put(key, fmt.Sprintf("10.0.0.%d:9000", i), func(time.Time) { durable[key] = true })
			}
			for range seconds {
				service.now = service.now.Add(time.Second)
				pages.Tick(service.now)
			}
			found := map[string]bool{}
			successor := NewPages(service.options("u/0/"))
			successor.Load(service.items(), func(key string, _ json.RawMessage) { found[key] = true })
			if c.durable != (len(durable) == entries) || c.durable != (len(found) == entries) {
				t.Errorf("%d of %d entries durable, %d loaded", len(durable), entries, len(found))
			}
			times := map[string]int{}
			for _, value := range service.rejected {
				if times[value]++; c.durable && times[value] > 1 {
					t.Errorf("rejected value was written again: %.40s", value)
				}
			}
			most := seconds / int(tuning.WriterBackoffMax.Seconds()) * (len(times) + 1)
			if len(service.rejected) > most {
				t.Errorf("%d rejections of %d values in an hour, want at most %d",
					len(service.rejected), len(times), most)
			}
		})
	}
}

// Overwriting a page that cannot be decoded would destroy its entries.
func TestPagesKeepUndecodablePage(t *testing.T) {
	for _, value := range []string{`{"i-000001":"10.0`, `["i-000001"]`, `null`, `7`} {
		service := newFakeStateService(t, 1024)
		service.keys["u/0/0"] = wire.KeyValue{Key: "u/0/0", Value: json.RawMessage(value), Version: 5}
		service.keys["u/0/1"] = wire.KeyValue{Key: "u/0/1", Value: json.RawMessage(`{"i-000002":"a"}`), Version: 6}
		pages, found, durable := NewPages(service.options("u/0/")), 0, 0
		pages.Load(service.items(), func(string, json.RawMessage) { found++ })
		for i := range 80 {
			pages.Put(fmt.Sprintf("i-%06d", 10+i), "10.0.0.1:9000", func(time.Time) { durable++ })
		}
		for i := range 20 {
			pages.Tick(time.Unix(int64(i)*2, 0))
		}
		stored := string(service.keys["u/0/0"].Value)
		if stored != value || pages.Unreadable() != 1 || found != 1 || durable != 80 {
			t.Errorf("%s became %s; %d unreadable, %d entries loaded, %d durable",
				value, stored, pages.Unreadable(), found, durable)
		}
	}
}
