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
	// OnLimitLowered is told when the limit of a page has become smaller, as the service refused
	// one: entries that are larger than Size have to be put in smaller ones. nil: nobody.
	OnLimitLowered func()

	prefix        string
	maxPageBytes  int // bytes a page's entries may take
	writeInterval time.Duration
	priority      Priority
	termCompare   wire.Compare
	stateCall     Caller
	log           *slog.Logger
	onTermLost    func(now time.Time)
	pages         []*page
	pageOf        map[string]*page
	stalePagesOf  map[string][]*page // pages that hold an older copy of an entry, until the newer one is durable
	unreadable    int                // pages that cannot be read
}

type page struct {
	value          *DesiredValue
	entries        map[string]json.RawMessage
	size           int
	dirty          bool      // something waits for the next write
	entriesRemoved bool      // entries were removed since the last write: nothing waits for that
	removalWriteAt time.Time // when a page that was only pruned is written; zero: not set yet
	writeAt        time.Time
	waiters        []waiter // for what is not durable yet
	// unreadable: the page's value cannot be read. It is left as it is.
	unreadable bool
}

type waiter struct {
	version   int // of the page; 0: the next one
	onDurable func(now time.Time)
}

// NewPages makes empty pages under a prefix. Each page is written at most once
// in a while.
func NewPages(under string, valueKB float64, every time.Duration, class Priority, tenure wire.Compare, call Caller, log *slog.Logger, lost func(now time.Time)) *Pages {
	return &Pages{prefix: under, maxPageBytes: int(valueKB * 1024 * tuning.PageFillShare), writeInterval: every, priority: class, termCompare: tenure, stateCall: call, log: log, onTermLost: lost,
		pageOf: map[string]*page{}, stalePagesOf: map[string][]*page{}}
}

func (p *Pages) addPage(n int, version uint64) *page {
	g := &page{entries: map[string]json.RawMessage{}}
	g.value = NewDesiredValue(p.prefix+strconv.Itoa(n), version, p.priority, p.termCompare, p.stateCall, func(now time.Time, ver int) {
		due := g.waiters
		g.waiters = nil
		for _, w := range due {
			if w.version != 0 && w.version <= ver {
				w.onDurable(now)
			} else {
				g.waiters = append(g.waiters, w)
			}
		}
	}, p.onTermLost)
	g.value.OnTooLarge = func(time.Time) bool { return p.lowerLimit(g) }
	for len(p.pages) <= n {
		p.pages = append(p.pages, nil)
	}
	p.pages[n] = g
	return g
}

// lowerLimit makes the limit of all pages smaller, as the service has refused one of them,
// and tells whether it could be.
func (p *Pages) lowerLimit(g *page) bool {
	if p.maxPageBytes <= tuning.MinPageBytes {
		p.log.Error("the state service refuses even a small page", "key", g.value.Key, "bytes", g.size)
		return false
	}
	p.maxPageBytes = max(tuning.MinPageBytes, min(p.maxPageBytes, g.size)/2)
	p.log.Warn("the state service has refused a page for its size", "key", g.value.Key, "bytes", g.size, "limit", p.maxPageBytes)
	g.dirty = true
	if p.OnLimitLowered != nil {
		p.OnLimitLowered()
	}
	return true
}

// entrySize is what an entry takes of its page.
func entrySize(key string, value json.RawMessage) int { return len(key) + len(value) + 4 }

// Load takes over pages that an earlier tenure wrote and tells of each entry. A page that
// cannot be read keeps its place and is never written; Unread tells how many there are.
func (p *Pages) Load(items []wire.KeyValue, each func(key string, value json.RawMessage)) {
	for _, it := range items {
		n, err := strconv.Atoi(strings.TrimPrefix(it.Key, p.prefix))
		if err != nil || n < 0 || n > tuning.MaxPages {
			p.log.Error("page's name cannot be read", "key", it.Key)
			p.unreadable++
			continue
		}
		entries := map[string]json.RawMessage{}
		g := p.addPage(n, it.Version)
		if err := json.Unmarshal(it.Value, &entries); err != nil || entries == nil {
			p.log.Error("page cannot be read", "key", it.Key, "error", err)
			g.unreadable = true
			p.unreadable++
			continue
		}
		for _, k := range slices.Sorted(maps.Keys(entries)) {
			if o := p.pageOf[k]; o != nil {
				// its holder ended while it was moved: which copy is newer is not known
				p.stalePagesOf[k] = append(p.stalePagesOf[k], o)
			}
			g.entries[k] = entries[k]
			g.size += entrySize(k, entries[k])
			p.pageOf[k] = g
			each(k, entries[k])
		}
	}
}

