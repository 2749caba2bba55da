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

// jobStatus is what the records in the state service say of a job.
type jobStatus struct {
	state   string // wire.JobPending while the job is open
	done    int    // completed tasks of a job that has ended
	version uint64 // of the record of an open job
}

// lookUp reads a job's records: that of the open job first, then that of its end. As one
// transaction replaces the first by the second, a job cannot be missed in between. The
// error is errJobNotFound, or another one when the records could not be read.
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
			s.options.Log.Error("job entry cannot be read", "key", key, "error", err)
			callback(jobStatus{}, fmt.Errorf("parse open job %s: %w", id, err))
			return
		}
		callback(jobStatus{state: wire.JobPending, version: result.KeyValue.Version}, nil)
	})
}

// lookUpEnd reads how a job ended that is not open. The error is as that of lookUp.
func (s *Service) lookUpEnd(id string, callback func(found jobStatus, err error)) {
	key := JobEndKey(id)
	call := store.Call{Op: store.OpGet, Priority: store.PriorityUser, Key: key}
	s.options.CallStore(call, func(now time.Time, result store.Result) {
		if errors.Is(result.Err, store.ErrNotFound) {
			callback(jobStatus{}, errJobNotFound)
			return
		}
		if !result.OK() {
			callback(jobStatus{}, fmt.Errorf("read the end of job %s: %w", id, result.Err))
			return
		}
		record, err := parseJobEnd(result.KeyValue)
		if err != nil {
			s.options.Log.Error("job record cannot be read", "key", key, "error", err)
			callback(jobStatus{}, fmt.Errorf("parse the end of job %s: %w", id, err))
			return
		}
		s.rememberEnd(now, wire.JobState{ID: id, State: record.Stage, Done: record.Done})
		callback(jobStatus{state: record.Stage, done: record.Done}, nil)
	})
}
