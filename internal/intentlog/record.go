package intentlog

import (
	"encoding/json"
	"fmt"
	"time"
)

// Prefix is the key prefix of all blocks' logs.
const Prefix = "d/"

// LogPrefix is the key prefix of the pages of a block's log.
func LogPrefix(block int) string { return fmt.Sprintf("%s%d/", Prefix, block) }

// entryRecord is a log entry as stored; its key is the action's target.
type entryRecord struct {
	Operation   Operation `json:"Duty"`
	Token       uint64
	DecidedAtMs int64 `json:"At"` // when it was decided, ms of the time of day
}

// Entry is an entry of a log as read from its pages.
type Entry struct {
	Operation Operation
	Target    string
	Token     uint64
	DecidedAt time.Time
}

// ReadPage reads the entries of a page of a log.
func ReadPage(value json.RawMessage) ([]Entry, error) {
	recs := map[string]entryRecord{}
	if err := json.Unmarshal(value, &recs); err != nil {
		return nil, err
	}
	var out []Entry
	for target, rec := range recs {
		out = append(out, Entry{Operation: rec.Operation, Target: target, Token: rec.Token, DecidedAt: time.UnixMilli(rec.DecidedAtMs)})
	}
	return out, nil
}
