package submission

import (
	"errors"
	"net/http"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Query calls reply with a job's state. The state is no older than the query, so it never contradicts
// what another controller has reported to a user before. The response is retryable if the job is open and its
// lease holder cannot be asked.
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
	// One catch-up of the open jobs serves all queries that arrived before it was sent.
	s.options.OpenJobs.CatchUp(now, s.catchUpInterval, func(now time.Time, ok bool) {
		if !ok {
			finish(UnavailableResponse(reasonStoreUnavailable))
			return
		}
		s.queryCurrent(now, id, finish)
	})
}

// queryCurrent replies with a job's state from a cache of open jobs that has caught up since the query arrived.
func (s *Service) queryCurrent(now time.Time, id string, reply func(Response)) {
	item, open := s.options.OpenJobs.Get(OpenJobKey(id))
	if !open {
		s.queryEnded(id, reply)
		return
	}
	record, err := ParseOpenJob(item)
	if err != nil {
		s.options.Log.Error("failed to decode open job record", "key", item.Key, "error", err)
		reply(UnavailableResponse("the job's record cannot be read"))
		return
	}
	s.options.QueryProgress(now, record.Shard, id, func(_ time.Time, progress Progress) {
		if _, open := s.options.OpenJobs.Get(OpenJobKey(id)); !open {
			// The job ended during the progress query, and another controller may already
			// have reported its final state to a user.
			s.queryEnded(id, reply)
			return
		}
		if !progress.Known {
			reply(UnavailableResponse(reasonProgressUnknown))
			return
		}
		reply(Response{Status: http.StatusOK, Body: wire.JobState{
			ID:             id,
			State:          progress.jobState(),
			CompletedTasks: progress.CompletedTasks,
			Running:        progress.Running,
		}})
	})
}

// queryEnded replies with the final state of a job that is not open.
func (s *Service) queryEnded(id string, reply func(Response)) {
	s.lookUpEnd(id, func(now time.Time, found jobStatus, err error) {
		switch {
		case errors.Is(err, errJobNotFound):
			reply(notFoundResponse())
		case err != nil:
			reply(UnavailableResponse(reasonStoreUnavailable))
		default:
			state := wire.JobState{ID: id, State: found.endState, CompletedTasks: found.completedTasks}
			reply(Response{Status: http.StatusOK, Body: state})
		}
	})
}
