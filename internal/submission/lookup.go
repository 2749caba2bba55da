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

// jobStatus is the status of a job according to its records in the state service.
type jobStatus struct {
	state          string // wire.JobPending while the job is open
	completedTasks int    // number of completed tasks, if the job has ended
	version        uint64 // of the open job's record, if the job is open
}

// lookUp reads a job's open job record and, if there is none, its end record. One transaction replaces
// the former by the latter, so reading them in this order finds every job. The callback gets
// errJobNotFound if there is neither record, and another error if a record cannot be read.
func (s *Service) lookUp(id string, callback func(found jobStatus, err error)) {
	key := OpenJobKey(id)
	call := store.Call{Op: store.OpGet, Priority: store.PriorityUser, Key: key}
	s.options.CallStore(call, func(_ time.Time, result store.Result) {
		if errors.Is(result.Err, store.ErrNotFound) {
			s.lookUpEnd(id, callback)
			return
		}
		if !result.OK() {
			callback(jobStatus{}, fmt.Errorf("read open job %s: %w", id, result.Err))
			return
		}
		result.KeyValue.Key = key
		if _, err := ParseOpenJob(result.KeyValue); err != nil {
			s.options.Log.Error("failed to decode open job record", "key", key, "error", err)
			callback(jobStatus{}, fmt.Errorf("parse open job %s: %w", id, err))
			return
		}
		callback(jobStatus{state: wire.JobPending, version: result.KeyValue.Version}, nil)
	})
}

// lookUpEnd reads the end record of a job that is not open. The callback gets the same errors as that of
// lookUp.
func (s *Service) lookUpEnd(id string, callback func(found jobStatus, err error)) {
	key := JobEndKey(id)
	call := store.Call{Op: store.OpGet, Priority: store.PriorityUser, Key: key}
	s.options.CallStore(call, func(now time.Time, result store.Result) {
		if errors.Is(result.Err, store.ErrNotFound) {
			callback(jobStatus{}, errJobNotFound)
			return
		}
		if !result.OK() {
			callback(jobStatus{}, fmt.Errorf("read end record of job %s: %w", id, result.Err))
			return
		}
		record, err := parseJobEnd(result.KeyValue)
		if err != nil {
			s.options.Log.Error("failed to decode job end record", "key", key, "error", err)
			callback(jobStatus{}, fmt.Errorf("parse end record of job %s: %w", id, err))
			return
		}
		s.observeEnd(now, wire.JobState{ID: id, State: record.State, CompletedTasks: record.Done})
		callback(jobStatus{state: record.State, completedTasks: record.Done}, nil)
	})
}
