package store

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Entries share pages, pages keep to their limit, each is written once a while,
// and a successor finds everything again.
func TestPages(t *testing.T) {
	now := time.Unix(0, 0)
	kv := map[string]wire.KeyValue{}
	revision, writes := uint64(10), 0
	call := func(c Call, then func(time.Time, Result)) {
		for _, cond := range c.Transaction.Compares {
			if cond.Key != "c/b/0" && kv[cond.Key].Version != cond.Version {
				then(now, Result{Status: 409, FailedKeys: []string{cond.Key}})
				return
			}
		}
		revision++
		for _, w := range c.Transaction.Writes {
			if writes++; len(w.Value) > 1024 {
				t.Errorf("%s has %d bytes", w.Put, len(w.Value))
			}
			delete(kv, w.Delete)
			if w.Put != "" {
				kv[w.Put] = wire.KeyValue{Key: w.Put, Value: w.Value, Version: revision}
			}
		}
		then(now, Result{Status: 200, Revision: revision})
	}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	open := func() *Pages {
		return NewPages("t/0/", 1, time.Second, PriorityCompletion, VersionEquals("c/b/0", 2), call, quiet, func(time.Time) { t.Error("lost") })
	}
	p := open()
	durable := 0
	for i := range 60 {
		p.Put(fmt.Sprintf("job-%d/0", i), strings.Repeat("x", 20), func(time.Time) { durable++ })
	}
	if durable != 0 {
		t.Fatal("durable before it was written")
	}
	p.Tick(now)
	if durable != 60 || writes != len(kv) || writes < 2 || writes > 4 {
		t.Fatalf("%d durable by %d writes in %d pages", durable, writes, len(kv))
	}
	before := writes
	p.Put("job-0/0", strings.Repeat("y", 20), func(time.Time) { durable++ })
	p.Delete("job-1/0")
	for range 10 {
		p.Tick(now) // not yet
	}
	now = now.Add(time.Second)
	p.Tick(now)
	if durable != 61 || writes != before+1 {
		t.Errorf("%d durable by %d more writes, want one", durable, writes-before)
	}
	var items []wire.KeyValue
	for _, it := range kv {
		items = append(items, it)
	}
	found := map[string]string{}
	p = open()
	p.Load(items, func(key string, raw json.RawMessage) { found[key] = string(raw) })
	if len(found) != 59 || !strings.Contains(found["job-0/0"], "yyy") {
		t.Errorf("found %d entries, %q", len(found), found["job-0/0"])
	}
	before = writes
	for k := range found {
		p.Delete(k)
	}
	for range 5 { // nothing waits for this: not each removal is a write
		now = now.Add(time.Second)
		p.Tick(now)
	}
	if writes != before {
		t.Errorf("%d writes for removals", writes-before)
	}
	p.Tick(now.Add(tuning.PageRemovalInterval))
	if len(kv) != 0 {
		t.Errorf("%d empty pages are left", len(kv))
	}
}

// A page that was written under a higher limit is split before it is written again, in
// an order in which no entry is ever missing from what is stored.
func TestSplit(t *testing.T) {
	const limit = 1024
	want := map[string]bool{}
	old := map[string]string{}
	for i := range 60 {
		k := fmt.Sprintf("i-%06d", i)
		old[k], want[k] = fmt.Sprintf("10.0.0.%d:9000", i), true
	}
	raw, _ := json.Marshal(old)
	kv := map[string]wire.KeyValue{"u/0/0": {Key: "u/0/0", Value: raw, Version: 5}}
	stored := func() map[string]bool {
		out := map[string]bool{}
		for _, it := range kv {
			entries := map[string]json.RawMessage{}
			_ = json.Unmarshal(it.Value, &entries)
			for k := range entries {
				out[k] = true
			}
		}
		return out
	}
	type pending struct {
		c    Call
		then func(time.Time, Result)
	}
	var calls []pending
	now, revision := time.Unix(0, 0), uint64(10)
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	p := NewPages("u/0/", 1, time.Second, PriorityTerm, VersionEquals("c/b/0", 2), func(c Call, then func(time.Time, Result)) { calls = append(calls, pending{c, then}) }, quiet,
		func(time.Time) { t.Error("lost") })
	p.Load([]wire.KeyValue{kv["u/0/0"]}, func(string, json.RawMessage) {})
	p.Tick(now)
	if len(calls) != 0 {
		t.Fatal("a page that nothing changed was written")
	}
	p.Put("i-000060", "10.0.0.60:9000", func(time.Time) {})
	want["i-000060"] = true
	p.Delete("i-000003")
	for range 12 {
		now = now.Add(2 * time.Second)
		p.Tick(now)
		// the newest first: whatever the order in which they are carried out
		for i := len(calls) - 1; i >= 0; i-- {
			revision++
			for _, w := range calls[i].c.Transaction.Writes {
				if len(w.Value) > limit {
					t.Fatalf("%s is written with %d bytes", w.Put, len(w.Value))
				}
				delete(kv, w.Delete)
				if w.Put != "" {
					kv[w.Put] = wire.KeyValue{Key: w.Put, Value: w.Value, Version: revision}
				}
			}
			for k := range want {
				if k != "i-000003" && k != "i-000060" && !stored()[k] {
					t.Fatalf("%s is in no page any more", k)
				}
			}
			then := calls[i].then
			calls = append(calls[:i:i], calls[i+1:]...)
			then(now, Result{Status: 200, Revision: revision})
		}
	}
	delete(want, "i-000003")
	got := map[string]int{}
	for _, it := range kv {
		entries := map[string]json.RawMessage{}
		_ = json.Unmarshal(it.Value, &entries)
		for k := range entries {
			got[k]++
		}
	}
	if len(got) != len(want) || len(kv) < 2 {
		t.Errorf("%d entries in %d pages, want %d", len(got), len(kv), len(want))
	}
	for k, n := range got {
		if n != 1 || !want[k] {
			t.Errorf("%s is in %d pages", k, n)
		}
	}
}

