package submission

import (
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Query tells a job's state.
func (s *Service) Query(now time.Time, id string, reply func(Response)) {
	if !wire.ValidID(id) {
		reply(errorResponse(404, "no such job", 0))
		return
	}
	if ended, ok := s.endedJobs.byID[id]; ok {
		reply(Response{Status: 200, Body: ended})
		return
	}
	if s.queriesInFlight >= tuning.MaxQueriesInFlight {
		reply(BusyResponse())
		return
	}
	s.queriesInFlight++
	answer := func(r Response) {
		s.queriesInFlight--
		reply(r)
	}
	// One look at what has changed among the open jobs answers all questions
	// that came before it.
	s.openJobs.WaitCurrent(now, s.refreshInterval, func(now time.Time, ok bool) {
		if !ok {
			answer(UnavailableResponse("state service does not answer"))
			return
		}
		s.answerOpen(now, id, answer)
	})
}

// answerOpen tells a job's state as the records have it that were just read.
func (s *Service) answerOpen(now time.Time, id string, answer func(Response)) {
	item, open := s.openJobs.Get(OpenJobKey(id))
	if !open {
		s.answerEnded(now, id, answer)
		return
	}
	record, err := ParseOpenJob(item)
	if err != nil {
		s.log.Error("job entry cannot be read", "key", item.Key, "error", err)
		answer(UnavailableResponse("the job's record cannot be read"))
		return
	}
	s.queryProgress(now, record.Shard, id, func(now time.Time, progress Progress) {
		if _, open := s.openJobs.Get(OpenJobKey(id)); !open {
			// it ended while its holder was asked, and somebody may have been told
			s.answerEnded(now, id, answer)
			return
		}
		state := wire.JobState{ID: id, State: wire.JobPending, Done: progress.Done, Running: progress.Running}
		if progress.Running > 0 {
			state.State = wire.JobRunning
		}
		answer(Response{Status: 200, Body: state})
	})
}

// answerEnded tells how a job that is not open ended, if there was one.
func (s *Service) answerEnded(now time.Time, id string, answer func(Response)) {
	s.lookUpEnd(now, id, func(lookup jobLookup) {
		switch {
		case !lookup.certain:
			answer(UnavailableResponse("state service does not answer"))
		case lookup.stage == "":
			answer(errorResponse(404, "no such job", 0))
		default:
			answer(Response{Status: 200, Body: wire.JobState{ID: id, State: lookup.stage, Done: lookup.done}})
		}
	})
}
