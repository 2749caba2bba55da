package leader

import (
	"errors"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// processLease is the lease in the state service that identifies this process.
type processLease struct {
	id               uint64    // the process's incarnation; 0 without a lease
	deadline         time.Time // the process must not act under the lease from then on
	lastRenewal      time.Time // receipt of the latest successful renewal response
	renewAt          time.Time // earliest time of the next renewal
	renewalsInFlight int
}

// leaseDeadlineAfter returns the time until which a lease is guaranteed not to have expired, given that
// a request sent at sentAt granted or renewed it. It allows for clock drift and a safety margin.
func leaseDeadlineAfter(sentAt time.Time) time.Time {
	drift := time.Duration(float64(tuning.MemberLease) * 2 * tuning.MaxClockDrift)
	return sentAt.Add(tuning.MemberLease - drift - tuning.LeaseSafetyMargin)
}

func (l *processLease) granted(id uint64, sentAt time.Time) {
	l.id, l.deadline, l.renewalsInFlight = id, leaseDeadlineAfter(sentAt), 0
	l.renewAt = sentAt.Add(tuning.MemberRenewInterval)
}

// renewed extends the deadline after a successful renewal that was sent at sentAt. Responses may arrive
// out of order, so an earlier renewal never shortens the deadline.
func (l *processLease) renewed(now, sentAt time.Time) {
	l.lastRenewal = now
	if deadline := leaseDeadlineAfter(sentAt); deadline.After(l.deadline) {
		l.deadline = deadline
	}
}

func (m *Membership) requestLease(now time.Time) {
	m.setState(now, memberGranting, "no lease")
	m.options.StateCall(store.Call{Op: store.OpGrantLease, LeaseTTL: tuning.MemberLease}, m.handleGrant)
}

func (m *Membership) handleGrant(now time.Time, r store.Result) {
	if !r.OK() || r.Lease == 0 {
		m.setState(now, memberWithoutLease, "lease refused")
		m.retryAt = now.Add(tuning.MemberBackoff)
		return
	}
	m.lease.granted(r.Lease, r.SentAt)
	m.setState(now, memberJoining, "lease granted")
	m.Tick(now)
}

// renewLease sends a renewal if one is due. Renewals overlap, up to tuning.MaxRenewalsInFlight: on a
// starved machine a response may take longer than the renewal interval. A late response still extends
// the lease from the time at which its renewal was sent.
func (m *Membership) renewLease(now time.Time) {
	if m.lease.renewalsInFlight == tuning.MaxRenewalsInFlight || now.Before(m.lease.renewAt) {
		return
	}
	m.lease.renewalsInFlight++
	m.lease.renewAt = now.Add(tuning.MemberRenewInterval)
	lease := m.lease.id
	m.options.StateCall(store.Call{Op: store.OpRenewLease, Lease: lease}, func(now time.Time, r store.Result) {
		if m.lease.id == lease {
			m.handleRenewal(now, r)
		}
	})
}

func (m *Membership) handleRenewal(now time.Time, r store.Result) {
	m.lease.renewalsInFlight--
	switch {
	case r.OK():
		m.lease.renewed(now, r.SentAt)
	case errors.Is(r.Err, store.ErrNotFound):
		m.dropLease(now, "lease expired")
	default:
		m.lease.renewAt = now.Add(tuning.MemberBackoff)
	}
}

// join writes the member record and attaches it to the lease.
func (m *Membership) join(now time.Time) {
	key := memberPrefix + m.options.Member
	lease := m.lease.id
	record := MemberRecord{
		Member:      m.options.Member,
		Incarnation: lease,
		JoinedAtMs:  m.options.WallClock().UnixMilli(),
		Features:    m.options.Features,
	}
	m.retryAt = now.Add(tuning.StoreTimeout + tuning.MemberBackoff)
	call := store.Call{Op: store.OpTransaction, Transaction: wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(key, m.cache.Version(key))},
		Writes:   []wire.Write{store.Put(key, record, lease)},
	}}
	m.options.StateCall(call, func(now time.Time, r store.Result) {
		m.retryAt = now.Add(tuning.MemberBackoff)
		if m.lease.id == lease && m.state == memberJoining {
			m.handleJoin(now, r)
		}
	})
}

func (m *Membership) handleJoin(now time.Time, r store.Result) {
	switch {
	case r.OK():
		m.setState(now, memberJoined, "record written")
		m.retryAt = now
		m.Tick(now)
	case errors.Is(r.Err, store.ErrInvalid):
		m.dropLease(now, "lease expired while joining")
	case errors.Is(r.Err, store.ErrNoResponse) || errors.Is(r.Err, store.ErrConflict):
		// The record may have been written nevertheless; the watch cache then contains it.
		if m.records.isLive(m.options.Member, m.lease.id) {
			m.setState(now, memberJoined, "record found")
		}
	}
}

// dropLease discards an expired lease. Tick then requests a new one.
func (m *Membership) dropLease(now time.Time, reason string) {
	m.setState(now, memberWithoutLease, reason)
	m.lease.id, m.lease.deadline = 0, time.Time{}
}
