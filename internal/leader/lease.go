package leader

import (
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// leaseDeadlineAfter is how long a lease surely stands after a request sent at t was
// granted: clocks may drift apart, and the holder stops a little early.
func leaseDeadlineAfter(t time.Time) time.Time {
	return t.Add(tuning.MemberLease - time.Duration(float64(tuning.MemberLease)*2*tuning.MaxClockDrift) - tuning.LeaseSafetyMargin)
}

func (s *Membership) requestLease(now time.Time) {
	s.setState(memberGranting, "no lease")
	s.stateCall(store.Call{Op: store.OpGrantLease, LeaseTTL: tuning.MemberLease}, func(now time.Time, r store.Result) {
		if !r.OK() || r.Lease == 0 {
			s.setState(memberOut, "lease refused")
			s.retryAt = now.Add(tuning.MemberRetry)
			return
		}
		s.lease, s.leaseDeadline, s.renewalsInFlight = r.Lease, leaseDeadlineAfter(r.SentAt), 0
		s.renewAt = r.SentAt.Add(tuning.MemberRenewInterval)
		s.setState(memberJoining, "lease granted")
		s.Tick(now)
	})
}

// renewLease renews the lease. The next renewal does not wait for the answer to the one
// before: on a starved machine an answer may take longer than a renewal is due, and
// one that comes late still counts from when it was asked for.
func (s *Membership) renewLease(now time.Time) {
	if s.renewalsInFlight == tuning.MaxRenewalsInFlight || now.Before(s.renewAt) {
		return
	}
	s.renewalsInFlight++
	s.renewAt = now.Add(tuning.MemberRenewInterval)
	lease := s.lease
	s.stateCall(store.Call{Op: store.OpRenewLease, Lease: lease}, func(now time.Time, r store.Result) {
		if s.lease != lease {
			return
		}
		s.renewalsInFlight--
		switch {
		case r.OK():
			s.lastRenewal = now
			if d := leaseDeadlineAfter(r.SentAt); d.After(s.leaseDeadline) {
				s.leaseDeadline = d
			}
		case r.Status == 404:
			s.dropLease("lease ended")
		default:
			s.renewAt = now.Add(tuning.MemberRetry)
		}
	})
}

func (s *Membership) join(now time.Time) {
	key := memberPrefix + s.self
	lease := s.lease
	rec := MemberRecord{Member: s.self, Incarnation: lease, JoinedAtMs: s.wallClock().UnixMilli(), Features: s.announcedFeatures}
	s.retryAt = now.Add(tuning.StoreTimeout + tuning.MemberRetry)
	s.stateCall(store.Call{Op: store.OpTransaction, Transaction: wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(key, s.cache.Version(key))},
		Writes:   []wire.Write{store.Put(key, rec, lease)},
	}}, func(now time.Time, r store.Result) {
		s.retryAt = now.Add(tuning.MemberRetry)
		if s.lease != lease || s.state != memberJoining {
			return
		}
		switch {
		case r.OK():
			s.setState(memberJoined, "record written")
			s.retryAt = now
			s.Tick(now)
		case r.Status == 400:
			s.dropLease("lease ended while joining")
		case r.Status == 0 || r.Status == 409:
			// perhaps written after all: the mirror will tell
			if m, ok := s.members[s.self]; ok && m.value.Incarnation == lease {
				s.setState(memberJoined, "record found")
			}
		}
	})
}

// dropLease gives up a lease that has ended.
func (s *Membership) dropLease(why string) {
	s.setState(memberOut, why)
	s.lease, s.leaseDeadline = 0, time.Time{}
}
