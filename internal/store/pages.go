package store

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// PagesOptions are what Pages are made of.
type PagesOptions struct {
	Prefix      string  // of the pages' keys; a page's number follows
	ValueKB     float64 // the service's limit for a value
	Priority    Priority
	TermCompare wire.Compare // holds while the writer's term goes on
	StateCall   Caller
	Log         *slog.Logger
	// WriteInterval is the least time between two writes of a page.
	WriteInterval time.Duration
	// OnTermLost is called when a write has shown that the term is over.
	OnTermLost func(now time.Time)
}

// Pages keeps many small entries in few keys, so that many changes cost one write for
// each interval and page. An entry that its page has no space for is put on another one.
// A page that is larger than the limit, as it was written under a higher one, is split
// before it is written again.
//
// An entry that moves has copies on two pages until the newer one is durable: what a
// successor loads may name it twice, but never not at all.
type Pages struct {
	// OnLimitLowered is called when the limit of a page has become smaller, as the service
	// rejected one: the owner has to put entries larger than MaxEntryBytes in smaller
	// ones. It may be nil.
	OnLimitLowered func()

	options      PagesOptions
	maxPageBytes int                // that a page's entries may take
	pages        []*page            // by number; nil: there is none
	pageOf       map[string]*page   // with the newest copy of an entry
	stalePagesOf map[string][]*page // with older copies of an entry, until the newest is durable
	unreadable   int
}

// NewPages makes empty pages; Load adds what is stored.
func NewPages(options PagesOptions) *Pages {
	return &Pages{
		options:      options,
		maxPageBytes: int(options.ValueKB * 1024 * tuning.PageFillShare),
		pageOf:       map[string]*page{},
		stalePagesOf: map[string][]*page{},
	}
}

// MaxEntryBytes is what an entry may take at most.
func (p *Pages) MaxEntryBytes() int { return p.maxPageBytes }

// Put sets an entry and calls onDurable once that is durable.
func (p *Pages) Put(key string, value any, onDurable func(now time.Time)) {
	raw := Put(key, value, 0).Value
	target := p.pageOf[key]
	if target != nil && target.sizeAfterReplace(key, raw) <= p.maxPageBytes {
		target.replace(key, raw)
	} else {
		if target != nil {
			p.stalePagesOf[key] = append(p.stalePagesOf[key], target)
		}
		target = p.pageWithSpace(entrySize(key, raw), target)
		target.add(key, raw)
		p.pageOf[key] = target
	}
	target.wait(func(now time.Time) {
		p.removeStaleCopies(key)
		onDurable(now)
	})
}

// Delete removes an entry. Nothing waits for it, and a removed entry that is still stored
// does no harm, so it goes with the page's next write, or after
// tuning.PageRemovalInterval: jobs that end one after the other would otherwise cost a
// write each.
func (p *Pages) Delete(key string) {
	if holding := p.pageOf[key]; holding != nil {
		holding.remove(key)
		delete(p.pageOf, key)
		p.removeStaleCopies(key)
	}
}

// removeStaleCopies removes all copies of an entry but the newest.
func (p *Pages) removeStaleCopies(key string) {
	for _, stale := range p.stalePagesOf[key] {
		if stale != p.pageOf[key] {
			stale.remove(key)
		}
	}
	delete(p.stalePagesOf, key)
}

// Tick makes the writes that are due.
func (p *Pages) Tick(now time.Time) {
	for number := 0; number < len(p.pages); number++ { // a split adds pages
		current := p.pages[number]
		if current == nil || current.unreadable {
			continue
		}
		current.schedulePrune(now)
		if current.writeDue(now) {
			if current.size > p.maxPageBytes {
				p.split(current)
			} else {
				current.write(now, p.options.WriteInterval)
			}
		}
		current.value.Tick(now)
	}
}

// pageWithSpace finds a page, other than the excluded one, with space for some bytes, or
// adds one.
func (p *Pages) pageWithSpace(bytes int, excluded *page) *page {
	for _, candidate := range p.pages {
		if candidate == nil || candidate == excluded || candidate.unreadable {
			continue
		}
		if candidate.size+bytes <= p.maxPageBytes {
			return candidate
		}
	}
	number := slices.Index(p.pages, nil)
	if number < 0 {
		number = len(p.pages)
	}
	return p.addPage(number, 0)
}

// addPage adds an empty page whose key has a version; 0: it does not exist.
func (p *Pages) addPage(number int, version uint64) *page {
	added := &page{entries: map[string]json.RawMessage{}}
	added.value = NewDesiredValue(DesiredValueOptions{
		Key:         p.options.Prefix + strconv.Itoa(number),
		KeyVersion:  version,
		Priority:    p.options.Priority,
		TermCompare: p.options.TermCompare,
		StateCall:   p.options.StateCall,
		OnDurable:   added.notifyWaiters,
		OnTermLost:  p.options.OnTermLost,
		OnTooLarge:  func(time.Time) bool { return p.lowerLimit(added) },
	})
	for len(p.pages) <= number {
		p.pages = append(p.pages, nil)
	}
	p.pages[number] = added
	return added
}