// Unreadable is how many pages could not be read: what they tell is not known.
func (p *Pages) Unreadable() int { return p.unreadable }

// Put sets an entry; then is told once it is durable.
func (p *Pages) Put(key string, value any, then func(now time.Time)) {
	raw := Put(key, value, 0).Value
	g := p.pageOf[key]
	if g != nil && g.size+len(raw)-len(g.entries[key]) > p.maxPageBytes {
		p.stalePagesOf[key] = append(p.stalePagesOf[key], g)
		g = nil
	}
	if g == nil {
		g = p.pageWithSpace(entrySize(key, raw), p.pageOf[key])
		g.size += entrySize(key, raw)
		p.pageOf[key] = g
	} else {
		g.size += len(raw) - len(g.entries[key])
	}
	g.entries[key] = raw
	g.dirty = true
	g.waiters = append(g.waiters, waiter{onDurable: func(now time.Time) {
		p.removeStaleCopies(key)
		then(now)
	}})
}

// removeStaleCopies removes the older copies of an entry.
func (p *Pages) removeStaleCopies(key string) {
	for _, o := range p.stalePagesOf[key] {
		if o != p.pageOf[key] {
			o.removeEntry(key)
		}
	}
	delete(p.stalePagesOf, key)
}

func (g *page) removeEntry(key string) {
	if raw, ok := g.entries[key]; ok {
		g.size -= entrySize(key, raw)
		delete(g.entries, key)
		g.entriesRemoved = true
	}
}

// pageWithSpace finds a page with room, or begins one.
func (p *Pages) pageWithSpace(need int, but *page) *page {
	for _, o := range p.pages {
		if o != nil && !o.unreadable && o != but && o.size+need <= p.maxPageBytes {
			return o
		}
	}
	n := slices.Index(p.pages, nil)
	if n < 0 {
		n = len(p.pages)
	}
	return p.addPage(n, 0)
}

// MaxEntryBytes is what an entry may take at most.
func (p *Pages) MaxEntryBytes() int { return p.maxPageBytes }

// split moves entries of a page that is too large for the service to take to others.
// Each stays where it is until it is durable there: what is read after a holder's end
// may name it twice, and never not at all.
func (p *Pages) split(g *page) {
	left := 0
	var here []string
	for _, k := range slices.Sorted(maps.Keys(g.entries)) {
		if p.pageOf[k] == g {
			left += entrySize(k, g.entries[k])
			here = append(here, k)
		}
	}
	for _, k := range here {
		need := entrySize(k, g.entries[k])
		if left <= p.maxPageBytes {
			return
		}
		if need > p.maxPageBytes {
			continue // whoever put it there has to make it smaller
		}
		left -= need
		o := p.pageWithSpace(need, g)
		o.entries[k], o.dirty = g.entries[k], true
		o.size += need
		p.pageOf[k], p.stalePagesOf[k] = o, append(p.stalePagesOf[k], g)
		o.waiters = append(o.waiters, waiter{onDurable: func(time.Time) { p.removeStaleCopies(k) }})
	}
}

// Delete removes an entry. Nothing waits for it, and what it tells does no harm, so it goes
// with the page's next write, or after a while: jobs that end one after the other would
// otherwise cost a write of their page each.
func (p *Pages) Delete(key string) {
	if g := p.pageOf[key]; g != nil {
		g.removeEntry(key)
		delete(p.pageOf, key)
		p.removeStaleCopies(key)
	}
}

// Tick starts what is due.
func (p *Pages) Tick(now time.Time) {
	for i := 0; i < len(p.pages); i++ { // a split adds pages
		g := p.pages[i]
		if g == nil || g.unreadable {
			continue
		}
		if g.writeDue(now) {
			if g.size > p.maxPageBytes {
				p.split(g)
			} else {
				p.write(now, g)
			}
		}
		g.value.Tick(now)
	}
}

// writeDue tells whether a page is to be written now.
func (g *page) writeDue(now time.Time) bool {
	if g.entriesRemoved && g.removalWriteAt.IsZero() {
		g.removalWriteAt = now.Add(tuning.PageRemovalInterval)
	}
	return g.dirty && !now.Before(g.writeAt) || g.entriesRemoved && !now.Before(g.removalWriteAt)
}

// write wants a page's present entries to be stored.
func (p *Pages) write(now time.Time, g *page) {
	g.dirty, g.entriesRemoved, g.removalWriteAt = false, false, time.Time{}
	g.writeAt = now.Add(p.writeInterval)
	var want any
	if len(g.entries) > 0 {
		want = g.entries
	}
	version := g.value.Set(want)
	for i := range g.waiters {
		if g.waiters[i].version == 0 {
			g.waiters[i].version = version
		}
	}
}
