package store

import (
	"maps"
	"slices"
	"time"

	"juniperchute/internal/tuning"
)

// lowerLimit lowers the size limit of all pages after the service has rejected one. It returns
// false if the limit is already tuning.MinPageBytes. Otherwise a later Tick splits the
// rejected page.
func (p *Pages) lowerLimit(rejected *page) bool {
	if p.maxPageBytes <= tuning.MinPageBytes {
		p.options.Log.Error("state service rejected a page at the minimum size limit",
			"key", rejected.writer.Key(), "bytes", rejected.size)
		return false
	}
	p.maxPageBytes = max(tuning.MinPageBytes, min(p.maxPageBytes, rejected.size)/2)
	p.options.Log.Warn("state service rejected a page for its size; page limit lowered",
		"key", rejected.writer.Key(), "bytes", rejected.size, "limit", p.maxPageBytes)
	rejected.changed = true
	if p.OnLimitLowered != nil {
		p.OnLimitLowered()
	}
	return true
}

// split moves entries to other pages until the remaining entries fit. An entry that exceeds
// the limit by itself stays; OnLimitLowered must replace it.
func (p *Pages) split(large *page) {
	keys := p.newestEntries(large)
	remaining := 0
	for _, key := range keys {
		remaining += entrySize(key, large.entries[key])
	}
	for _, key := range keys {
		if remaining <= p.maxPageBytes {
			return
		}
		if size := entrySize(key, large.entries[key]); size <= p.maxPageBytes {
			remaining -= size
			p.moveEntry(key, large)
		}
	}
}

// newestEntries returns, in key order, the entries whose newest copy is on the page.
func (p *Pages) newestEntries(holding *page) []string {
	var keys []string
	for _, key := range slices.Sorted(maps.Keys(holding.entries)) {
		if p.pageOf[key] == holding {
			keys = append(keys, key)
		}
	}
	return keys
}

// moveEntry copies an entry to another page and removes the old copy once the new one is
// durable.
func (p *Pages) moveEntry(key string, from *page) {
	value := from.entries[key]
	to := p.pageWithSpace(entrySize(key, value), from)
	to.add(key, value)
	p.pageOf[key] = to
	p.stalePagesOf[key] = append(p.stalePagesOf[key], from)
	to.addWaiter(func(time.Time) { p.removeStaleCopies(key) })
}
