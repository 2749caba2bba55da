package submission

import (
	"errors"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Cancel withdraws a job unless it is done already.
func (s *Slice) Cancel(now time.Time, id string, reply func(Response)) {
	if !wire.ValidID(id) {
		reply(refuse(404, "no such job", 0))
		return
	}
	if f, ok := s.finals.m[id]; ok {
		reply(Response{Status: 200, Body: wire.JobAccepted{ID: id, State: f.State}})
		return
	}
	if s.inHand >= tuning.SubmitsInHand {
		reply(Busy())
		return
	}
	s.inHand++
	s.cancel(now, id, 0, func(r Response) {
		s.inHand--
		reply(r)
	})
}

func (s *Slice) cancel(now time.Time, id string, tries int, reply func(Response)) {
	s.find(now, id, func(f found) {
		switch {
		case !f.sure:
			reply(Unable("state service does not answer"))
			return
		case f.stage == "":
			reply(refuse(404, "no such job", 0))
			return
		case f.stage != wire.JobPending:
			reply(Response{Status: 200, Body: wire.JobAccepted{ID: id, State: f.stage}})
			return
		}
		s.call(store.Call{Op: store.OpTransaction, Priority: store.PriorityUser, Transaction: wire.Transaction{
			Compares: []wire.Compare{store.VersionEquals(OpenKey(id), f.version)},
			Writes: []wire.Write{
				store.Put(JobKey(id), JobRec{Stage: wire.JobCancelled}, 0),
				store.Delete(OpenKey(id)),
			},
		}}, func(now time.Time, r store.Result) {
			switch {
			case r.OK():
				s.log.Debug("job cancelled", "job", id)
				s.final(now, wire.JobState{ID: id, State: wire.JobCancelled})
				reply(Response{Status: 200, Body: wire.JobAccepted{ID: id, State: wire.JobCancelled}})
			case (errors.Is(r.Err, store.ErrConflict) || errors.Is(r.Err, store.ErrNoResponse)) && tries < tuning.CancelTries:
				// changed under us, or perhaps written: look again
				s.cancel(now, id, tries+1, reply)
			case errors.Is(r.Err, store.ErrThrottled):
				reply(Busy())
			default:
				reply(Unable("state service does not answer"))
			}
		})
	})
}
