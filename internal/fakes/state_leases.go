package fakes

import (
	"maps"
	"slices"
	"sort"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// leaseExpiryInterval is the interval of the expiry check. It bounds the delay of an expiry, for
// which the protocol allows 100 ms.
const leaseExpiryInterval = 50 * time.Millisecond

// lease is a lease that has been granted and has not expired.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// expireLeases expires the leases that were not renewed in time and schedules the next check. No
// lease expires during an outage.
func (s *StateService) expireLeases() {
	if !s.unavailable {
		for _, id := range s.expiredLeases() {
			s.expireLease(id)
		}
	}
	s.clock.Schedule(leaseExpiryInterval, s.expireLeases)
}

// expiredLeases returns the IDs of the leases past their expiry time, sorted.
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

// LiveLeases returns the sorted IDs of the leases that have not expired.
func (s *StateService) LiveLeases() []uint64 { return slices.Sorted(maps.Keys(s.leases)) }

// expireLease revokes a lease and deletes its keys, each in its own revision.
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
		s.apply(wire.Write{DeleteKey: key})
	}
	s.notifyWatches()
}

// grantLease creates a lease that expires after ttl unless it is renewed.
func (s *StateService) grantLease(ttl time.Duration) store.Result {
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expiresAt: s.clock.Now().Add(ttl)}
	return store.Result{Lease: s.lastLease}
}

// renewLease restarts the TTL of a lease. It returns store.ErrNotFound if the lease has expired.
func (s *StateService) renewLease(id uint64) store.Result {
	renewed := s.leases[id]
	if renewed == nil {
		return store.Result{Err: store.ErrNotFound}
	}
	renewed.expiresAt = s.clock.Now().Add(renewed.ttl)
	return store.Result{Lease: id}
}

// renewAllLeases restarts the TTL of every lease.
func (s *StateService) renewAllLeases() {
	for _, lease := range s.leases {
		lease.expiresAt = s.clock.Now().Add(lease.ttl)
	}
}