// pageStore is a stand-in for the state service that keeps what is written and refuses
// values above a limit.
type pageStore struct {
	t        *testing.T
	limit    int
	keys     map[string]wire.KeyValue
	revision uint64
	refused  []string // values, in order
	now      time.Time
}

func (s *pageStore) items() (out []wire.KeyValue) {
	for _, it := range s.keys {
		out = append(out, it)
	}
	return out
}

func (s *pageStore) pages(kb float64) *Pages {
	return NewPages("u/0/", kb, time.Second, PriorityTerm, VersionEquals("c/b/0", 2), s.call, slog.New(slog.NewTextHandler(io.Discard, nil)),
		func(time.Time) { s.t.Error("lost") })
}

// A limit that nobody announced shows by a refusal for the size: the page is split until
// it is taken, nothing is dropped, and no refused value is written a second time.
func TestUnannouncedLimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit int
		whole bool // whether all can become durable
	}{
		{"half of the present one", 512, true}, {"an eighth of it", 130, true}, {"less than one entry takes", 20, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &pageStore{t: t, limit: c.limit, keys: map[string]wire.KeyValue{}, revision: 10}
			p, durable, now := s.pages(1), map[string]bool{}, time.Unix(0, 0)
			const entries = 60
			for i := range entries {
				k := fmt.Sprintf("i-%06d", i)
				p.Put(k, fmt.Sprintf("10.0.0.%d:9000", i), func(time.Time) { durable[k] = true })
			}
			for range 60 * 60 {
				now = now.Add(time.Second)
				s.now = now
				p.Tick(now)
			}
			found := map[string]bool{}
			again := s.pages(1)
			again.Load(s.items(), func(key string, _ json.RawMessage) { found[key] = true })
			if c.whole != (len(durable) == entries) || c.whole != (len(found) == entries) {
				t.Errorf("%d of %d durable, %d found", len(durable), entries, len(found))
			}
			times := map[string]int{}
			for _, v := range s.refused {
				if times[v]++; c.whole && times[v] > 1 {
					t.Errorf("refused again: %.40s", v)
				}
			}
			if most := 60 * 60 / int(tuning.WriterRetryMax.Seconds()) * (len(times) + 1); len(s.refused) > most {
				t.Errorf("%d refusals in an hour, %d values", len(s.refused), len(times))
			}
		})
	}
}

// A page that cannot be read keeps its place: nothing is written over it.
func TestUnreadablePage(t *testing.T) {
	for _, value := range []string{`{"i-000001":"10.0`, `["i-000001"]`, `null`, `7`} {
		s := &pageStore{t: t, limit: 1024, revision: 10, keys: map[string]wire.KeyValue{
			"u/0/0": {Key: "u/0/0", Value: json.RawMessage(value), Version: 5},
			"u/0/1": {Key: "u/0/1", Value: json.RawMessage(`{"i-000002":"a"}`), Version: 6},
		}}
		p, found, durable := s.pages(1), 0, 0
		p.Load(s.items(), func(string, json.RawMessage) { found++ })
		for i := range 80 {
			p.Put(fmt.Sprintf("i-%06d", 10+i), "10.0.0.1:9000", func(time.Time) { durable++ })
		}
		for i := range 20 {
			p.Tick(time.Unix(int64(i)*2, 0))
		}
		if got := string(s.keys["u/0/0"].Value); got != value || p.Unreadable() != 1 || found != 1 || durable != 80 {
			t.Errorf("%s became %s; %d unread, %d found, %d durable", value, got, p.Unreadable(), found, durable)
		}
	}
}

func (s *pageStore) call(c Call, then func(time.Time, Result)) {
	now := s.now
	for _, cond := range c.Transaction.Compares {
		if cond.Key != "c/b/0" && s.keys[cond.Key].Version != cond.Version {
			then(now, Result{Status: 409, FailedKeys: []string{cond.Key}})
			return
		}
	}
	for _, w := range c.Transaction.Writes {
		if len(w.Value) > s.limit {
			s.refused = append(s.refused, w.Put+string(w.Value))
			then(now, Result{Status: 400})
			return
		}
	}
	s.revision++
	for _, w := range c.Transaction.Writes {
		delete(s.keys, w.Delete)
		if w.Put != "" {
			s.keys[w.Put] = wire.KeyValue{Key: w.Put, Value: w.Value, Version: s.revision}
		}
	}
	then(now, Result{Status: 200, Revision: s.revision})
}
