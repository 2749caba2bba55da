package submission

import (
	"errors"
	"net/http"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Query reports a job's state.
func (s *Service) Query(now time.Time, id string, reply func(Response)) {
	if !wire.ValidJobID(id) {
		reply(notFoundResponse())
		return
	}
	if ended, ok := s.endedJobs.get(id); ok {
		reply(Response{Status: http.StatusOK, Body: ended})
		return
	}
	if s.queriesInFlight >= tuning.MaxQueriesInFlight {
		reply(BusyResponse())
		return
	}
	s.queriesInFlight++
	finish := func(response Response) {
		s.queriesInFlight--
		reply(response)
	}
	// One refresh of the open jobs serves all queries that came before it.
	s.options.OpenJobs.WaitCurrent(now, s.refreshInterval, func(now time.Time, ok bool) {
		if !ok {
			finish(UnavailableResponse(reasonStoreUnavailable))
			return
		}
		s.queryCurrent(now, id, finish)
	})
}

// queryCurrent reports a job's state from open jobs that have just been refreshed.
func (s *Service) queryCurrent(now time.Time, id string, reply func(Response)) {
	item, open := s.options.OpenJobs.Get(OpenJobKey(id))
	if !open {
		s.queryEnded(id, reply)
		return
	}
	record, err := ParseOpenJob(item)
	if err != nil {
		s.options.Log.Error("job entry cannot be read", "key", item.Key, "error", err)
		reply(UnavailableResponse("the job's record cannot be read"))
		return
	}
	s.options.QueryProgress(now, record.Shard, id, func(_ time.Time, progress Progress) {
		if _, open := s.options.OpenJobs.Get(OpenJobKey(id)); !open {
			// The job ended while the shard's owner was asked, and another controller may
			// have reported that to a user by now.
			s.queryEnded(id, reply)
			return
		}
		state := wire.JobState{ID: id, State: wire.JobPending, Done: progress.Done, Running: progress.Running}
		if progress.Running > 0 {
			state.State = wire.JobRunning
		}
		reply(Response{Status: http.StatusOK, Body: state})
	})
}

// queryEnded reports how a job ended that is not open.
func (s *Service) queryEnded(id string, reply func(Response)) {
	s.lookUpEnd(id, func(found jobStatus, err error) {
		switch {
		case errors.Is(err, errJobNotFound):
			reply(notFoundResponse())
		case err != nil:
			reply(UnavailableResponse(reasonStoreUnavailable))
		default:
			state := wire.JobState{ID: id, State: found.state, Done: found.done}
			reply(Response{Status: http.StatusOK, Body: state})
		}
	})
}
