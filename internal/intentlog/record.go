package intentlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Prefix is the key prefix of the logs of all shards.
const Prefix = "d/"

// ShardPrefix is the key prefix of the pages of a shard's log.
func ShardPrefix(shard int) string { return fmt.Sprintf("%s%d/", Prefix, shard) }

var errUnknownOperation = errors.New("unknown operation")

// entryRecord is a log entry as stored in a page, under the intent's target.
type entryRecord struct {
	Operation   Operation `json:"Duty"`
	Token       uint64
	DecidedAtMs int64 `json:"At"` // milliseconds of Unix time
}

func newEntryRecord(intent *Intent) entryRecord {
	return entryRecord{Operation: intent.Operation, Token: intent.Token, DecidedAtMs: intent.DecidedAt.UnixMilli()}
}

func (r entryRecord) decidedAt() time.Time { return time.UnixMilli(r.DecidedAtMs) }

// decodeEntry reads an entry of one of this version's operations.
func decodeEntry(value json.RawMessage) (entryRecord, error) {
	var record entryRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return entryRecord{}, fmt.Errorf("decode intent log entry: %w", err)
	}
	if !record.Operation.known() {
		return entryRecord{}, fmt.Errorf("%w %q", errUnknownOperation, record.Operation)
	}
	return record, nil
}

// Entry is an entry of a log as read from its pages.
type Entry struct {
	Operation Operation
	// Target is what Intent.Target is.
	Target string
	// Token is the fencing token of the term that recorded the entry.
	Token uint64
	// DecidedAt is when it was decided, by the deciding controller's wall clock.
	DecidedAt time.Time
}

// ReadPage decodes the entries of a page of a log, in no particular order.
func ReadPage(value json.RawMessage) ([]Entry, error) {
	records := map[string]entryRecord{}
	if err := json.Unmarshal(value, &records); err != nil {
		return nil, fmt.Errorf("decode intent log page: %w", err)
	}
	var entries []Entry
	for target, record := range records {
		entries = append(entries, Entry{
			Operation: record.Operation,
			Target:    target,
			Token:     record.Token,
			DecidedAt: record.decidedAt(),
		})
	}
	return entries, nil
}
