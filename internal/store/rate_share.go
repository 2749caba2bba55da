package store

import (
	"time"

	"juniperchute/internal/tuning"
)

// rateShare decides which part of the service's rates this member uses. It grows while
// its writes wait and the service rejects nothing: the others then need less than their
// parts. A rejection takes it back to the least share.
type rateShare struct {
	members      int
	part         float64
	writesWaited bool // since the last review
	reviewAt     time.Time
}

func newRateShare(members int) rateShare {
	share := rateShare{members: max(1, members)}
	share.part = share.least()
	return share
}

// least is the part of the rates that a member uses whatever the others do.
func (s *rateShare) least() float64 {
	if s.members == 1 {
		return 1
	}
	return tuning.StoreRateShare
}

// review returns the part to be used from now on.
func (s *rateShare) review(now time.Time) float64 {
	if now.Before(s.reviewAt) {
		return s.part
	}
	s.reviewAt = now.Add(tuning.RateShareInterval)
	if !s.writesWaited {
		return s.part
	}
	s.writesWaited = false
	return min(1, s.part+tuning.RateShareStep)
}
