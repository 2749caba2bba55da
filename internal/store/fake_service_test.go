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

// termKey is the key of the TermCompare in the tests. fakeStateService always accepts it.
const termKey = "c/b/0"

// fakeStateService executes transactions and rejects values that exceed the limit.
type fakeStateService struct {
	t        *testing.T
	limit    int // size limit of a value in bytes
	keys     map[string]wire.KeyValue
	revision uint64
	writes   int
	rejected []string // concatenated keys and values of rejected writes, in order
	now      time.Time
}

func newFakeStateService(t *testing.T, limit int) *fakeStateService {
	return &fakeStateService{t: t, limit: limit, keys: map[string]wire.KeyValue{}, revision: 10, now: time.Unix(0, 0)}
}

// options returns options for Pages that write to the service at most once per second.
func (s *fakeStateService) options(prefix string) PagesOptions {
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

// items returns the stored keys in arbitrary order.
func (s *fakeStateService) items() []wire.KeyValue { return slices.Collect(maps.Values(s.keys)) }

// entries returns the number of stored pages that hold each entry.
func (s *fakeStateService) entries() map[string]int {
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

func (s *fakeStateService) call(call Call, done func(time.Time, Result)) {
	done(s.now, s.execute(call.Transaction))
}

func (s *fakeStateService) execute(transaction wire.Transaction) Result {
	for _, compare := range transaction.Compares {
		if compare.Key != termKey && s.keys[compare.Key].Version != compare.Version {
			return Result{Err: &ConflictError{FailedKeys: []string{compare.Key}}}
		}
	}
	for _, write := range transaction.Writes {
		if len(write.Value) > s.limit {
			s.rejected = append(s.rejected, write.PutKey+string(write.Value))
			return Result{Err: ErrInvalid}
		}
	}
	s.revision++
	for _, write := range transaction.Writes {
		s.writes++
		delete(s.keys, write.DeleteKey)
		if write.PutKey != "" {
			s.keys[write.PutKey] = wire.KeyValue{Key: write.PutKey, Value: write.Value, Version: s.revision}
		}
	}
	return Result{Revision: s.revision}
}
