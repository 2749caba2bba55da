package store

import (
	"maps"
	"slices"
	"time"

	"juniperchute/internal/tuning"
)

// lowerLimit makes the limit of all pages smaller, as the service has rejected one of
// them for its size, and reports whether it could be: then the rejected page is split.
func (p *Pages) lowerLimit(rejected *page) bool {
	if p.maxPageBytes <= tuning.MinPageBytes {
		p.options.Log.Error("state service rejects even a small page", "key", rejected.value.Key(),
			"bytes", rejected.size)
		return false
	}
	p.maxPageBytes = max(tuning.MinPageBytes, min(p.maxPageBytes, rejected.size)/2)
	p.options.Log.Warn("page rejected for its size", "key", rejected.value.Key(), "bytes", rejected.size,
		"limit", p.maxPageBytes)
	rejected.changed = true
	if p.OnLimitLowered != nil {
		p.OnLimitLowered()
	}
	return true
}

// split moves entries of a page that is larger than the limit to others, until the rest
// fits. An entry that is itself too large stays: its owner has to make it smaller.
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

// newestEntries lists the entries whose newest copy a page holds, in key order.
func (p *Pages) newestEntries(holding *page) []string {
	var keys []string
	for _, key := range slices.Sorted(maps.Keys(holding.entries)) {
		if p.pageOf[key] == holding {
			keys = append(keys, key)
		}
	}
	return keys
}

// moveEntry copies an entry to another page. The copy here goes once the other is durable.
func (p *Pages) moveEntry(key string, from *page) {
	value := from.entries[key]
	to := p.pageWithSpace(entrySize(key, value), from)
	to.add(key, value)
	p.pageOf[key] = to
	p.stalePagesOf[key] = append(p.stalePagesOf[key], from)
	to.wait(func(time.Time) { p.removeStaleCopies(key) })
}
