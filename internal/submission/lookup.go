package submission

import (
	"errors"
	"fmt"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// errJobNotFound means that the state service has no record of a job.
var errJobNotFound = errors.New("job not found")

// jobStatus is the status of a job according to its records in the state service. The records of an open job do
// not tell whether its tasks run; only its shard's lease holder knows that.
type jobStatus struct {
	open bool

	// Of open jobs.
	record  OpenJobRecord
	version uint64 // of the record

	// Of ended jobs.
	endState       string
	completedTasks int
}

// lookUpFunc gets the status of a job, or the reason why there is none: errJobNotFound if the job has no record,
// another error if a record cannot be read.
type lookUpFunc func(now time.Time, found jobStatus, err error)

// lookUp reads a job's open job record and, if there is none, its end record. One transaction replaces
// the former by the latter, so reading them in this order finds every job.
func (s *Service) lookUp(id string, callback lookUpFunc) {
	key := OpenJobKey(id)
	call := store.Call{Op: store.OpGet, Priority: store.PriorityUser, Key: key}
	s.options.CallStore(call, func(now time.Time, result store.Result) {
		if errors.Is(result.Err, store.ErrNotFound) {
			s.lookUpEnd(id, callback)
			return
		}
		if !result.OK() {
			callback(now, jobStatus{}, fmt.Errorf("read open job %s: %w", id, result.Err))
			return
		}
		result.KeyValue.Key = key
		record, err := ParseOpenJob(result.KeyValue)
		if err != nil {
			s.options.Log.Error("failed to decode open job record", "key", key, "error", err)
			callback(now, jobStatus{}, fmt.Errorf("parse open job %s: %w", id, err))
			return
		}
		callback(now, jobStatus{open: true, record: record, version: result.KeyValue.Version}, nil)
	})
}

// lookUpEnd reads the end record of a job that is not open.
func (s *Service) lookUpEnd(id string, callback lookUpFunc) {
	key := JobEndKey(id)
	call := store.Call{Op: store.OpGet, Priority: store.PriorityUser, Key: key}
	s.options.CallStore(call, func(now time.Time, result store.Result) {
		if errors.Is(result.Err, store.ErrNotFound) {
			callback(now, jobStatus{}, errJobNotFound)
			return
		}
		if !result.OK() {
			callback(now, jobStatus{}, fmt.Errorf("read end record of job %s: %w", id, result.Err))
			return
		}
		record, err := parseJobEnd(result.KeyValue)
		if err != nil {
			s.options.Log.Error("failed to decode job end record", "key", key, "error", err)
			callback(now, jobStatus{}, fmt.Errorf("parse end record of job %s: %w", id, err))
			return
		}
		s.observeEnd(now, wire.JobState{ID: id, State: record.State, CompletedTasks: record.Done})
		callback(now, jobStatus{endState: record.State, completedTasks: record.Done}, nil)
	})
}
