package submission

import (
	"encoding/json"
	"fmt"
	"strings"

	"juniperchute/internal/wire"
)

// OpenJobPrefix starts the keys of all open job records in the state service.
const OpenJobPrefix = "q/"

// OpenJobKey returns the key of a job's OpenJobRecord.
func OpenJobKey(id string) string { return OpenJobPrefix + id }

// JobEndKey returns the key of a job's JobEndRecord.
func JobEndKey(id string) string { return "j/" + id }

// OpenJobRecord is the stored record of an open job. Every write to it compares its version.
type OpenJobRecord struct {
	Spec       wire.JobSpec
	AcceptedAt int64 `json:"At"` // Unix time in milliseconds
	Shard      int   `json:"Block,omitempty"`
}

// JobEndRecord is the stored record of a job's final state. The transaction that writes it deletes the
// OpenJobRecord, so a job never has both. It is never changed or deleted.
type JobEndRecord struct {
	State string `json:"Stage"`      // wire.JobDone or wire.JobCancelled
	Done  int    `json:",omitempty"` // number of completed tasks
}

// ParseOpenJob decodes and validates an open job record. An error means that this version cannot interpret
// the record, which a later version may have written.
func ParseOpenJob(item wire.KeyValue) (OpenJobRecord, error) {
	var record OpenJobRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return OpenJobRecord{}, err
	}
	spec := &record.Spec
	_, knownPriority := wire.PriorityRank(spec.Priority)
	switch {
	case spec.ID != strings.TrimPrefix(item.Key, OpenJobPrefix):
		return OpenJobRecord{}, fmt.Errorf("job ID %q does not match the key", spec.ID)
	case spec.Tasks < 1 || spec.Tasks > wire.MaxTasksPerJob:
		return OpenJobRecord{}, fmt.Errorf("task count %d is not between 1 and %d", spec.Tasks, wire.MaxTasksPerJob)
	case !wire.KnownShape(spec.Shape):
		return OpenJobRecord{}, fmt.Errorf("unknown shape %q", spec.Shape)
	case !knownPriority:
		return OpenJobRecord{}, fmt.Errorf("unknown priority %q", spec.Priority)
	}
	return record, nil
}

// parseJobEnd decodes and validates a job end record.
func parseJobEnd(item wire.KeyValue) (JobEndRecord, error) {
	var record JobEndRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return JobEndRecord{}, err
	}
	if record.State != wire.JobDone && record.State != wire.JobCancelled {
		return JobEndRecord{}, fmt.Errorf("unknown final state %q", record.State)
	}
	return record, nil
}
