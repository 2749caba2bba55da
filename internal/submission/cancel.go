package submission

import (
	"errors"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Cancel cancels a job unless it has ended. Cancellations are idempotent.
func (s *Service) Cancel(id string, reply func(Response)) {
	if !wire.ValidJobID(id) {
		reply(notFoundResponse())
		return
	}
	if ended, ok := s.endedJobs.get(id); ok {
		reply(stateResponse(id, ended.State))
		return
	}
	if s.writesInFlight >= tuning.MaxSubmissionsInFlight {
		reply(BusyResponse())
		return
	}
	s.writesInFlight++
	s.tryCancel(id, 0, func(response Response) {
		s.writesInFlight--
		reply(response)
	})
}

// tryCancel reads a job's records and, if it is open, writes its end; it starts over when
// the record was changed in between.
func (s *Service) tryCancel(id string, attempt int, reply func(Response)) {
	s.lookUp(id, func(found jobStatus, err error) {
		switch {
		case errors.Is(err, errJobNotFound):
			reply(notFoundResponse())
		case err != nil:
			reply(UnavailableResponse(reasonStoreUnavailable))
		case found.state != wire.JobPending:
			reply(stateResponse(id, found.state))
		default:
			s.writeCancellation(id, found.version, attempt, reply)
		}
	})
}

// writeCancellation ends an open job whose record has the version given.
func (s *Service) writeCancellation(id string, version uint64, attempt int, reply func(Response)) {
	transaction := wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(OpenJobKey(id), version)},
		Writes: []wire.Write{
			store.Put(JobEndKey(id), JobEndRecord{Stage: wire.JobCancelled}, 0),
			store.Delete(OpenJobKey(id)),
		},
	}
	call := store.Call{Op: store.OpTransaction, Priority: store.PriorityUser, Transaction: transaction}
	s.options.CallStore(call, func(now time.Time, result store.Result) {
		switch {
		case result.OK():
			s.options.Log.Debug("job cancelled", "job", id)
			s.rememberEnd(now, wire.JobState{ID: id, State: wire.JobCancelled})
			reply(stateResponse(id, wire.JobCancelled))
		case mayHaveChanged(result.Err) && attempt < tuning.MaxCancelAttempts:
			s.tryCancel(id, attempt+1, reply)
		case errors.Is(result.Err, store.ErrThrottled):
			reply(BusyResponse())
		default:
			reply(UnavailableResponse(reasonStoreUnavailable))
		}
	})
}

// mayHaveChanged reports whether a transaction's error leaves open what the records say
// now: they changed before it, or it was executed without a response.
func mayHaveChanged(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNoResponse)
}
