package duty

import (
	"encoding/json"
	"fmt"
	"time"
)

// Under is the key prefix of all blocks' logs.
const Under = "d/"

// LogUnder is the key prefix of the pages of a block's log.
func LogUnder(block int) string { return fmt.Sprintf("%s%d/", Under, block) }

// entryRec is a log entry as stored; its key is the action's target.
type entryRec struct {
	Duty  Duty
	Token uint64
	At    int64 // when it was decided, ms of the time of day
}

// Entry is an entry of a log as read from its pages.
type Entry struct {
	Duty   Duty
	Target string
	Token  uint64
	At     time.Time
}

// ReadPage reads the entries of a page of a log.
func ReadPage(value json.RawMessage) ([]Entry, error) {
	recs := map[string]entryRec{}
	if err := json.Unmarshal(value, &recs); err != nil {
		return nil, err
	}
	var out []Entry
	for target, rec := range recs {
		out = append(out, Entry{Duty: rec.Duty, Target: target, Token: rec.Token, At: time.UnixMilli(rec.At)})
	}
	return out, nil
}
