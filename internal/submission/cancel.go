package submission

import (
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Cancel withdraws a job unless it is done already.
func (s *Service) Cancel(now time.Time, id string, reply func(Response)) {
	if !wire.ValidID(id) {
		reply(errorResponse(404, "no such job", 0))
		return
	}
	if ended, ok := s.endedJobs.byID[id]; ok {
		reply(Response{Status: 200, Body: wire.JobAccepted{ID: id, State: ended.State}})
		return
	}
	if s.writesInFlight >= tuning.MaxSubmissionsInFlight {
		reply(BusyResponse())
		return
	}
	s.writesInFlight++
	s.cancel(now, id, 0, func(r Response) {
		s.writesInFlight--
		reply(r)
	})
}

func (s *Service) cancel(now time.Time, id string, attempt int, reply func(Response)) {
	s.lookUp(now, id, func(lookup jobLookup) {
		switch {
		case !lookup.certain:
			reply(UnavailableResponse("state service does not answer"))
			return
		case lookup.stage == "":
			reply(errorResponse(404, "no such job", 0))
			return
		case lookup.stage != wire.JobPending:
			reply(Response{Status: 200, Body: wire.JobAccepted{ID: id, State: lookup.stage}})
			return
		}
		s.callStore(store.Call{Op: store.OpTransaction, Priority: store.PriorityUser, Transaction: wire.Transaction{
			Compares: []wire.Compare{store.VersionEquals(OpenJobKey(id), lookup.version)},
			Writes: []wire.Write{
				store.Put(JobEndKey(id), JobEndRecord{Stage: wire.JobCancelled}, 0),
				store.Delete(OpenJobKey(id)),
			},
		}}, func(now time.Time, result store.Result) {
			switch {
			case result.OK():
				s.log.Debug("job cancelled", "job", id)
				s.rememberEnd(now, wire.JobState{ID: id, State: wire.JobCancelled})
				reply(Response{Status: 200, Body: wire.JobAccepted{ID: id, State: wire.JobCancelled}})
			case (result.Status == 409 || result.Status == 0) && attempt < tuning.MaxCancelTries:
				// changed under us, or perhaps written: look again
				s.cancel(now, id, attempt+1, reply)
			case result.Status == 429:
				reply(BusyResponse())
			default:
				reply(UnavailableResponse("state service does not answer"))
			}
		})
	})
}
