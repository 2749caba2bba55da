package store

import (
	"encoding/json"
	"time"

	"juniperchute/internal/tuning"
)

// page is a stored page: one key, whose value is a JSON object of entries.
type page struct {
	writer     *DesiredValue
	entries    map[string]json.RawMessage
	size       int  // total size of the entries in bytes
	unreadable bool // the stored value cannot be decoded and must not be overwritten
	waiters    []pageWaiter

	changed        bool      // entries were set since the last write
	writeAt        time.Time // earliest time of the next write
	removalPending bool      // entries were removed since the last write
	removalWriteAt time.Time // time of the write if entries were only removed; zero if not scheduled
}

// pageWaiter is a callback for the durability of one generation of a page.
type pageWaiter struct {
	generation int // of the page's DesiredValue; 0 until the next write assigns it
	onDurable  func(now time.Time)
}

// entryOverhead is the number of bytes that JSON syntax adds to an entry.
const entryOverhead = len(`"":,`)

// entrySize returns the number of bytes that an entry adds to its page.
func entrySize(key string, value json.RawMessage) int { return len(key) + len(value) + entryOverhead }

// sizeAfterReplace returns the size of the page after replace with the same arguments.
func (p *page) sizeAfterReplace(key string, value json.RawMessage) int {
	return p.size + len(value) - len(p.entries[key])
}

// replace changes the value of an entry that the page already holds.
func (p *page) replace(key string, value json.RawMessage) {
	p.size = p.sizeAfterReplace(key, value)
	p.entries[key] = value
	p.changed = true
}

// add sets an entry whose newest copy was not on the page. The page may hold a stale copy, which is
// replaced.
func (p *page) add(key string, value json.RawMessage) {
	p.load(key, value)
	p.changed = true
}

// load adds an entry from the stored value of the page, without marking the page as changed.
func (p *page) load(key string, value json.RawMessage) {
	if stale, ok := p.entries[key]; ok {
		p.size -= entrySize(key, stale)
	}
	p.size += entrySize(key, value)
	p.entries[key] = value
}

// remove deletes an entry from the page, if the page holds it.
func (p *page) remove(key string) {
	if value, ok := p.entries[key]; ok {
		p.size -= entrySize(key, value)
		delete(p.entries, key)
		p.removalPending = true
	}
}

// addWaiter registers a callback that is invoked once the current entries are durable.
func (p *page) addWaiter(onDurable func(now time.Time)) {
	p.waiters = append(p.waiters, pageWaiter{onDurable: onDurable})
}

// notifyWaiters invokes the callbacks for all generations up to the given one.
func (p *page) notifyWaiters(now time.Time, generation int) {
	waiters := p.waiters
	p.waiters = nil
	for _, waiter := range waiters {
		if waiter.generation != 0 && waiter.generation <= generation {
			waiter.onDurable(now)
		} else {
			p.waiters = append(p.waiters, waiter)
		}
	}
}

// scheduleRemovalWrite schedules the write of a page from which entries were only removed.
func (p *page) scheduleRemovalWrite(now time.Time) {
	if p.removalPending && p.removalWriteAt.IsZero() {
		p.removalWriteAt = now.Add(tuning.PageRemovalInterval)
	}
}

// writeDue reports whether a write of the page may start.
func (p *page) writeDue(now time.Time) bool {
	return p.changed && !now.Before(p.writeAt) || p.removalPending && !now.Before(p.removalWriteAt)
}

// write sets the current entries as the desired value of the key. A page without entries is
// deleted.
func (p *page) write(now time.Time, interval time.Duration) {
	p.changed, p.removalPending, p.removalWriteAt = false, false, time.Time{}
	p.writeAt = now.Add(interval)
	var desired any
	if len(p.entries) > 0 {
		desired = p.entries
	}
	generation := p.writer.Set(desired)
	for i := range p.waiters {
		if p.waiters[i].generation == 0 {
			p.waiters[i].generation = generation
		}
	}
}
