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
// service's limit for a value is left as it is and the next one begun. One that is
// larger, as it was written under an earlier limit, is split before it is written again.
type Pages struct {
	// Shrunk is told when the limit of a page has become smaller, as the service refused
	// one: entries that are larger than Size have to be put in smaller ones. nil: nobody.
	Shrunk func()

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
	also   map[string][]*page // pages that hold an older copy of an entry, until the newer one is durable
	unread int                // pages that cannot be read
}

type page struct {
	file    *Record
	entries map[string]json.RawMessage
	size    int
	changed bool      // something waits for the next write
	pruned  bool      // entries were removed since the last write: nothing waits for that
	pruneBy time.Time // when a page that was only pruned is written; zero: not set yet
	due     time.Time
	waiting []waiter // for what is not durable yet
	// unread: the page's value cannot be read. It is left as it is.
	unread bool
}

type waiter struct {
	ver  int // of the page; 0: the next one
	then func(now time.Time)
}

// NewPages makes empty pages under a prefix. Each page is written at most once
// in a while.
func NewPages(under string, valueKB float64, every time.Duration, class Class, tenure wire.Cond, call Caller, log *slog.Logger, lost func(now time.Time)) *Pages {
	return &Pages{under: under, limit: int(valueKB * 1024 * tuning.PageFillShare), every: every, class: class, tenure: tenure, call: call, log: log, lost: lost,
		where: map[string]*page{}, also: map[string][]*page{}}
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
	g.file.TooLarge = func(time.Time) bool { return p.shrink(g) }
	for len(p.pages) <= n {
		p.pages = append(p.pages, nil)
	}
	p.pages[n] = g
	return g
}

// shrink makes the limit of all pages smaller, as the service has refused one of them,
// and tells whether it could be.
func (p *Pages) shrink(g *page) bool {
	if p.limit <= tuning.MinPageBytes {
		p.log.Error("the state service refuses even a small page", "key", g.file.Key, "bytes", g.size)
		return false
	}
	p.limit = max(tuning.MinPageBytes, min(p.limit, g.size)/2)
	p.log.Warn("the state service has refused a page for its size", "key", g.file.Key, "bytes", g.size, "limit", p.limit)
	g.changed = true
	if p.Shrunk != nil {
		p.Shrunk()
	}
	return true
}

// entrySize is what an entry takes of its page.
func entrySize(key string, value json.RawMessage) int { return len(key) + len(value) + 4 }

// Load takes over pages that an earlier tenure wrote and tells of each entry. A page that
// cannot be read keeps its place and is never written; Unread tells how many there are.
func (p *Pages) Load(items []wire.Item, each func(key string, value json.RawMessage)) {
	for _, it := range items {
		n, err := strconv.Atoi(strings.TrimPrefix(it.Path, p.under))
		if err != nil || n < 0 || n > tuning.MaxPages {
			p.log.Error("page's name cannot be read", "key", it.Path)
			p.unread++
			continue
		}
		entries := map[string]json.RawMessage{}
		g := p.add(n, it.Version)
		if err := json.Unmarshal(it.Value, &entries); err != nil || entries == nil {
			p.log.Error("page cannot be read", "key", it.Path, "error", err)
			g.unread = true
			p.unread++
			continue
		}
		for _, k := range slices.Sorted(maps.Keys(entries)) {
			if o := p.where[k]; o != nil {
				// its holder ended while it was moved: which copy is newer is not known
				p.also[k] = append(p.also[k], o)
			}
			g.entries[k] = entries[k]
			g.size += entrySize(k, entries[k])
			p.where[k] = g
			each(k, entries[k])
		}
	}
}

// Unread is how many pages could not be read: what they tell is not known.
func (p *Pages) Unread() int { return p.unread }

