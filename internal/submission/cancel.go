package submission

import (
	"errors"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Cancel cancels an open job and calls reply with the job's final state. The request is idempotent:
// the state of a job that has ended does not change.
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

// tryCancel reads a job's records and cancels the job if it is open. It retries if the open job's
// record changes between the read and the write.
func (s *Service) tryCancel(id string, attempt int, reply func(Response)) {
	s.lookUp(id, func(now time.Time, found jobStatus, err error) {
		switch {
		case errors.Is(err, errJobNotFound):
			reply(notFoundResponse())
		case err != nil:
			reply(UnavailableResponse(reasonStoreUnavailable))
		case !found.open:
			reply(stateResponse(id, found.endState))
		default:
			s.writeCancellation(id, found.version, attempt, reply)
		}
	})
}

// writeCancellation replaces the open job's record by its end record in one compare-and-swap, which
// fails unless the open job's record has the given version.
func (s *Service) writeCancellation(id string, version uint64, attempt int, reply func(Response)) {
	transaction := wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(OpenJobKey(id), version)},
		Writes: []wire.Write{
			store.Put(JobEndKey(id), JobEndRecord{State: wire.JobCancelled}, 0),
			store.Delete(OpenJobKey(id)),
		},
	}
	call := store.Call{Op: store.OpTransaction, Priority: store.PriorityUser, Transaction: transaction}
	s.options.CallStore(call, func(now time.Time, result store.Result) {
		switch {
		case result.OK():
			s.options.Log.Debug("job cancelled", "job", id)
			s.observeEnd(now, wire.JobState{ID: id, State: wire.JobCancelled})
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

// mayHaveChanged reports whether the records must be read again after a failed transaction: either they
// changed before it, or it may have been executed although no response arrived.
func mayHaveChanged(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNoResponse)
}
