package store

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// limitLevel tells which of the service's limits are kept to.
type limitLevel int

const (
	limitsCurrent limitLevel = iota // the current limits of the settings
	limitsLowered                   // the upcoming limits: rejections have shown them
	limitsTrial                     // the current limits again, to see whether they are rejected
)

func (l limitLevel) String() string {
	return [...]string{"current", "lowered", "trial"}[l]
}

// serviceLimits decides which of the service's limits are in force.
//
//	current  rejections                    -> lowered
//	lowered  after lowerFor, then doubled  -> trial
//	trial    rejections, fewer of them     -> lowered
//	trial    after tuning.RateLowerWindow  -> current
type serviceLimits struct {
	current         config.StateLimits
	upcoming        config.StateLimits
	level           limitLevel
	levelReviewAt   time.Time // when the lowered limits or the trial have lasted long enough
	lowerFor        time.Duration
	rejections      int // since rejectionsSince
	rejectionsSince time.Time
}

func newServiceLimits(limits config.StateLimits) serviceLimits {
	return serviceLimits{current: limits, upcoming: limits.Upcoming(), lowerFor: tuning.RateRaiseInitial}
}

// inForce are the limits to keep to.
func (s *serviceLimits) inForce() config.StateLimits {
	if s.level == limitsLowered {
		return s.upcoming
	}
	return s.current
}

// countSizeRejection counts a rejection for a size, of which one is enough.
func (s *serviceLimits) countSizeRejection() { s.rejections = tuning.RateLowerRejections }

func (s *serviceLimits) countRateRejection(now time.Time) {
	if now.Sub(s.rejectionsSince) > tuning.RateLowerWindow {
		s.rejections, s.rejectionsSince = 0, now
	}
	s.rejections++
	if s.level == limitsLowered {
		// even the lowered rate is rejected: other members have not noticed yet
		s.levelReviewAt = latest(s.levelReviewAt, now.Add(tuning.RateRaiseInitial))
	}
}

// lowerDue reports whether the rejections show that the upcoming limits are in force.
func (s *serviceLimits) lowerDue() bool {
	switch s.level {
	case limitsLowered:
		return false
	case limitsTrial:
		return s.rejections >= tuning.RateTrialRejections
	}
	return s.rejections >= tuning.RateLowerRejections
}

// levelDue is the level that time alone leads to.
func (s *serviceLimits) levelDue(now time.Time) limitLevel {
	switch {
	case now.Before(s.levelReviewAt):
		return s.level
	case s.level == limitsLowered:
		return limitsTrial
	}
	return limitsCurrent
}

func (s *serviceLimits) setLevel(now time.Time, level limitLevel) {
	s.level = level
	s.rejections = 0
	switch level {
	case limitsLowered:
		s.levelReviewAt = now.Add(s.lowerFor)
		s.lowerFor = min(2*s.lowerFor, tuning.RateRaiseMax)
	case limitsTrial:
		s.levelReviewAt = now.Add(tuning.RateLowerWindow)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