// Put sets an entry; then is told once it is durable.
func (p *Pages) Put(key string, value any, then func(now time.Time)) {
	raw := Put(key, value, 0).Value
	g := p.where[key]
	if g != nil && g.size+len(raw)-len(g.entries[key]) > p.limit {
		p.also[key] = append(p.also[key], g)
		g = nil
	}
	if g == nil {
		g = p.roomFor(entrySize(key, raw), p.where[key])
		g.size += entrySize(key, raw)
		p.where[key] = g
	} else {
		g.size += len(raw) - len(g.entries[key])
	}
	g.entries[key] = raw
	g.changed = true
	g.waiting = append(g.waiting, waiter{then: func(now time.Time) {
		p.shed(key)
		then(now)
	}})
}

// shed removes the older copies of an entry.
func (p *Pages) shed(key string) {
	for _, o := range p.also[key] {
		if o != p.where[key] {
			o.strip(key)
		}
	}
	delete(p.also, key)
}

func (g *page) strip(key string) {
	if raw, ok := g.entries[key]; ok {
		g.size -= entrySize(key, raw)
		delete(g.entries, key)
		g.pruned = true
	}
}

// roomFor finds a page with room, or begins one.
func (p *Pages) roomFor(need int, but *page) *page {
	for _, o := range p.pages {
		if o != nil && !o.unread && o != but && o.size+need <= p.limit {
			return o
		}
	}
	n := slices.Index(p.pages, nil)
	if n < 0 {
		n = len(p.pages)
	}
	return p.add(n, 0)
}

// Size is what an entry may take at most.
func (p *Pages) Size() int { return p.limit }

// split moves entries of a page that is too large for the service to take to others.
// Each stays where it is until it is durable there: what is read after a holder's end
// may name it twice, and never not at all.
func (p *Pages) split(g *page) {
	left := 0
	var here []string
	for _, k := range slices.Sorted(maps.Keys(g.entries)) {
		if p.where[k] == g {
			left += entrySize(k, g.entries[k])
			here = append(here, k)
		}
	}
	for _, k := range here {
		need := entrySize(k, g.entries[k])
		if left <= p.limit {
			return
		}
		if need > p.limit {
			continue // whoever put it there has to make it smaller
		}
		left -= need
		o := p.roomFor(need, g)
		o.entries[k], o.changed = g.entries[k], true
		o.size += need
		p.where[k], p.also[k] = o, append(p.also[k], g)
		o.waiting = append(o.waiting, waiter{then: func(time.Time) { p.shed(k) }})
	}
}

// Drop removes an entry. Nothing waits for it, and what it tells does no harm, so it goes
// with the page's next write, or after a while: jobs that end one after the other would
// otherwise cost a write of their page each.
func (p *Pages) Drop(key string) {
	if g := p.where[key]; g != nil {
		g.strip(key)
		delete(p.where, key)
		p.shed(key)
	}
}

// Tick starts what is due.
func (p *Pages) Tick(now time.Time) {
	for i := 0; i < len(p.pages); i++ { // a split adds pages
		g := p.pages[i]
		if g == nil || g.unread {
			continue
		}
		if g.writeDue(now) {
			if g.size > p.limit {
				p.split(g)
			} else {
				p.write(now, g)
			}
		}
		g.file.Tick(now)
	}
}

// writeDue tells whether a page is to be written now.
func (g *page) writeDue(now time.Time) bool {
	if g.pruned && g.pruneBy.IsZero() {
		g.pruneBy = now.Add(tuning.PageRemovalInterval)
	}
	return g.changed && !now.Before(g.due) || g.pruned && !now.Before(g.pruneBy)
}

// write wants a page's present entries to be stored.
func (p *Pages) write(now time.Time, g *page) {
	g.changed, g.pruned, g.pruneBy = false, false, time.Time{}
	g.due = now.Add(p.every)
	var want any
	if len(g.entries) > 0 {
		want = g.entries
	}
	version := g.file.Set(want)
	for i := range g.waiting {
		if g.waiting[i].ver == 0 {
			g.waiting[i].ver = version
		}
	}
}
