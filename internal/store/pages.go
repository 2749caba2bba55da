package store

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Pages keeps many small entries in few keys, so that a change of some of them
// costs one write each while, and not one each. A page that would outgrow the
// service's limit for a value is left as it is and the next one begun.
type Pages struct {
	under  string
	limit  int // bytes a page's entries may take
	every  time.Duration
	class  Class
	tenure wire.Cond
	call   Caller
	log    *slog.Logger
	lost   func(now time.Time)
	pages  []*page
	where  map[string]*page
}

type page struct {
	file    *Record
	entries map[string]json.RawMessage
	size    int
	changed bool
	due     time.Time
	waiting []waiter // for what is not durable yet
}

type waiter struct {
	ver  int // of the page; 0: the next one
	then func(now time.Time)
}

// NewPages makes empty pages under a prefix. Each page is written at most once
// in a while.
func NewPages(under string, valueKB float64, every time.Duration, class Class, tenure wire.Cond, call Caller, log *slog.Logger, lost func(now time.Time)) *Pages {
	return &Pages{under: under, limit: int(valueKB * 1024 * tuning.PageFill), every: every, class: class, tenure: tenure, call: call, log: log, lost: lost,
		where: map[string]*page{}}
}

func (p *Pages) add(n int, version uint64) *page {
	g := &page{entries: map[string]json.RawMessage{}}
	g.file = NewRecord(p.under+strconv.Itoa(n), version, p.class, p.tenure, p.call, func(now time.Time, ver int) {
		due := g.waiting
		g.waiting = nil
		for _, w := range due {
			if w.ver != 0 && w.ver <= ver {
				w.then(now)
			} else {
				g.waiting = append(g.waiting, w)
			}
		}
	}, p.lost)
	for len(p.pages) <= n {
		p.pages = append(p.pages, nil)
	}
	p.pages[n] = g
	return g
}

// size is what an entry takes of its page.
func entrySize(key string, value json.RawMessage) int { return len(key) + len(value) + 4 }

// Load takes over pages that an earlier tenure wrote and tells of each entry.
func (p *Pages) Load(items []wire.Item, each func(key string, value json.RawMessage)) {
	for _, it := range items {
		n, err := strconv.Atoi(strings.TrimPrefix(it.Path, p.under))
		entries := map[string]json.RawMessage{}
		if err != nil || n < 0 || n > tuning.PagesMost || json.Unmarshal(it.Value, &entries) != nil {
			p.log.Error("page cannot be read", "key", it.Path)
			continue
		}
		g := p.add(n, it.Version)
		for _, k := range slices.Sorted(maps.Keys(entries)) {
			g.entries[k] = entries[k]
			g.size += entrySize(k, entries[k])
			p.where[k] = g
			each(k, entries[k])
		}
	}
}

// Put sets an entry; then is told once it is durable.
func (p *Pages) Put(key string, value any, then func(now time.Time)) {
	raw := Put(key, value, 0).Value
	g := p.where[key]
	if g != nil && g.size+len(raw)-len(g.entries[key]) > p.limit {
		p.Drop(key)
		g = nil
	}
	if g == nil {
		need := entrySize(key, raw)
		for _, o := range p.pages {
			if o != nil && o.size+need <= p.limit {
				g = o
				break
			}
		}
		if g == nil {
			n := slices.Index(p.pages, nil)
			if n < 0 {
				n = len(p.pages)
			}
			g = p.add(n, 0)
		}
		g.size += need
		p.where[key] = g
	} else {
		g.size += len(raw) - len(g.entries[key])
	}
	g.entries[key] = raw
	g.changed = true
	g.waiting = append(g.waiting, waiter{then: then})
}

// Drop removes an entry. Nothing waits for it, so it goes with the page's next
// write.
func (p *Pages) Drop(key string) {
	g := p.where[key]
	if g == nil {
		return
	}
	g.size -= entrySize(key, g.entries[key])
	delete(g.entries, key)
	delete(p.where, key)
	g.changed = true
}

// Tick starts what is due.
func (p *Pages) Tick(now time.Time) {
	for _, g := range p.pages {
		if g == nil {
			continue
		}
		if g.changed && !now.Before(g.due) {
			g.changed, g.due = false, now.Add(p.every)
			var want any
			if len(g.entries) > 0 {
				want = g.entries
			}
			ver := g.file.Set(want)
			for i := range g.waiting {
				if g.waiting[i].ver == 0 {
					g.waiting[i].ver = ver
				}
			}
		}
		g.file.Tick(now)
	}
}
