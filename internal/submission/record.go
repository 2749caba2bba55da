// Package submission answers the users: it checks and accepts jobs, tells
// their state and cancels them. Any node does so, from the state service.
package submission

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"juniperchute/internal/wire"
)

// JobEndRecord tells how a job ended. It is written when the job's open entry is
// removed, in one transaction, and never removed itself: a job is open or ended,
// never both.
type JobEndRecord struct {
	Stage string // done or withdrawn
	Done  int    `json:",omitempty"`
}

// OpenJobRecord is an open job's entry. Each change is conditioned on its version.
type OpenJobRecord struct {
	Spec       wire.JobSpec
	AcceptedAt int64 `json:"At"` // when it was accepted, ms of the time of day
	Shard      int   `json:"Block,omitempty"`
}

// ParseOpenJob reads an open job's entry. An error means that this version cannot tell what
// the job is: its shape or its form may be of a later one.
func ParseOpenJob(item wire.KeyValue) (OpenJobRecord, error) {
	var record OpenJobRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return OpenJobRecord{}, err
	}
	spec := &record.Spec
	_, known := wire.Priority(spec.Priority)
	switch {
	case spec.ID != strings.TrimPrefix(item.Key, OpenJobPrefix):
		return OpenJobRecord{}, errors.New("it names another job")
	case spec.Tasks < 1 || spec.Tasks > wire.MaxTasksPerJob:
		return OpenJobRecord{}, fmt.Errorf("%d tasks", spec.Tasks)
	case !wire.KnownShape(spec.Shape):
		return OpenJobRecord{}, fmt.Errorf("unknown shape %q", spec.Shape)
	case !known:
		return OpenJobRecord{}, fmt.Errorf("unknown priority %q", spec.Priority)
	}
	return record, nil
}

// OpenJobPrefix is the prefix of all open jobs' entries.
const OpenJobPrefix = "q/"

// JobEndKey is the key of a job's end.
func JobEndKey(id string) string { return "j/" + id }

// OpenJobKey is the key of an open job's entry.
func OpenJobKey(id string) string { return OpenJobPrefix + id }
