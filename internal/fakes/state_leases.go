package fakes

import (
	"sort"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// leaseExpiryInterval is how often leases are checked, so how late one may expire; the protocol
// allows 100 ms.
const leaseExpiryInterval = 50 * time.Millisecond

// lease is a lease that has been granted and has not expired.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// expireLeases ends the leases that were not renewed in time, again and again. While the service is
// unavailable none expires.
func (s *StateService) expireLeases() {
	if !s.unavailable {
		for _, id := range s.expiredLeases() {
			s.expireLease(id)
		}
	}
	s.clock.Schedule(leaseExpiryInterval, s.expireLeases)
}

// expiredLeases lists the leases that have run out, in order.
func (s *StateService) expiredLeases() []uint64 {
	var expired []uint64
	for id, lease := range s.leases {
		if s.clock.Now().After(lease.expiresAt) {
			expired = append(expired, id)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i] < expired[j] })
	return expired
}

// expireLease ends a lease and deletes its keys, each in a revision of its own.
func (s *StateService) expireLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.Keys {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.Revision++
		s.apply(wire.Write{Delete: key})
	}
	s.notifyWatches()
}

// grantLease grants a lease for a time.
func (s *StateService) grantLease(ttl time.Duration) store.Result {
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expiresAt: s.clock.Now().Add(ttl)}
	return store.Result{Lease: s.lastLease}
}

// renewLease gives a lease its full time again, unless it has expired.
func (s *StateService) renewLease(id uint64) store.Result {
	renewed := s.leases[id]
	if renewed == nil {
		return store.Result{Err: store.ErrNotFound}
	}
	renewed.expiresAt = s.clock.Now().Add(renewed.ttl)
	return store.Result{Lease: id}
}

// renewAllLeases gives every lease its full time again.
func (s *StateService) renewAllLeases() {
	for _, lease := range s.leases {
		lease.expiresAt = s.clock.Now().Add(lease.ttl)
	}
}
