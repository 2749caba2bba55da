package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Load adds the stored pages of earlier terms and calls visit for each entry, in key order
// within a page. A page that cannot be decoded is never overwritten.
func (p *Pages) Load(items []wire.KeyValue, visit func(key string, value json.RawMessage)) {
	for _, item := range items {
		if err := p.loadPage(item, visit); err != nil {
			p.options.Log.Error("failed to decode page", "key", item.Key, "error", err)
			p.unreadable++
		}
	}
}

// Unreadable returns the number of pages that Load could not decode. Their entries are unknown.
func (p *Pages) Unreadable() int { return p.unreadable }

func (p *Pages) loadPage(item wire.KeyValue, visit func(key string, value json.RawMessage)) error {
	number, err := p.pageNumber(item.Key)
	if err != nil {
		return err
	}
	loaded := p.addPage(number, item.Version)
	entries, err := decodeEntries(item.Value)
	if err != nil {
		loaded.unreadable = true
		return err
	}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		p.loadEntry(loaded, key, entries[key])
		visit(key, entries[key])
	}
	return nil
}

func (p *Pages) loadEntry(loaded *page, key string, value json.RawMessage) {
	if other := p.pageOf[key]; other != nil {
		// the earlier term ended during a move; which copy is newer is unknown
		p.stalePagesOf[key] = append(p.stalePagesOf[key], other)
	}
	loaded.load(key, value)
	p.pageOf[key] = loaded
}

// pageNumber parses the number of a page from its key.
func (p *Pages) pageNumber(key string) (int, error) {
	number, err := strconv.Atoi(strings.TrimPrefix(key, p.options.Prefix))
	if err != nil {
		return 0, fmt.Errorf("parse page number: %w", err)
	}
	if number < 0 || number > tuning.MaxPages {
		return 0, fmt.Errorf("parse page number: %d is out of range", number)
	}
	return number, nil
}

// errNoEntries is returned for a page whose value is the JSON null.
var errNoEntries = errors.New("decode page: no entries")

func decodeEntries(raw json.RawMessage) (map[string]json.RawMessage, error) {
	var entries map[string]json.RawMessage
	if err := json.Unmarshal(raw, &entries); err != nil {
		return nil, fmt.Errorf("decode page: %w", err)
	}
	if entries == nil {
		return nil, errNoEntries
	}
	return entries, nil
}
