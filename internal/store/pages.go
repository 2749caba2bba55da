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

// PagesOptions configures a set of Pages.
type PagesOptions struct {
	Prefix      string  // of the keys; the number of the page is appended
	ValueKB     float64 // size limit of a value in the state service
	Priority    Priority
	TermCompare wire.Compare // succeeds until the writer's term ends
	StateCall   Caller
	Log         *slog.Logger
	// WriteInterval is the minimum time between two writes of a page.
	WriteInterval time.Duration
	// OnTermLost is called when a write fails because the term has ended.
	OnTermLost func(now time.Time)
}

// Pages stores many small entries in few keys, the stored pages, which batches the writes: all
// changes of a page within WriteInterval cost one write. An entry that no longer fits on its page
// moves to another page. A page that exceeds the size limit is split before its next write.
//
// While an entry moves, both pages hold a copy until the newer copy is durable. After a
// failover, Load may therefore return an entry twice but never misses one.
type Pages struct {
	// OnLimitLowered is called after the service has rejected a page for its size and the page
	// limit was lowered. The callback must replace entries larger than MaxEntryBytes by
	// smaller ones. It may be nil.
	OnLimitLowered func()

	options      PagesOptions
	maxPageBytes int                // limit of the total size of a page's entries
	pages        []*page            // by number; nil if the page does not exist
	pageOf       map[string]*page   // page with the newest copy, by entry
	stalePagesOf map[string][]*page // pages with older copies, by entry, until the newest is durable
	unreadable   int
}

// NewPages returns a set without entries. Load adds the stored entries.
func NewPages(options PagesOptions) *Pages {
	return &Pages{
		options:      options,
		maxPageBytes: int(options.ValueKB * 1024 * tuning.PageFillShare),
		pageOf:       map[string]*page{},
		stalePagesOf: map[string][]*page{},
	}
}

// MaxEntryBytes returns the maximum size of an entry, including its key and JSON syntax.
func (p *Pages) MaxEntryBytes() int { return p.maxPageBytes }

// Put sets an entry and calls onDurable once the entry is durable.
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
	target.addWaiter(func(now time.Time) {
		p.removeStaleCopies(key)
		onDurable(now)
	})
}

// Delete removes an entry. The removal is stored with the page's next write, or after
// tuning.PageRemovalInterval if the page does not change, which batches the removals. Load may
// therefore return an entry that an earlier term has deleted.
func (p *Pages) Delete(key string) {
	if holding := p.pageOf[key]; holding != nil {
		holding.remove(key)
		delete(p.pageOf, key)
		p.removeStaleCopies(key)
	}
}

// removeStaleCopies removes all copies of an entry except the newest.
func (p *Pages) removeStaleCopies(key string) {
	for _, stale := range p.stalePagesOf[key] {
		if stale != p.pageOf[key] {
			stale.remove(key)
		}
	}
	delete(p.stalePagesOf, key)
}

// Tick starts the writes that are due. The controller calls it periodically.
func (p *Pages) Tick(now time.Time) {
	for number := 0; number < len(p.pages); number++ { // a split may append pages
		current := p.pages[number]
		if current == nil || current.unreadable {
			continue
		}
		current.scheduleRemovalWrite(now)
		if current.writeDue(now) {
			if current.size > p.maxPageBytes {
				p.split(current)
			} else {
				current.write(now, p.options.WriteInterval)
			}
		}
		current.writer.Tick(now)
	}
}

// pageWithSpace returns the first page other than excluded that has room for the given number
// of bytes. If there is none, it adds a page.
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

// addPage adds an empty page. version is that of the stored key, 0 if the key does not exist.
func (p *Pages) addPage(number int, version uint64) *page {
	added := &page{entries: map[string]json.RawMessage{}}
	added.writer = NewDesiredValue(DesiredValueOptions{
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
