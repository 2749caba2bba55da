package store

import (
	"encoding/json"
	"time"

	"juniperchute/internal/tuning"
)

// page is one key with the entries that share it.
type page struct {
	value      *DesiredValue
	entries    map[string]json.RawMessage
	size       int  // bytes that the entries take
	unreadable bool // the stored value cannot be read: it is left as it is
	waiters    []pageWaiter

	changed bool      // an entry was set since the last write
	writeAt time.Time // when the next write may be made
	pruned  bool      // entries were removed since the last write: nothing waits for that
	pruneAt time.Time // when a page that was only pruned is written; zero: not set yet
}

// pageWaiter waits for a version of a page to become durable.
type pageWaiter struct {
	version   int // 0: that of the next write
	onDurable func(now time.Time)
}

// entryOverhead is what the JSON around an entry takes.
const entryOverhead = len(`"":,`)

// entrySize is what an entry takes of its page, in bytes.
func entrySize(key string, value json.RawMessage) int { return len(key) + len(value) + entryOverhead }

// sizeAfterReplace is the page's size with another value of an entry that it holds.
func (p *page) sizeAfterReplace(key string, value json.RawMessage) int {
	return p.size + len(value) - len(p.entries[key])
}

// replace sets another value of an entry that the page holds.
func (p *page) replace(key string, value json.RawMessage) {
	p.size = p.sizeAfterReplace(key, value)
	p.entries[key] = value
	p.changed = true
}

// add sets an entry that moves to the page.
func (p *page) add(key string, value json.RawMessage) {
	p.load(key, value)
	p.changed = true
}

// load sets an entry that is stored on the page already.
func (p *page) load(key string, value json.RawMessage) {
	p.size += entrySize(key, value)
	p.entries[key] = value
}

// remove removes an entry if the page holds it.
func (p *page) remove(key string) {
	if value, ok := p.entries[key]; ok {
		p.size -= entrySize(key, value)
		delete(p.entries, key)
		p.pruned = true
	}
}

// wait has a function called once the page's entries as they are now are durable.
func (p *page) wait(onDurable func(now time.Time)) {
	p.waiters = append(p.waiters, pageWaiter{onDurable: onDurable})
}

// notifyWaiters calls those that wait for a version or an earlier one.
func (p *page) notifyWaiters(now time.Time, version int) {
	waiters := p.waiters
	p.waiters = nil
	for _, waiter := range waiters {
		if waiter.version != 0 && waiter.version <= version {
			waiter.onDurable(now)
		} else {
			p.waiters = append(p.waiters, waiter)
		}
	}
}

// schedulePrune sets when a pruned page is written if no change comes first.
func (p *page) schedulePrune(now time.Time) {
	if p.pruned && p.pruneAt.IsZero() {
		p.pruneAt = now.Add(tuning.PageRemovalInterval)
	}
}

// writeDue reports whether the page is to be written now.
func (p *page) writeDue(now time.Time) bool {
	return p.changed && !now.Before(p.writeAt) || p.pruned && !now.Before(p.pruneAt)
}

// write wants the page's entries to be stored as they are now, and no page without entries.
func (p *page) write(now time.Time, interval time.Duration) {
	p.changed, p.pruned, p.pruneAt = false, false, time.Time{}
	p.writeAt = now.Add(interval)
	var wanted any
	if len(p.entries) > 0 {
		wanted = p.entries
	}
	version := p.value.Set(wanted)
	for i := range p.waiters {
		if p.waiters[i].version == 0 {
			p.waiters[i].version = version
		}
	}
}
