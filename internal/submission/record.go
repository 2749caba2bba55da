package submission

import (
	"encoding/json"
	"fmt"
	"strings"

	"juniperchute/internal/wire"
)

// OpenJobPrefix is the prefix of the keys of all open jobs' records.
const OpenJobPrefix = "q/"

// OpenJobKey is the key of an open job's record.
func OpenJobKey(id string) string { return OpenJobPrefix + id }

// JobEndKey is the key of the record of a job's end.
func JobEndKey(id string) string { return "j/" + id }

// OpenJobRecord is the record of an open job. Each change of it compares its version.
type OpenJobRecord struct {
	Spec       wire.JobSpec
	AcceptedAt int64 `json:"At"` // Unix time in milliseconds
	Shard      int   `json:"Block,omitempty"`
}

// JobEndRecord is the record of how a job ended. The transaction that writes it deletes
// the open job's record, and it is never deleted itself: a job is open or ended, never both.
type JobEndRecord struct {
	Stage string // wire.JobDone or wire.JobCancelled
	Done  int    `json:",omitempty"` // completed tasks
}

// ParseOpenJob reads the record of an open job. An error means that this version cannot
// interpret it: its shape or its form may be of a later version.
func ParseOpenJob(item wire.KeyValue) (OpenJobRecord, error) {
	var record OpenJobRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return OpenJobRecord{}, err
	}
	spec := &record.Spec
	_, knownPriority := wire.PriorityRank(spec.Priority)
	switch {
	case spec.ID != strings.TrimPrefix(item.Key, OpenJobPrefix):
		return OpenJobRecord{}, fmt.Errorf("record names job %q", spec.ID)
	case spec.Tasks < 1 || spec.Tasks > wire.MaxTasksPerJob:
		return OpenJobRecord{}, fmt.Errorf("%d tasks", spec.Tasks)
	case !wire.KnownShape(spec.Shape):
		return OpenJobRecord{}, fmt.Errorf("unknown shape %q", spec.Shape)
	case !knownPriority:
		return OpenJobRecord{}, fmt.Errorf("unknown priority %q", spec.Priority)
	}
	return record, nil
}

// parseJobEnd reads the record of a job's end.
func parseJobEnd(item wire.KeyValue) (JobEndRecord, error) {
	var record JobEndRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return JobEndRecord{}, err
	}
	if record.Stage != wire.JobDone && record.Stage != wire.JobCancelled {
		return JobEndRecord{}, fmt.Errorf("unknown final state %q", record.Stage)
	}
	return record, nil
}
