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

// Entries share pages, pages keep to their limit, each is written once an interval, and a
// successor finds everything again.
func TestPages(t *testing.T) {
	service := newPageStore(t, 1024)
	defer func() {
		for _, value := range service.rejected {
			t.Errorf("written above the limit: %.40s", value)
		}
	}()
	pages := NewPages(service.options("t/0/"))
	durable := 0
	countDurable := func(time.Time) { durable++ }
	for i := range 60 {
		pages.Put(fmt.Sprintf("job-%d/0", i), strings.Repeat("x", 20), countDurable)
	}
	if durable != 0 {
		t.Fatal("durable before it was written")
	}
	pages.Tick(service.now)
	if durable != 60 || service.writes != len(service.keys) || service.writes < 2 || service.writes > 4 {
		t.Fatalf("%d durable by %d writes in %d pages", durable, service.writes, len(service.keys))
	}
	before := service.writes
	pages.Put("job-0/0", strings.Repeat("y", 20), countDurable)
	pages.Delete("job-1/0")
	for range 10 {
		pages.Tick(service.now) // not yet
	}
	service.now = service.now.Add(time.Second)
	pages.Tick(service.now)
	if durable != 61 || service.writes != before+1 {
		t.Errorf("%d durable by %d more writes, want one", durable, service.writes-before)
	}
	requireSuccessor(t, service)
}

// requireSuccessor checks that a successor finds what TestPages has stored, and that what
// it removes costs few writes.
func requireSuccessor(t *testing.T, service *pageStore) {
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
	for range 5 { // nothing waits for this: not each removal is a write
		service.now = service.now.Add(time.Second)
		pages.Tick(service.now)
	}
	if service.writes != before {
		t.Errorf("%d writes for removals", service.writes-before)
	}
	pages.Tick(service.now.Add(tuning.PageRemovalInterval))
	if len(service.keys) != 0 {
		t.Errorf("%d empty pages are left", len(service.keys))
	}
}

// A page that was written under a higher limit is split before it is written again, in
// an order in which no entry is ever missing from what is stored.
func TestPageSplit(t *testing.T) {
	service := newPageStore(t, 1024)
	large := map[string]string{}
	for i := range 60 {
		large[fmt.Sprintf("i-%06d", i)] = fmt.Sprintf("10.0.0.%d:9000", i)
	}
	raw, _ := json.Marshal(large)
	service.keys["u/0/0"] = wire.KeyValue{Key: "u/0/0", Value: raw, Version: 5}

	held := &heldCalls{}
	options := service.options("u/0/")
	options.StateCall = held.call
	pages := NewPages(options)
	pages.Load(service.items(), func(string, json.RawMessage) {})
	pages.Tick(service.now)
	if len(held.calls) != 0 {
		t.Fatal("a page that nothing changed was written")
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
			t.Errorf("%s is in %d pages", key, count)
		}
	}
}

// executeNewestFirst executes the calls in flight, the newest first, and checks that none
// exceeds the limit and that after each the wanted entries are stored.
func executeNewestFirst(t *testing.T, service *pageStore, held *heldCalls, wanted []string) {
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
				t.Fatalf("%s is in no page any more", key)
			}
		}
		done(service.now, result)
	}
	if len(held.calls) != 0 {
		t.Fatalf("%d calls in reply to results", len(held.calls))
	}
}

type unannouncedLimitCase struct {
	name    string
	limit   int
	durable bool // whether all entries can become durable
}

var unannouncedLimitCases = []unannouncedLimitCase{
	{name: "half of the present one", limit: 512, durable: true},
	{name: "an eighth of it", limit: 130, durable: true},
	{name: "less than one entry takes", limit: 20, durable: false},
}

// A limit that nobody announced shows by a rejection for the size: the page is split until
// it is accepted, nothing is dropped, and no rejected value is written a second time.
func TestUnannouncedLimit(t *testing.T) {
	const entries, seconds = 60, 60 * 60
	for _, c := range unannouncedLimitCases {
		t.Run(c.name, func(t *testing.T) {
			service := newPageStore(t, c.limit)
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
				t.Errorf("%d of %d durable, %d found", len(durable), entries, len(found))
			}
			times := map[string]int{}
			for _, value := range service.rejected {
				if times[value]++; c.durable && times[value] > 1 {
					t.Errorf("rejected again: %.40s", value)
				}
			}
			most := seconds / int(tuning.WriterBackoffMax.Seconds()) * (len(times) + 1)
			if len(service.rejected) > most {
				t.Errorf("%d rejections in an hour, %d values", len(service.rejected), len(times))
			}
		})
	}
}

// A page that cannot be read keeps its place: nothing is written over it.
func TestUnreadablePage(t *testing.T) {
	for _, value := range []string{`{"i-000001":"10.0`, `["i-000001"]`, `null`, `7`} {
		service := newPageStore(t, 1024)
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
			t.Errorf("%s became %s; %d unreadable, %d found, %d durable",
				value, stored, pages.Unreadable(), found, durable)
		}
	}
}
