package leader

import (
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// until is how long a lease surely stands after a request sent at t was
// granted: clocks may drift apart, and the holder stops a little early.
func until(t time.Time) time.Time {
	return t.Add(tuning.MemberLease - time.Duration(float64(tuning.MemberLease)*2*tuning.MaxClockDrift) - tuning.LeaseSafetyMargin)
}

func (s *Slice) grant(now time.Time) {
	s.set(memberGranting, "no lease")
	s.call(store.Call{Op: store.OpGrant, Life: tuning.MemberLease}, func(now time.Time, r store.Result) {
		if !r.OK() || r.Lease == 0 {
			s.set(memberOut, "lease refused")
			s.retry = now.Add(tuning.MemberRetry)
			return
		}
		s.lease, s.deadline, s.touching = r.Lease, until(r.Sent), 0
		s.touchDue = r.Sent.Add(tuning.MemberRenewInterval)
		s.set(memberJoining, "lease granted")
		s.Tick(now)
	})
}

// touch renews the lease. The next renewal does not wait for the answer to the one
// before: on a starved machine an answer may take longer than a renewal is due, and
// one that comes late still counts from when it was asked for.
func (s *Slice) touch(now time.Time) {
	if s.touching == tuning.MaxRenewalsInFlight || now.Before(s.touchDue) {
		return
	}
	s.touching++
	s.touchDue = now.Add(tuning.MemberRenewInterval)
	lease := s.lease
	s.call(store.Call{Op: store.OpTouch, Lease: lease}, func(now time.Time, r store.Result) {
		if s.lease != lease {
			return
		}
		s.touching--
		switch {
		case r.OK():
			s.heard = now
			if d := until(r.Sent); d.After(s.deadline) {
				s.deadline = d
			}
		case r.Status == 404:
			s.lapse("lease ended")
		default:
			s.touchDue = now.Add(tuning.MemberRetry)
		}
	})
}

func (s *Slice) join(now time.Time) {
	key := underMem + s.self
	lease := s.lease
	rec := MemberRec{Member: s.self, Inc: lease, Since: s.wall().UnixMilli(), Switches: s.announced}
	s.retry = now.Add(tuning.StoreTimeout + tuning.MemberRetry)
	s.call(store.Call{Op: store.OpMulti, Multi: wire.Multi{
		When:   []wire.Cond{store.Is(key, s.mirror.Version(key))},
		Writes: []wire.Write{store.Put(key, rec, lease)},
	}}, func(now time.Time, r store.Result) {
		s.retry = now.Add(tuning.MemberRetry)
		if s.lease != lease || s.state != memberJoining {
			return
		}
		switch {
		case r.OK():
			s.set(memberIn, "record written")
			s.retry = now
			s.Tick(now)
		case r.Status == 400:
			s.lapse("lease ended while joining")
		case r.Status == 0 || r.Status == 409:
			// perhaps written after all: the mirror will tell
			if m, ok := s.members[s.self]; ok && m.val.Inc == lease {
				s.set(memberIn, "record found")
			}
		}
	})
}

// lapse gives up a lease that has ended.
func (s *Slice) lapse(why string) {
	s.set(memberOut, why)
	s.lease, s.deadline = 0, time.Time{}
}
