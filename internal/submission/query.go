package submission

import (
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Query tells a job's state.
func (s *Slice) Query(now time.Time, id string, reply func(Response)) {
	if !wire.ValidID(id) {
		reply(refuse(404, "no such job", 0))
		return
	}
	if f, ok := s.finals.m[id]; ok {
		reply(Response{Status: 200, Body: f})
		return
	}
	if s.queries >= tuning.ReadsInHand {
		reply(Busy())
		return
	}
	s.queries++
	answer := func(r Response) {
		s.queries--
		reply(r)
	}
	// One look at what has changed among the open jobs answers all questions
	// that came before it.
	s.open.WaitCurrent(now, s.gap, func(now time.Time, ok bool) {
		if !ok {
			answer(Unable("state service does not answer"))
			return
		}
		s.state(now, id, answer)
	})
}

// state tells a job's state as the records have it that were just read.
func (s *Slice) state(now time.Time, id string, answer func(Response)) {
	it, open := s.open.Get(OpenKey(id))
	if !open {
		s.ended(now, id, answer)
		return
	}
	rec, err := ReadOpen(it)
	if err != nil {
		s.log.Error("job entry cannot be read", "key", it.Key, "error", err)
		answer(Unable("the job's record cannot be read"))
		return
	}
	s.progress(now, rec.Block, id, func(now time.Time, p Progress) {
		if _, open := s.open.Get(OpenKey(id)); !open {
			// it ended while its holder was asked, and somebody may have been told
			s.ended(now, id, answer)
			return
		}
		st := wire.JobState{ID: id, State: wire.JobPending, Done: p.Done, Running: p.Running}
		if p.Running > 0 {
			st.State = wire.JobRunning
		}
		answer(Response{Status: 200, Body: st})
	})
}

// ended tells how a job that is not open ended, if there was one.
func (s *Slice) ended(now time.Time, id string, answer func(Response)) {
	s.end(now, id, func(f found) {
		switch {
		case !f.sure:
			answer(Unable("state service does not answer"))
		case f.stage == "":
			answer(refuse(404, "no such job", 0))
		default:
			answer(Response{Status: 200, Body: wire.JobState{ID: id, State: f.stage, Done: f.done}})
		}
	})
}
