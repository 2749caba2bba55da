package store

import (
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"juniperchute/internal/wire"
)

// termKey is the key that the tests' writers compare; their term never ends.
const termKey = "c/b/0"

// pageStore is a fake of the state service that keeps what is written and rejects values
// above a limit.
type pageStore struct {
	t        *testing.T
	limit    int // bytes of a value
	keys     map[string]wire.KeyValue
	revision uint64
	writes   int
	rejected []string // keys with values, in order
	now      time.Time
}

func newPageStore(t *testing.T, limit int) *pageStore {
	return &pageStore{t: t, limit: limit, keys: map[string]wire.KeyValue{}, revision: 10, now: time.Unix(0, 0)}
}

// options are those of pages that write to the store once a second.
func (s *pageStore) options(prefix string) PagesOptions {
	return PagesOptions{
		Prefix:        prefix,
		ValueKB:       1,
		WriteInterval: time.Second,
		Priority:      PriorityTerm,
		TermCompare:   VersionEquals(termKey, 2),
		StateCall:     s.call,
		Log:           slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnTermLost:    func(time.Time) { s.t.Error("term lost") },
	}
}

// items are the stored keys, in any order.
func (s *pageStore) items() []wire.KeyValue { return slices.Collect(maps.Values(s.keys)) }

// entries counts the pages that hold each stored entry.
func (s *pageStore) entries() map[string]int {
	counts := map[string]int{}
	for _, item := range s.keys {
		page := map[string]json.RawMessage{}
		if err := json.Unmarshal(item.Value, &page); err != nil {
			s.t.Errorf("stored page %s: %v", item.Key, err)
		}
		for key := range page {
			counts[key]++
		}
	}
	return counts
}

func (s *pageStore) call(call Call, done func(time.Time, Result)) {
	done(s.now, s.execute(call.Transaction))
}

func (s *pageStore) execute(transaction wire.Transaction) Result {
	for _, compare := range transaction.Compares {
		if compare.Key != termKey && s.keys[compare.Key].Version != compare.Version {
			return Result{Err: &ConflictError{FailedKeys: []string{compare.Key}}}
		}
	}
	for _, write := range transaction.Writes {
		if len(write.Value) > s.limit {
			s.rejected = append(s.rejected, write.Put+string(write.Value))
			return Result{Err: ErrInvalid}
		}
	}
	s.revision++
	for _, write := range transaction.Writes {
		s.writes++
		delete(s.keys, write.Delete)
		if write.Put != "" {
			s.keys[write.Put] = wire.KeyValue{Key: write.Put, Value: write.Value, Version: s.revision}
		}
	}
	return Result{Revision: s.revision}
}
