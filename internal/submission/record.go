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

// JobRec tells how a job ended. It is written when the job's open entry is
// removed, in one transaction, and never removed itself: a job is open or ended,
// never both.
type JobRec struct {
	Stage string // done or withdrawn
	Done  int    `json:",omitempty"`
}

// OpenRec is an open job's entry. Each change is conditioned on its version.
type OpenRec struct {
	Spec  wire.JobSpec
	At    int64 // when it was accepted, ms of the time of day
	Block int   `json:",omitempty"`
}

// ReadOpen reads an open job's entry. An error means that this version cannot tell what
// the job is: its shape or its form may be of a later one.
func ReadOpen(it wire.KeyValue) (OpenRec, error) {
	var rec OpenRec
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		return OpenRec{}, err
	}
	s := &rec.Spec
	_, known := wire.Priority(s.Priority)
	switch {
	case s.ID != strings.TrimPrefix(it.Key, OpenUnder):
		return OpenRec{}, errors.New("it names another job")
	case s.Tasks < 1 || s.Tasks > wire.MaxTasksPerJob:
		return OpenRec{}, fmt.Errorf("%d tasks", s.Tasks)
	case !wire.KnownShape(s.Shape):
		return OpenRec{}, fmt.Errorf("unknown shape %q", s.Shape)
	case !known:
		return OpenRec{}, fmt.Errorf("unknown priority %q", s.Priority)
	}
	return rec, nil
}

// OpenUnder is the prefix of all open jobs' entries.
const OpenUnder = "q/"

// JobKey is the key of a job's end.
func JobKey(id string) string { return "j/" + id }

// OpenKey is the key of an open job's entry.
func OpenKey(id string) string { return OpenUnder + id }
