package store

import (
	"time"

	"juniperchute/internal/tuning"
)

// rateShare determines the share of the service's rate limits that this member uses, from 0 to 1.
// The share grows while writes are delayed and the service rejects none, which means that the
// other members use less than their shares. A rejection resets it to the minimum.
type rateShare struct {
	members        int
	current        float64
	writesDelayed  bool // since the last adjustment
	nextAdjustment time.Time
}

func newRateShare(members int) rateShare {
	share := rateShare{members: max(1, members)}
	share.current = share.minimum()
	return share
}

// minimum returns the share that a member may use regardless of the other members' load.
func (s *rateShare) minimum() float64 {
	if s.members == 1 {
		return 1
	}
	return tuning.MinStoreRateShare
}

// adjust returns the share to use from now on.
func (s *rateShare) adjust(now time.Time) float64 {
	if now.Before(s.nextAdjustment) {
		return s.current
	}
	s.nextAdjustment = now.Add(tuning.RateShareInterval)
	if !s.writesDelayed {
		return s.current
	}
	s.writesDelayed = false
	return min(1, s.current+tuning.RateShareStep)
}
