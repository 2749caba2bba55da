package intentlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Prefix is the common key prefix of the logs of all shards.
const Prefix = "d/"

// ShardPrefix returns the key prefix of the pages of a shard's log.
func ShardPrefix(shard int) string { return fmt.Sprintf("%s%d/", Prefix, shard) }

var errUnknownOperation = errors.New("unknown operation")

// entryRecord is the stored form of a log entry. Pages map targets to entries.
type entryRecord struct {
	Operation   Operation `json:"Duty"`
	Token       uint64
	DecidedAtMs int64 `json:"At"` // milliseconds of Unix time
}

func newEntryRecord(intent *Intent) entryRecord {
	return entryRecord{Operation: intent.Operation, Token: intent.Token, DecidedAtMs: intent.DecidedAt.UnixMilli()}
}

func (r entryRecord) decidedAt() time.Time { return time.UnixMilli(r.DecidedAtMs) }

// decodeEntry decodes a log entry. It returns errUnknownOperation for an operation that this version
// does not implement.
func decodeEntry(value json.RawMessage) (entryRecord, error) {
	var record entryRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return entryRecord{}, fmt.Errorf("decode intent log entry: %w", err)
	}
	if !record.Operation.supported() {
		return entryRecord{}, fmt.Errorf("decode intent log entry: %w %q", errUnknownOperation, record.Operation)
	}
	return record, nil
}

// Entry is a decoded entry of a log page.
type Entry struct {
	Operation Operation
	// Target is the name of the machine or of the provisioning request.
	Target string
	// Token is the fencing token of the term that recorded the entry.
	Token uint64
	// DecidedAt is the time of the decision by the deciding controller's wall clock.
	DecidedAt time.Time
}

// ReadPage decodes the entries of a log page, ordered by target. It does not reject operations of other
// versions.
func ReadPage(value json.RawMessage) ([]Entry, error) {
	records := map[string]entryRecord{}
	if err := json.Unmarshal(value, &records); err != nil {
		return nil, fmt.Errorf("decode intent log page: %w", err)
	}
	var entries []Entry
	for _, target := range slices.Sorted(maps.Keys(records)) {
		record := records[target]
		entries = append(entries, Entry{
			Operation: record.Operation,
			Target:    target,
			Token:     record.Token,
			DecidedAt: record.decidedAt(),
		})
	}
	return entries, nil
}
